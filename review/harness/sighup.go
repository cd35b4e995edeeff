package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// config returns a configuration with a plain service and one with models.
func config(version int, models []map[string]any) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "book", "host": "shop.example", "prefix": "/book/", "type": "non_idempotent", "timeout_ms": 6000, "goal_ms": 100, "priority": 2, "service": "plain", "max_attempts": 1},
			map[string]any{"name": "once", "host": "shop.example", "prefix": "/once/", "type": "streaming", "timeout_ms": 10000, "goal_ms": 4000, "priority": 1, "service": "notes", "max_attempts": 1, "resumable": false, "gap_goal_ms": 300},
			map[string]any{"name": "draft", "host": "shop.example", "prefix": "/draft/", "type": "streaming", "timeout_ms": 10000, "goal_ms": 1500, "priority": 1, "service": "llm", "max_attempts": 2, "sticky": true, "resumable": true, "gap_goal_ms": 300},
		},
		"services": []any{
			map[string]any{"name": "plain", "health_path": "/healthz", "max_conns": 100, "protocol": "h1", "tls": false},
			map[string]any{"name": "notes", "health_path": "/healthz", "max_conns": 100, "protocol": "h1", "tls": false},
			map[string]any{"name": "llm", "health_path": "/healthz", "max_conns": 300, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 48, "kv_capacity": 118877, "kv_bytes": 163840, "host_mb": 140000, "disk_mb": 1300000, "weights_mb": 200000, "adapter_slots": 8, "loads_per_s": 4.3, "models": models,
			}},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// caseSighup: an entry is told to stop, and the settings file changes within the grace
// period. What it had read must still be answered whole.
func caseSighup(rec *record, trouble bool) (bool, string) {
	s := newStore()
	s.serve()
	s.put("op", "config", config(1, nil))
	for i := range 3 {
		(&worker{id: fmt.Sprintf("i-plain%d", i), service: "plain", zone: "zone-a", slots: 6, work: 2500 * time.Millisecond, store: s, rec: rec}).serve()
		(&worker{id: fmt.Sprintf("i-notes%d", i), service: "notes", zone: "zone-a", slots: 12, events: 25, eachEvent: 100 * time.Millisecond, store: s, rec: rec}).serve()
	}
	for i := range 3 {
		entries = append(entries, newEntry(tempDir, fmt.Sprintf("entry-%d", i), s.address))
	}
	for _, e := range entries {
		e.writeSettings([]string{entries[0].peers, entries[1].peers, entries[2].peers}, 54)
		e.start()
	}
	for _, e := range entries {
		if !e.awaitReady(10 * time.Second) {
			cannotRun(e.name + " isn't ready: " + e.logs())
		}
	}
	time.Sleep(4 * time.Second)

	e := entries[0]
	var (
		all  sync.WaitGroup
		mu   sync.Mutex
		lost []string
	)
	for i := range 12 {
		all.Go(func() {
			id, path, want := fmt.Sprintf("book-%d", i), "/book/x", "done book-"+fmt.Sprint(i)
			if i%2 == 1 {
				id, path, want = fmt.Sprintf("note-%d", i), "/once/x", "piece 25\n\n"
			}
			rec.add("sent", id, "POST "+path+" to "+e.name)
			a := ask(e.callers, "POST", path, id, nil, "lot 7", 6*time.Second, nil)
			rec.add("answered", id, fmt.Sprintf("status %d, signed %v, complete %v, %d bytes, error %q", a.status, a.signed, a.complete, len(a.body), a.err))
			if a.status == 503 || a.status == 429 {
				return // A refusal is an answer.
			}
			if a.status != 200 || !a.complete || !strings.HasSuffix(a.body, want) {
				mu.Lock()
				lost = append(lost, id)
				mu.Unlock()
			}
		})
	}
	time.Sleep(600 * time.Millisecond)
	if trouble {
		rec.add("signal", e.name, "SIGTERM")
		e.signal(syscall.SIGTERM)
		time.Sleep(500 * time.Millisecond)
	}
	if trouble && os.Getenv("TROUBLE") != "term" { // With TROUBLE=term there is SIGTERM alone.
		rec.add("signal", e.name, "SIGHUP, as the settings file has changed")
		e.writeSettings([]string{entries[0].peers, entries[1].peers, entries[2].peers}, 50)
		e.signal(syscall.SIGHUP)
	}
	all.Wait()
	if trouble {
		select {
		case <-e.ended:
			rec.add("process", e.name, "has ended: "+e.how)
		case <-time.After(8 * time.Second):
		}
	}
	if len(lost) > 0 {
		return true, fmt.Sprintf("LOST: %d of 12 requests that the process had read ended without a complete answer: %s", len(lost), strings.Join(lost, " "))
	}
	return false, "held: all 12 requests were answered whole or refused"
}
