package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// slowReader sends streams whose clients read nothing for some seconds and then the rest, within
// their deadlines. Their entry gets SIGHUP meanwhile. It counts the streams whose connections end
// without a complete answer although their worker has written all of it.
func slowReader(c *cluster, trouble bool) int {
	const (
		streams  = 24
		pause    = 4500 * time.Millisecond
		deadline = 12 * time.Second
	)

	c.settings = dalakonvert
	c.store.put("op", "config", clusterConfig(7, []string{"m0"}))

	for i := range 4 {
		if err := c.addWorker(fmt.Sprintf("i-%d", i+1), "redactor", []string{"m0"}, 2*time.Second); err != nil {
			return couldNotRun
		}
	}

	var (
		mu       sync.Mutex
		answered = make(map[string]bool)
	)

	c.onEvent = func(e event) {
		mu.Lock()
		defer mu.Unlock()

		if e.Kind == "answers" {
			answered[e.ID] = true
		}
	}

	if err := c.startEntries(3); err != nil {
		return couldNotRun
	}

	if err := c.awaitReady(15 * time.Second); err != nil {
		return couldNotRun
	}

	time.Sleep(5 * time.Second) // Machines are in touch after contact_ms.

	var (
		e                  = c.entries[0]
		all                sync.WaitGroup
		whole, lost, other int
	)

	for i := range streams {
		all.Go(func() {
			id := attemptID()
			wait := time.Duration(0)

			if trouble {
				wait = pause
			}

			r := askSlowly(e.callers, fmt.Sprintf("/dossier/bulk/%d", i), id, streamHeader("m0", i%8), "text", deadline, wait)
			pieces := strings.Count(r.body, "data: ")

			mu.Lock()
			done := answered[id]
			mu.Unlock()

			c.log("client id=%s entry=%s got %v pieces=%d; its worker has answered: %v", id, e.name, r, pieces, done)

			mu.Lock()
			defer mu.Unlock()

			switch {
			case r.status == 200 && r.whole && pieces == bulkEvents:
				whole++
			case done:
				lost++
			default:
				other++
			}
		})
	}

	if trouble {
		time.Sleep(200 * time.Millisecond)

		c.log("SIGHUP to %s", e.name)
		_ = e.cmd.Process.Signal(syscall.SIGHUP)
	}

	all.Wait()

	c.log("%d streams, %d whole, %d cut though their worker had written all, %d others", streams, whole, lost, other)
	fmt.Printf("streams=%d whole=%d lost=%d others=%d\n", streams, whole, lost, other)

	switch {
	case lost > 0:
		return broken
	case whole == 0:
		return couldNotRun
	}

	return held
}
