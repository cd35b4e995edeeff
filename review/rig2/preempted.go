package main

import (
	"fmt"
	"sync"
	"time"
)

// preempted sends streams that their workers preempt for 2.2 seconds, in the middle of the
// stream. Two of the six workers do not drop a request when its connection closes. It counts
// the streams that go on at another worker while the one before still works on them 400 ms later.
func preempted(c *cluster, trouble bool) int {
	const (
		streams = 18
		workers = 6
		keepers = 2
		overlap = 400 * time.Millisecond
	)

	c.store.put("op", "config", clusterConfig(7, []string{"m0"}))

	for i := range workers {
		var options []string
		if i < keepers {
			options = []string{"goes-on=1"}
		}

		if err := c.addWorker(fmt.Sprintf("i-%d", i+1), "redactor", []string{"m0"}, 2*time.Second, options...); err != nil {
			return couldNotRun
		}
	}

	type run struct {
		worker string
		at     time.Time
	}

	var (
		mu    sync.Mutex
		last  = make(map[string]run)
		twice = make(map[string]bool)
		moved = make(map[string]run)
	)

	c.onEvent = func(e event) {
		mu.Lock()
		defer mu.Unlock()

		switch e.Kind {
		case "runs":
			if before, known := last[e.ID]; known && before.worker != e.Worker {
				moved[e.ID] = run{e.Worker, time.Now()}
			}

			last[e.ID] = run{e.Worker, time.Now()}
		case "works on", "answers":
			if to, known := moved[e.ID]; known && to.worker != e.Worker && time.Since(to.at) > overlap {
				twice[e.ID] = true
			}
		}
	}

	if err := c.startEntries(3); err != nil {
		return couldNotRun
	}

	if err := c.awaitReady(15 * time.Second); err != nil {
		return couldNotRun
	}

	time.Sleep(4 * time.Second) // Machines are in touch after contact_ms.

	path := "/note/preempted-2200/%d"
	if !trouble {
		path = "/note/sound/%d"
	}

	var (
		whole int
		all   sync.WaitGroup
	)

	for i := range streams {
		e, id := c.entries[i%len(c.entries)], attemptID()
		c.log("client sends to %s id=%s", e.name, id)
		all.Go(func() {
			r := ask(e.callers, "POST", fmt.Sprintf(path, i), id, streamHeader("m0", i), fmt.Sprintf("text %d", i), 15*time.Second)
			c.log("client got id=%s %v", id, r)

			mu.Lock()
			defer mu.Unlock()

			if r.status == 200 && r.whole {
				whole++
			}
		})

		time.Sleep(1500 * time.Millisecond)
	}

	all.Wait()
	time.Sleep(4 * time.Second)

	mu.Lock()
	defer mu.Unlock()

	c.log("%d streams, %d whole, %d went on at another worker, %d while the one before still worked 400 ms later", streams, whole, len(moved), len(twice))
	fmt.Printf("streams=%d whole=%d moved=%d twice=%d\n", streams, whole, len(moved), len(twice))

	switch {
	case whole == 0:
		return couldNotRun
	case len(twice) > 0:
		return broken
	}

	return held
}
