package worker

import (
	"time"

	"github.com/fulmarcross/fulmarcross/platform"
)

// Brittle makes a target fall over when it has to turn too many requests away.
type Brittle struct {
	// Turned is the number of requests that it may turn away in a second for want of room.
	Turned int
	// Slots is the number of requests that it runs at a time, and Waiting how many more may
	// wait there.
	Slots, Waiting int
	// Down is how long it is down after it has fallen over.
	Down time.Duration
}

// brittleState is what happens at a brittle target. The zero value is a target that is not
// brittle.
type brittleState struct {
	Brittle

	stated bool
	inside int
	turned []time.Time
	downTo time.Time
	falls  int
}

// SetBrittle makes the target brittle, and say so in its answers, or ends that if b is nil.
func (w *Worker) SetBrittle(b *Brittle) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.brittle.stated = b != nil
	if b != nil {
		w.brittle.Brittle = *b
	}
}

// Falls returns how often the target has fallen over.
func (w *Worker) Falls() int {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.brittle.falls
}

// enter takes a request in at a brittle target. It returns false if the request was turned
// away or lost; leave must be called otherwise.
func (w *Worker) enter(a *platform.Answer) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	b := &w.brittle
	now := time.Now()

	if now.Before(b.downTo) {
		defer a.Lose()

		return false
	}

	b.inside++

	if !b.stated {
		return true
	}

	a.StateBrittle(b.Turned)

	if b.inside <= b.Slots+b.Waiting {
		return true
	}

	b.inside--
	b.turn(now)
	a.Full()

	return false
}

// turn records that a request was turned away.
func (b *brittleState) turn(now time.Time) {
	kept := b.turned[:0]

	for _, at := range b.turned {
		if now.Sub(at) < time.Second {
			kept = append(kept, at)
		}
	}

	kept = append(kept, now)
	b.turned = kept

	if len(kept) > b.Turned {
		b.falls++
		b.downTo, b.turned = now.Add(b.Down), nil
	}
}

func (w *Worker) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.brittle.inside--
}
