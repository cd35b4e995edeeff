package dispatch

import (
	"time"

	"github.com/fulmarcross/fulmarcross/internal/serving/crash"
)

// maxDoubted bounds the answered runs of a process that wait for it to live on.
const maxDoubted = 64

// doubt keeps an answered run until its target has lived on. The caller holds the lock.
func (c *Crashes) doubt(run *crash.Run) {
	on := run.Process()

	waiting, inProgress := c.doubted[on]
	if len(waiting) >= maxDoubted {
		return
	}

	if c.doubted == nil {
		c.doubted = make(map[crash.Death][]*crash.Run)
	}

	c.doubted[on] = append(waiting, run)

	if !inProgress {
		go c.settle(on)
	}
}

// settle acquits the answered runs of a process, as long as there are any, if it has lived on.
func (c *Crashes) settle(on crash.Death) {
	for {
		c.mu.Lock()
		runs := c.doubted[on]

		if len(runs) == 0 {
			delete(c.doubted, on)
			c.mu.Unlock()

			return
		}

		c.doubted[on] = nil
		c.mu.Unlock()

		if !c.LivesOn(on) {
			continue
		}

		for _, run := range runs {
			c.mu.Lock()
			c.acquit(run, time.Now())
		}
	}
}
