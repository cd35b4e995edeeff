package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	events   = 60
	noteHost = "notes.example"
)

// streamConfig is a configuration with a stream that may be resumed and one that may not.
func streamConfig() map[string]any {
	stream := func(name, prefix string, resumable bool, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": noteHost, "prefix": prefix, "type": "streaming", "timeout_ms": 15000, "goal_ms": 4000, "gap_goal_ms": 300,
			"priority": 1, "service": "redactor", "max_attempts": attempts, "resumable": resumable,
		}
	}

	return map[string]any{
		"version": 1,
		"routes":  []any{stream("note", "/stream/note/", true, 2), stream("dossier", "/stream/dossier/", false, 1)},
		"services": []any{map[string]any{
			"name": "redactor", "health_path": "/healthz", "max_conns": 300,
			"engine": map[string]any{
				"slots": 48, "kv_capacity": 118877, "weights_mb": 200000, "adapter_slots": 8, "loads_per_s": 4.3,
				"models": []any{map[string]any{"name": "m0", "weights_mb": 65100, "load_s": 6.2, "disk_s": 1.6, "warm_s": 1.2, "adapter_size_mb": 12, "adapters": 0}},
			},
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// outcome is what a client has seen of one stream.
type outcome struct {
	id, kind string
	status   int
	signed   bool
	last     int
	whole    bool
	err      error
}

// ask sends one request for a stream and reads it to its end.
func ask(ctx context.Context, c *http.Client, e *process, id, kind string) outcome {
	out := outcome{id: id, kind: kind}

	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.callers+"/stream/"+kind+"/x", strings.NewReader("text"))
	if err != nil {
		out.err = err

		return out
	}

	req.Host = noteHost
	for name, value := range map[string]string{"Attempt-Id": id, "Model": "m0", "Token-Count": "1460,60", "Prompt-Prefix": fmt.Sprintf("5c1e07%s:350,%s:1110", id[2:4], id), "Deadline-Ms": "15000"} {
		req.Header.Set(name, value)
	}

	resp, err := c.Do(req)
	if err != nil {
		out.err = err

		return out
	}
	defer resp.Body.Close()

	out.status, out.signed = resp.StatusCode, resp.Header.Get("Server-Stamp") != ""
	r := bufio.NewReader(resp.Body)

	for {
		line, err := r.ReadString('\n')
		if n := 0; strings.HasPrefix(line, "id: ") {
			_, _ = fmt.Sscanf(line, "id: %d", &n)
			if n != out.last+1 {
				out.err = fmt.Errorf("event %d after %d", n, out.last)

				return out
			}

			out.last = n
		}

		if errors.Is(err, io.EOF) {
			out.whole = true

			return out
		}

		if err != nil {
			out.err = err

			return out
		}
	}
}

// cutShort takes workers away at short notice while they run streams.
func cutShort() (int, error) {
	s, err := start(streamConfig())
	if err != nil {
		return unable, err
	}
	defer s.close()

	for i := range 7 {
		if err := s.addWorker(fmt.Sprintf("i-%d", i), "redactor", "m0", 48, "-unframed-every", "20", "-events", fmt.Sprint(events)); err != nil {
			return unable, err
		}
	}

	if err := s.addEntries(3); err != nil {
		return unable, err
	}

	if err := s.awaitReady(); err != nil {
		return unable, err
	}

	time.Sleep(2 * time.Second)

	ctx, stop := context.WithCancel(context.Background())
	defer stop()

	var (
		clients sync.WaitGroup
		mu      sync.Mutex
		all     []outcome
	)

	load := time.Now().Add(36 * time.Second)

	for i := range 240 {
		clients.Go(func() {
			c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
			time.Sleep(time.Duration(i) * 25 * time.Millisecond)

			for n := 0; time.Now().Before(load); n++ {
				id := fmt.Sprintf("%04x%04x", 0x1000+i, n) // Each client has its own shared part.
				kind := []string{"note", "dossier"}[i%2]
				out := ask(ctx, c, s.entries[i%3], id, kind)
				s.logf("client %s %s: status %d, signed %v, last event %d of %d, complete %v, error %v", id, kind, out.status, out.signed, out.last, events, out.whole, out.err)
				mu.Lock()
				all = append(all, out)
				mu.Unlock()
			}
		})
	}

	for i := range 3 {
		time.Sleep(4 * time.Second)

		for j := range 3 { // Less than half of the workers, for 5 s, one answer in 20.
			s.signal(fmt.Sprintf("i-%d", j), syscall.SIGUSR1)
		}

		time.Sleep(5 * time.Second)

		if trouble() {
			s.takeAway(fmt.Sprintf("i-%d", i), 2*time.Second)
		}
	}

	clients.Wait()

	short, complete := 0, 0

	for _, out := range all {
		switch {
		case out.status == http.StatusOK && out.whole && out.last < events:
			short++

			s.logf("BROKEN %s %s: 200 with a stamp (%v) ended as complete at event %d of %d", out.id, out.kind, out.signed, out.last, events)
			fmt.Printf("broken: %s (%s): ended as complete at event %d of %d\n", out.id, out.kind, out.last, events)
		case out.whole && out.last == events:
			complete++
		}
	}

	s.logf("streams %d, complete %d, cut short as complete %d", len(all), complete, short)
	fmt.Printf("streams %d, complete %d, cut short as complete %d\n", len(all), complete, short)

	if short > 0 {
		return broken, nil
	}

	return held, nil
}
