package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// impatient sends streams to one entry for a model that one worker holds: half as many as that has
// places, and more than the entry's even share of them, so that some wait. The worker preempts one
// stream in six for two seconds. The entry gets SIGHUP meanwhile. It counts the streams whose connections end without a complete answer although
// their worker has not broken them off.
func impatient(c *cluster, trouble bool) int {
	const (
		clients     = 24
		preemptEach = 6
		before      = 500 * time.Millisecond
		configApply = 2 * time.Second
	)

	c.store.put("op", "config", clusterConfig(7, []string{"m0", "m1"}))

	for i := range 4 {
		held := []string{"m0"}
		if i == 0 {
			held = []string{"m1"}
		}

		if err := c.addWorker(fmt.Sprintf("i-%d", i+1), "redactor", held, 2*time.Second); err != nil {
			return couldNotRun
		}
	}

	var (
		mu     sync.Mutex
		ran    = make(map[string]bool)
		ownEnd = make(map[string]bool)
	)

	c.onEvent = func(e event) {
		mu.Lock()
		defer mu.Unlock()

		switch e.Kind {
		case "runs":
			ran[e.ID] = true
		case "crashes":
			ownEnd[e.ID] = true
		}
	}

	if err := c.startEntries(3); err != nil {
		return couldNotRun
	}

	if err := c.awaitReady(15 * time.Second); err != nil {
		return couldNotRun
	}

	time.Sleep(4 * time.Second) // Machines are in touch after contact_ms.

	var (
		e                           = c.entries[0]
		began                       = time.Now()
		whole, refused, lost, asked int
		all                         sync.WaitGroup
	)

	for i := range clients {
		all.Go(func() {
			for n := 0; time.Since(began) < before+configApply; n++ {
				path := fmt.Sprintf("/note/sound/%d-%d", i, n)
				if trouble && i%preemptEach == 0 {
					path = fmt.Sprintf("/note/preempted-2000/%d-%d", i, n)
				}

				id := attemptID()
				r := ask(e.callers, "POST", path, id, streamHeader("m1", i%8), fmt.Sprintf("text %d %d", i, n), 15*time.Second)
				c.log("client id=%s path=%s got %v pieces=%d", id, path, r, strings.Count(r.body, "data: "))

				mu.Lock()
				asked++

				switch {
				case r.status == 200 && r.whole:
					whole++
				case r.status >= 500 && r.whole:
					refused++
				case ran[id] && !ownEnd[id]:
					lost++
				}
				mu.Unlock()

				if r.status != 200 {
					time.Sleep(500 * time.Millisecond)
				}
			}
		})
	}

	if trouble {
		time.Sleep(before)
		c.log("SIGHUP to %s", e.name)
		_ = e.cmd.Process.Signal(syscall.SIGHUP)
	}

	all.Wait()

	c.log("%d asked, %d whole, %d refused, %d ended without a complete answer though their worker had not broken them off", asked, whole, refused, lost)
	fmt.Printf("asked=%d whole=%d refused=%d lost=%d\n", asked, whole, refused, lost)

	switch {
	case whole == 0:
		return couldNotRun
	case lost > 0:
		return broken
	}

	return held
}
