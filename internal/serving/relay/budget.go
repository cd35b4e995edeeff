package relay

import (
	"sync"
	"time"
)

// Allowance is what the operators allow all entries together for sending
// requests once more: in each window a share of the requests, and a burst.
type Allowance struct {
	Ratio float64
	Burst float64
	// Window is the span over which the burst is granted once.
	Window time.Duration
}

// safety is the part of the allowance that is used. The rest covers requests
// that are counted on one side of a window's edge and repeated on the other.
const safety = 0.85

// Budgets holds a budget for each service. Set Allowance before use.
//
// It guards against a storm of retries when targets fail in numbers. Each
// entry has an even share of the burst, and earns from its own requests, so
// the entries together keep the bound without talking to each other.
type Budgets struct {
	Allowance Allowance
	// Started is when this process started; zero means long ago. A process
	// begins with nothing: the one before it on its instance may have spent
	// everything right before its end.
	Started time.Time

	mu     sync.Mutex
	share  float64
	levels map[string]*level
}

// level is a bucket of sendings.
type level struct {
	left float64
	at   time.Time
}

// Allow replaces the allowance, because the settings changed.
func (b *Budgets) Allow(a Allowance) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.Allowance = a
}

// Share sets how many entries there are.
func (b *Budgets) Share(entries int) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.share = 1 / float64(max(1, entries))
}

// Earn counts a first sending to a service.
func (b *Budgets) Earn(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()

	l := b.level(service, now)
	l.left = min(l.left+b.Allowance.Ratio*safety, b.most())
}

// Take takes one more sending to a service, if it is allowed.
func (b *Budgets) Take(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	l := b.level(service, now)
	if l.left < 1 {
		return false
	}

	l.left--

	return true
}

// half is half of this entry's share of the burst. A bucket holds that much, and
// as much flows in over a window, so that no window sees more than all.
func (b *Budgets) half() float64 { return b.Allowance.Burst * safety * b.share / 2 } //nolint:mnd // Halves.

// most is what a bucket holds; with less than one sending it would never allow
// any.
func (b *Budgets) most() float64 { return max(1, b.half()) }

// level returns the service's bucket with what has flowed in since its last
// use.
func (b *Budgets) level(service string, now time.Time) *level {
	if b.levels == nil {
		b.levels = make(map[string]*level)
	}

	l := b.levels[service]
	if l == nil {
		l = &level{left: b.most(), at: now}
		if !b.Started.IsZero() {
			l.left, l.at = 0, b.Started
		}

		b.levels[service] = l
	}

	if b.Allowance.Window > 0 {
		l.left = min(l.left+b.half()*float64(now.Sub(l.at))/float64(b.Allowance.Window), b.most())
	}

	l.at = now

	return l
}
