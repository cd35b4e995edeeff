package main

import (
	"fmt"
	"sync"
	"time"
)

const contact = 3 * time.Second

// caseReach: one of three entries is partitioned from all workers for 5.5 s; its connections to
// them are reset. Clients, the store and the other entries still reach it, and it them.
func caseReach(rec *record, trouble bool) (bool, string) {
	const (
		cutFor = 5500 * time.Millisecond
		every  = 10 * time.Millisecond
	)
	s := newStore()
	s.serve()
	s.put("op", "config", map[string]any{
		"version": 1,
		"routes": []any{
			map[string]any{"name": "look", "host": "shop.example", "prefix": "/look/", "type": "idempotent", "timeout_ms": 1000, "goal_ms": 100, "priority": 2, "service": "desk", "max_attempts": 2},
			map[string]any{"name": "book", "host": "shop.example", "prefix": "/book/", "type": "non_idempotent", "timeout_ms": 1000, "goal_ms": 100, "priority": 2, "service": "desk", "max_attempts": 1},
		},
		"services": []any{map[string]any{"name": "desk", "health_path": "/healthz", "max_conns": 100, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	var workers []*worker
	for i := range 3 {
		w := &worker{id: fmt.Sprintf("i-desk-%d", i), service: "desk", zone: "zone-a", slots: 6, work: 15 * time.Millisecond, store: s, rec: rec}
		w.serve()
		workers = append(workers, w)
	}
	for i := range 3 {
		entries = append(entries, newEntry(tempDir, fmt.Sprintf("entry-%d", i), s.address))
	}
	for _, e := range entries {
		e.writeSettings([]string{entries[0].peers, entries[1].peers, entries[2].peers}, 54)
		e.start()
	}
	for _, e := range entries {
		if !e.awaitReady(15 * time.Second) {
			cannotRun(e.name + " isn't ready: " + e.logs())
		}
	}
	time.Sleep(4 * time.Second)

	var (
		all            sync.WaitGroup
		mu             sync.Mutex
		asked, served  = make(map[string]int), make(map[string]int)
		cutAt, endsAt  time.Time
		victim         = entries[0]
		began          = time.Now()
		judged, failed int
	)
	cutAt = began.Add(3 * time.Second)
	endsAt = cutAt.Add(cutFor)
	cutting := time.AfterFunc(time.Until(cutAt), func() {
		if trouble {
			rec.add("trouble", victim.name, "is partitioned from all workers, its connections to them are reset")
			for _, w := range workers {
				w.gate.set(victim.name, true)
			}
		}
	})
	defer cutting.Stop()
	for n := 0; time.Now().Before(endsAt); n++ {
		e := entries[n%len(entries)]
		all.Go(func() {
			id, method, path := fmt.Sprintf("t%d", n), "GET", "/look/x"
			if n%2 == 1 {
				method, path = "POST", "/book/x"
			}
			sent := time.Now()
			a := ask(e.callers, method, path, id, nil, "", time.Second, nil)
			rec.add("answered", id, fmt.Sprintf("%s %s to %s: status %d, signed %v, complete %v, error %q", method, path, e.name, a.status, a.signed, a.complete, a.err))
			// Judged are those sent from contact after the cut began, and answered before it ends.
			if sent.Before(cutAt.Add(contact)) || sent.After(endsAt.Add(-time.Second)) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			judged++
			asked[e.name]++
			if a.status == 200 && a.signed && a.complete {
				served[e.name]++
			} else if e == victim {
				failed++
			}
		})
		time.Sleep(every)
	}
	all.Wait()
	others, othersServed := 0, 0
	for _, e := range entries[1:] {
		others += asked[e.name]
		othersServed += served[e.name]
	}
	what := fmt.Sprintf("first tries served at the machine that is cut off: %d of %d, at the others: %d of %d", served[victim.name], asked[victim.name], othersServed, others)
	share, othersShare := float64(served[victim.name])/float64(max(1, asked[victim.name])), float64(othersServed)/float64(max(1, others))
	if share < othersShare*2/3 && float64(failed) > 10+float64(judged)/50 {
		return true, "RECOVER: " + what
	}
	return false, "held: " + what
}
