package timeline

import (
	"sync"
	"sync/atomic"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

const (
	// ringSize is the number of events that a process retains of its own.
	ringSize = 1 << 14
	// copiesSize is the number of events that a process retains of other
	// processes.
	copiesSize = 1 << 15
)

// Log is a process's part of the timeline: a ring buffer of its own events and
// another of copies from its peers. Set Instance and Process before the first
// event; the other fields are ready as zero values.
type Log struct {
	Instance instance.ID
	Process  string
	Clock    Clock

	number atomic.Uint64
	own    ring
	copies ring
}

// ring is a ring buffer of the newest events.
type ring struct {
	mu     sync.Mutex
	events []Event
	next   int
}

func (r *ring) add(size int, events ...Event) {
	r.mu.Lock()
	defer r.mu.Unlock()

	for _, e := range events {
		if len(r.events) < size {
			r.events = append(r.events, e)

			continue
		}

		r.events[r.next] = e
		r.next = (r.next + 1) % size
	}
}

func (r *ring) query(match func(*Event) bool) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()

	var out []Event

	for i := range r.events {
		if e := &r.events[i]; match(e) {
			out = append(out, *e)
		}
	}

	return out
}

// Add stamps, numbers and stores e. On a nil Log it does nothing.
func (l *Log) Add(e Event) {
	if l == nil {
		return
	}

	e.At = l.Clock.Now()
	e.Instance = l.Instance
	e.Process = l.Process
	e.Number = l.number.Add(1)
	l.own.add(ringSize, e)
}

// Keep stores copies of other processes' events.
func (l *Log) Keep(events []Event) { l.copies.add(copiesSize, events...) }

// Query returns the own events and copies that f selects, in the order of Merge.
func (l *Log) Query(f Filter) []Event {
	return Merge(l.own.query(f.Match), l.copies.query(f.Match))
}

// After returns at most limit own events numbered above n, oldest first.
// Events that the ring has overwritten are missing from the result. A receiver
// that has earlier events of the process can find the missing numbers with Gaps.
func (l *Log) After(n uint64, limit int) []Event {
	if l.number.Load() <= n {
		return nil
	}

	events := Merge(l.own.query(func(e *Event) bool { return e.Number > n }))

	return events[:min(limit, len(events))]
}
