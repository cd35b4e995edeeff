package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const configApply = 2000 * time.Millisecond

// holdsLease asks an entry's metrics whether it holds the lease.
func (e *entry) holdsLease() bool {
	resp, err := http.Get("http://" + e.metrics + "/metrics")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	for l := range strings.Lines(string(text)) {
		if strings.HasPrefix(l, "fulmarcross_holds_lease") && strings.HasSuffix(strings.TrimSpace(l), " 1") {
			return true
		}
	}
	return false
}

// leaseHolder returns the entry that holds the lease.
func leaseHolder() *entry {
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, e := range entries {
			if e.holdsLease() {
				return e
			}
		}
	}
	cannotRun("no entry holds the lease")
	return nil
}

// ranBy returns the worker that has run a request.
func (r *record) ranBy(id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.lines {
		if f := strings.Fields(l.text); f[0] == "run" && f[1] == id {
			return f[3]
		}
	}
	return ""
}

// caseStale: six of ten entries lose power at the same moment, the lease holder among them.
// Just then a route moves to another service. The entries that ran on must follow within
// config_apply_ms of the store's acknowledgement.
func caseStale(rec *record, trouble bool) (bool, string) {
	const (
		all    = 10
		killed = 6
		rounds = 4
	)
	offsets := []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, 900 * time.Millisecond, 1300 * time.Millisecond}
	s := newStore()
	s.serve()
	moved := func(version int, service string) map[string]any {
		return map[string]any{
			"version": version,
			"routes":  []any{map[string]any{"name": "book", "host": "shop.example", "prefix": "/book/", "type": "non_idempotent", "timeout_ms": 1000, "goal_ms": 100, "priority": 2, "service": service, "max_attempts": 1}},
			"services": []any{
				map[string]any{"name": "desk-a", "health_path": "/healthz", "max_conns": 100, "protocol": "h1", "tls": false},
				map[string]any{"name": "desk-b", "health_path": "/healthz", "max_conns": 100, "protocol": "h1", "tls": false},
			},
			"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		}
	}
	services := []string{"desk-a", "desk-b"}
	s.put("op", "config", moved(1, services[0]))
	for _, name := range services {
		for i := range 3 {
			(&worker{id: fmt.Sprintf("i-%s-%d", name, i), service: name, zone: "zone-a", slots: 6, work: 5 * time.Millisecond, store: s, rec: rec}).serve()
		}
	}
	for i := range all {
		entries = append(entries, newEntry(tempDir, fmt.Sprintf("entry-%d", i), s.address))
	}
	seeds := []string{entries[0].peers, entries[1].peers, entries[2].peers}
	for _, e := range entries {
		e.writeSettings(seeds, 54)
		e.start()
	}
	for _, e := range entries {
		if !e.awaitReady(15 * time.Second) {
			cannotRun(e.name + " isn't ready: " + e.logs())
		}
	}
	time.Sleep(8 * time.Second)

	var (
		mu     sync.Mutex
		broken []string
	)
	for round := range rounds {
		// The lease holder is among those that lose power; the others follow in order.
		holder := leaseHolder()
		victims, survivors := []*entry{holder}, []*entry(nil)
		for i := range entries {
			e := entries[(i+round)%all]
			switch {
			case e == holder:
			case len(victims) < killed:
				victims = append(victims, e)
			default:
				survivors = append(survivors, e)
			}
		}
		if trouble {
			for _, e := range victims {
				rec.add("signal", e.name, "SIGSTOP, as if without power")
				e.signal(syscall.SIGSTOP)
			}
		}
		time.Sleep(offsets[round])
		version, service := round+2, services[(round+1)%2]
		s.put("op", "config", moved(version, service))
		acked := time.Now()
		rec.add("config", "", fmt.Sprintf("version %d is acknowledged: the route moves to %s", version, service))
		var probes sync.WaitGroup
		for _, e := range survivors {
			probes.Go(func() {
				time.Sleep(time.Until(acked.Add(configApply + 20*time.Millisecond)))
				for n := 0; time.Since(acked) < configApply+1500*time.Millisecond; n++ {
					id := fmt.Sprintf("r%d-%s-%d", round, e.name, n)
					after := time.Since(acked)
					a := ask(e.callers, "POST", "/book/x", id, nil, "lot 7", time.Second, nil)
					ranBy := rec.ranBy(id)
					rec.add("answered", id, fmt.Sprintf("sent to %s %.3f s after the acknowledgement: status %d, run by %s", e.name, after.Seconds(), a.status, ranBy))
					if ranBy != "" && !strings.HasPrefix(ranBy, "i-"+service) {
						mu.Lock()
						broken = append(broken, fmt.Sprintf("%s (%.3f s after version %d, run by %s)", e.name, after.Seconds(), version, ranBy))
						mu.Unlock()
					}
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
		probes.Wait()
		if trouble {
			for _, e := range victims {
				e.signal(syscall.SIGKILL)
				<-e.ended
				rec.add("process", e.name, "is started again")
				e.start()
			}
			for _, e := range victims {
				e.awaitReady(10 * time.Second)
			}
		}
		time.Sleep(8 * time.Second)
	}
	if len(broken) > 0 {
		return true, fmt.Sprintf("CONFIG: %d requests sent later than %v after the acknowledgement were run by the old service, at machines in touch; the first: %s", len(broken), configApply, broken[0])
	}
	return false, "held: all requests sent later than config_apply_ms were handled by the new version"
}
