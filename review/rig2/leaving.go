package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// leaving sends bookings and streams, of whose clients three in ten leave after half the objective.
// They close their connections in order. It counts successes without the worker's stamp, and
// streams that end as complete before their last piece.
func leaving(c *cluster, trouble bool) int {
	const (
		requests  = 240
		leaveEach = 10
		leavers   = 3
	)

	c.store.put("op", "config", clusterConfig(7, []string{"m0"}))

	for i := range 4 {
		if err := c.addWorker(fmt.Sprintf("i-%d", i+1), "redactor", []string{"m0"}, 2*time.Second); err != nil {
			return couldNotRun
		}
	}

	for i := range 3 {
		if err := c.addWorker(fmt.Sprintf("d-%d", i+1), "mostrador", nil, 2*time.Second); err != nil {
			return couldNotRun
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
		mu                                  sync.Mutex
		left, unstamped, cut, whole, others int
		all                                 sync.WaitGroup
	)

	for i := range requests {
		all.Go(func() {
			// The objectives are 100 ms and 600 ms.
			path, header, leave := fmt.Sprintf("/book/work-100/%d", i), map[string]string{}, 50*time.Millisecond
			if i%2 == 0 {
				path, header, leave = fmt.Sprintf("/note/sound/%d", i), streamHeader("m0", i%8), 300*time.Millisecond
			}

			if !trouble || i/2%leaveEach >= leavers {
				leave = 0
			}

			e, id := c.entries[i%len(c.entries)], attemptID()
			r := askAndLeave(e.callers, "POST", path, id, header, fmt.Sprintf("text %d", i), 5*time.Second, leave)
			pieces := strings.Count(r.body, "data: ")
			c.log("client id=%s path=%s entry=%s leaves=%v got %v pieces=%d", id, path, e.name, leave > 0, r, pieces)

			mu.Lock()
			defer mu.Unlock()

			success := r.err == nil && r.status >= 200 && r.status < 300

			switch {
			case success && !r.stamped:
				unstamped++
			case success && r.whole && i%2 == 0 && pieces < allEvents:
				cut++
			case success && r.whole:
				whole++
			default:
				others++
			}

			if leave > 0 {
				left++
			}
		})

		time.Sleep(100 * time.Millisecond)
	}

	all.Wait()

	c.log("%d requests, %d clients left; %d successes without stamp, %d streams ended as complete too soon, %d whole, %d others", requests, left, unstamped, cut, whole, others)
	fmt.Printf("requests=%d left=%d unstamped=%d cut=%d whole=%d others=%d\n", requests, left, unstamped, cut, whole, others)

	switch {
	case whole == 0:
		return couldNotRun
	case unstamped > 0 || cut > 0:
		return broken
	}

	return held
}
