package dispatch

import (
	"sync/atomic"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/serving/router"
)

// maxPause is the longest pause that is counted. A stream that resumes after a loss of
// packets says nothing about its target's speed.
const maxPause = time.Second

// Pauses counts the pauses between the events of streams from one replica. It is safe for
// concurrent use.
type Pauses struct{ events, nanoseconds atomic.Int64 }

// Observe counts a pause between two events.
func (p *Pauses) Observe(d time.Duration) {
	p.nanoseconds.Add(int64(min(d, maxPause)))
	p.events.Add(1)
}

// Events returns the number of pauses that were counted since the last report.
func (p *Pauses) Events() int { return int(p.events.Load()) }

// take returns the pauses since the last call, and their sum.
func (p *Pauses) take() (int, time.Duration) {
	events := p.events.Swap(0)

	return int(events), time.Duration(p.nanoseconds.Swap(0))
}

// Pauses returns the count of a replica's pauses.
func (d *Dispatcher) Pauses(t *router.Target, model string) *Pauses { return &d.useOf(t, model).pauses }
