package main

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	leaseTime = 3 * time.Second
	thawTime  = 300 * time.Millisecond
)

// turn is one worker's orders of two holders in turns: first, other, first again.
type turn struct {
	worker       string
	first, other string
	began, ended time.Time
	tokens       [3]uint64
}

// findTurn returns two orders of one holder at a worker within leaseTime, with an order of
// another holder between them. Orders within thawTime after a link healed don't count.
func findTurn(orders []orderSeen, healed time.Time) *turn {
	byWorker := make(map[string][]orderSeen)
	for _, o := range orders {
		if !healed.IsZero() && o.At.After(healed) && o.At.Before(healed.Add(thawTime)) {
			continue
		}
		byWorker[o.Worker] = append(byWorker[o.Worker], o)
	}
	var found *turn
	for worker, list := range byWorker {
		sort.Slice(list, func(i, j int) bool { return list[i].At.Before(list[j].At) })
		for i, a := range list {
			other := -1
			for j := i + 1; j < len(list) && list[j].At.Sub(a.At) < leaseTime; j++ {
				c := list[j]
				if c.Order.Holder != a.Order.Holder {
					other = j
				} else if other >= 0 {
					t := &turn{worker: worker, first: a.Order.Holder, other: list[other].Order.Holder, began: a.At, ended: c.At, tokens: [3]uint64{a.Order.Token, list[other].Order.Token, c.Order.Token}}
					if found == nil || t.ended.Sub(t.began) < found.ended.Sub(found.began) {
						found = t
					}
					break
				}
			}
		}
	}
	return found
}

// caseTurns: the lease holder loses its path to the store for some seconds, another entry takes
// over, and that one is stopped for a restart soon after its first orders.
func caseTurns(rec *record, trouble bool) (bool, string) {
	s := newStore()
	s.serve()
	var models []map[string]any
	for i := range 6 {
		models = append(models, map[string]any{"name": fmt.Sprintf("m%d", i), "weights_mb": 65100, "load_s": 6.2, "adapters": 46, "adapter_size_mb": 12.0, "warm_s": 1.2, "disk_s": 1.6})
	}
	s.put("op", "config", config(1, models))
	for i := range 3 {
		w := &worker{
			id: fmt.Sprintf("i-model%d", i), service: "llm", zone: "zone-a", slots: 48, engine: true, events: 5, eachEvent: 10 * time.Millisecond,
			loadTime: 1200 * time.Millisecond, store: s, rec: rec,
			models: map[string]map[string]bool{fmt.Sprintf("m%d", 2*i): {}, fmt.Sprintf("m%d", 2*i+1): {}},
		}
		w.serve()
	}
	names := []string{"entry-0", "entry-1", "entry-2"}
	for _, name := range names {
		entries = append(entries, newEntry(tempDir, name, s.address))
	}
	for _, e := range entries {
		e.writeSettings([]string{entries[0].peers, entries[1].peers, entries[2].peers}, 54)
	}
	// The entry that the others rank first starts first, so that it takes the lease.
	for _, i := range []int{1, 0, 2} {
		entries[i].start()
		time.Sleep(120 * time.Millisecond)
	}
	for _, e := range entries {
		if !e.awaitReady(10 * time.Second) {
			cannotRun(e.name + " isn't ready: " + e.logs())
		}
	}
	var (
		clients sync.WaitGroup
		stopped atomic.Bool
		asked   atomic.Int64
		served  atomic.Int64
	)
	for i := range 24 {
		clients.Go(func() {
			for n := 0; !stopped.Load(); n++ {
				e := entries[rand.IntN(len(entries))]
				id := fmt.Sprintf("c%d-%d", i, n)
				key := fmt.Sprintf("m%d/a%d", rand.IntN(6), 1+rand.IntN(46))
				asked.Add(1)
				a := ask(e.callers, "POST", "/draft/x", id, map[string]string{"Model": key, "Token-Count": "400,20", "Prompt-Prefix": id + ":400"}, "{}", 4*time.Second, nil)
				if a.status == 200 && a.complete {
					served.Add(1)
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(8 * time.Second)
	byName := make(map[string]*entry)
	for _, e := range entries {
		byName[e.name] = e
	}
	lastHolder := func() string {
		rec.mu.Lock()
		defer rec.mu.Unlock()
		if len(rec.orders) == 0 {
			return ""
		}
		return rec.orders[len(rec.orders)-1].Order.Holder
	}
	await := func(not string, within time.Duration) string {
		for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			if h := lastHolder(); h != "" && h != not {
				return h
			}
		}
		return ""
	}
	first := lastHolder()
	if first == "" {
		cannotRun("no orders were given")
	}
	rec.add("holder", first, "gives the orders")
	var healed time.Time
	if trouble {
		rec.add("trouble", first, "its link to the store is cut")
		byName[first].proxy.cut.Store(true)
		second := await(first, 5500*time.Millisecond)
		byName[first].proxy.cut.Store(false)
		healed = time.Now()
		rec.add("trouble", first, "its link to the store has healed")
		if second == "" {
			cannotRun("no other entry took over")
		}
		rec.add("holder", second, "gives the orders")
		rec.add("signal", second, "SIGTERM, for a planned restart")
		byName[second].signal(syscall.SIGTERM)
		third := await(second, 5*time.Second)
		rec.add("holder", third, "gives the orders")
	}
	time.Sleep(4 * time.Second)
	stopped.Store(true)
	clients.Wait()
	rec.add("clients", "", fmt.Sprintf("%d requests, %d served", asked.Load(), served.Load()))
	rec.mu.Lock()
	last, changes := "", ""
	var at time.Time
	for _, o := range rec.orders {
		if o.Order.Holder != last {
			changes += fmt.Sprintf(" %s from %.3f (last before %.3f)", o.Order.Holder, o.At.Sub(rec.began).Seconds(), at.Sub(rec.began).Seconds())
			last = o.Order.Holder
		}
		at = o.At
	}
	rec.mu.Unlock()
	rec.add("holders", "", changes)
	rec.mu.Lock()
	t := findTurn(rec.orders, healed)
	n := len(rec.orders)
	rec.mu.Unlock()
	if t == nil {
		return false, fmt.Sprintf("held: %d orders, no holders in turns within %v", n, leaseTime)
	}
	return true, fmt.Sprintf("ONE: at %s, orders of %s, %s and %s again within %.3f s (tokens %v), from %.3f s to %.3f s", t.worker, t.first, t.other, t.first, t.ended.Sub(t.began).Seconds(), t.tokens, t.began.Sub(rec.began).Seconds(), t.ended.Sub(rec.began).Seconds())
}
