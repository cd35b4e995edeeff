package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// caseCrash: a request crashes each worker that begins to run it. A client sends it at five
// entries at once, and again some seconds later.
func caseCrash(rec *record, trouble bool) (bool, string) {
	const (
		poison = "lot that crashes workers"
		most   = 3
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
	for i := range 8 {
		w := &worker{id: fmt.Sprintf("i-desk-%d", i), service: "desk", zone: "zone-a", slots: 6, work: 15 * time.Millisecond, store: s, rec: rec, down: 2 * time.Second}
		if trouble {
			w.poison = poison
		}
		w.serve()
	}
	for i := range 5 {
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
		clients sync.WaitGroup
		stopped atomic.Bool
	)
	clients.Go(func() {
		for n := 0; !stopped.Load(); n++ {
			e, id := entries[n%len(entries)], fmt.Sprintf("sound-%d", n)
			clients.Go(func() {
				a := ask(e.callers, "GET", fmt.Sprintf("/look/%d", n), id, nil, "", time.Second, nil)
				rec.add("answered", id, fmt.Sprintf("by %s: status %d", e.name, a.status))
			})
			time.Sleep(50 * time.Millisecond)
		}
	})
	send := func(burst int) {
		var all sync.WaitGroup
		for i, e := range entries {
			all.Go(func() {
				id := fmt.Sprintf("burst%d-%d", burst, i)
				rec.add("sent", id, "POST /book/lot to "+e.name+", the request that crashes workers")
				a := ask(e.callers, "POST", "/book/lot", id, nil, poison, time.Second, nil)
				rec.add("answered", id, fmt.Sprintf("by %s: status %d", e.name, a.status))
			})
		}
		all.Wait()
	}
	time.Sleep(time.Second)
	for burst := range 4 {
		send(burst)
		time.Sleep(contact + 1200*time.Millisecond)
	}
	stopped.Store(true)
	clients.Wait()
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if len(rec.crashes) < 3 {
		if trouble {
			return false, fmt.Sprintf("held: %d workers have crashed", len(rec.crashes))
		}
		return false, "held: nothing crashes workers"
	}
	later := 0
	for _, at := range rec.arrivals {
		if at.After(rec.crashes[2].Add(contact)) {
			later++
		}
	}
	what := fmt.Sprintf("a request under which three workers had crashed reached workers %d times more, later than %v after the third crash; %d crashed in all", later, contact, len(rec.crashes))
	if later > most {
		return true, "BUDGET: " + what
	}
	return false, "held: " + what
}
