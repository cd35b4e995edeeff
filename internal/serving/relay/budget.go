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

// usableShare is the part of the allowance that is used. The rest covers requests
// that are counted on one side of a window's edge and repeated on the other.
const usableShare = 0.85

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
	buckets map[string]*bucket
}

// bucket is a bucket of sendings.
type bucket struct {
	tokens float64
	updated   time.Time
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

// Deposit counts a first sending to a service.
func (b *Budgets) Deposit(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()

	l := b.bucket(service, now)
	l.tokens = min(l.tokens+b.Allowance.Ratio*usableShare, b.capacity())
}

// TryWithdraw takes one more sending to a service, if it is allowed.
func (b *Budgets) TryWithdraw(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	l := b.bucket(service, now)
	if l.tokens < 1 {
		return false
	}

	l.tokens--

	return true
}

// halfBurst is halfBurst of this entry's share of the burst. A bucket holds that much, and
// as much flows in over a window, so that no window sees more than all.
func (b *Budgets) halfBurst() float64 { return b.Allowance.Burst * usableShare * b.share / 2 } //nolint:mnd // Halves.

// capacity is what a bucket holds; with less than one sending it would never allow
// any.
func (b *Budgets) capacity() float64 { return max(1, b.halfBurst()) }

// bucket returns the service's bucket with what has flowed in since its last
// use.
func (b *Budgets) bucket(service string, now time.Time) *bucket {
	if b.buckets == nil {
		b.buckets = make(map[string]*bucket)
	}

	l := b.buckets[service]
	if l == nil {
		l = &bucket{tokens: b.capacity(), updated: now}
		if !b.Started.IsZero() {
			l.tokens, l.updated = 0, b.Started
		}

		b.buckets[service] = l
	}

	if b.Allowance.Window > 0 {
		l.tokens = min(l.tokens+b.halfBurst()*float64(now.Sub(l.updated))/float64(b.Allowance.Window), b.capacity())
	}

	l.updated = now

	return l
}
