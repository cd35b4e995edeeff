package main

import (
	"fmt"
	"sync"
	"time"
)

// lateCrash sends a request, every few seconds and to any entry, that ends each worker that
// begins to run it half a second after its first event. It counts how often the request reaches
// workers later than contact_ms after it has crashed the third.
func lateCrash(c *cluster, trouble bool) int {
	const (
		contact = 3 * time.Second
		allowed = 3
		comings = 14
		pause   = 4 * time.Second
		path    = "/note/crash-500/one"
	)

	c.store.put("op", "config", clusterConfig(7, []string{"m0"}))

	for i := range 8 {
		if err := c.addWorker(fmt.Sprintf("i-%d", i+1), "redactor", []string{"m0"}, 2*time.Second); err != nil {
			return couldNotRun
		}
	}

	var (
		mu               sync.Mutex
		crashes, reached int
		third            time.Time
	)

	c.onEvent = func(e event) {
		mu.Lock()
		defer mu.Unlock()

		switch {
		case e.Path != path:
		case e.Kind == "crashes":
			if crashes++; crashes == 3 {
				third = time.Now()
			}
		case e.Kind == "runs" && !third.IsZero() && time.Since(third) > contact:
			reached++
		}
	}

	if err := c.startEntries(3); err != nil {
		return couldNotRun
	}

	if err := c.awaitReady(15 * time.Second); err != nil {
		c.log("%v", err)

		return couldNotRun
	}

	time.Sleep(4 * time.Second) // Machines are in touch after contact_ms.

	used := path
	if !trouble {
		used = "/note/sound/one"
	}

	stop := make(chan struct{})

	var served, asked int

	var sound sync.WaitGroup

	sound.Go(func() { // Sound requests go on beside it.
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(500 * time.Millisecond):
			}

			id := attemptID()
			r := ask(c.entries[i%3].callers, "POST", fmt.Sprintf("/note/sound/%d", i), id, streamHeader("m0", i%8), fmt.Sprintf("text %d", i), 15*time.Second)
			asked++

			if r.status == 200 && r.stamped && r.whole {
				served++
			}
		}
	})

	same := streamHeader("m0", 0)

	for i := range comings {
		e := c.entries[i%len(c.entries)]
		id := attemptID()
		c.log("client sends %s to %s id=%s", used, e.name, id)
		r := ask(e.callers, "POST", used, id, same, "the same text each time", 15*time.Second)
		c.log("client got id=%s %v", id, r)
		time.Sleep(pause)
	}

	close(stop)
	sound.Wait()

	mu.Lock()
	defer mu.Unlock()

	c.log("crashes=%d reached workers later than contact_ms after the third=%d (allowed %d); sound requests served %d of %d", crashes, reached, allowed, served, asked)
	fmt.Printf("crashes=%d reached=%d allowed=%d sound=%d/%d\n", crashes, reached, allowed, served, asked)

	switch {
	case asked == 0 || served == 0:
		return couldNotRun
	case reached > allowed:
		return broken
	}

	return held
}
