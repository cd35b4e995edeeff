package relay

import (
	"math"
	"sync"
	"time"
)

// RetryLimit is the operators' limit on the retries of all entries together: in
// each window, Ratio times the number of requests plus Burst.
type RetryLimit struct {
	Ratio float64
	Burst float64
	// Window is the period over which the burst is granted once.
	Window time.Duration
}

// usableFraction is the fraction of the limit that is used. The rest covers
// requests that are counted on one side of a window's boundary and retried on the
// other.
const usableFraction = 0.85

// RetryBudgets holds a retry budget for each service. Set Limit and call
// SetEntries before use.
//
// RetryBudgets prevents a retry storm when many targets fail at once. Each entry has
// an equal share of the burst and adds to its budget with its own requests, so
// the entries together stay within the limit without coordination.
type RetryBudgets struct {
	Limit RetryLimit
	// Started is when this process started. If it is set, the budgets start
	// empty, because the previous process on its instance may have spent the
	// whole budget just before it ended. If it is zero, they start full.
	Started time.Time

	mu sync.Mutex
	// entryShare is the fraction of the burst that this entry may use.
	entryShare float64
	buckets    map[string]*bucket
}

// bucket is a token bucket; each token allows one retry.
type bucket struct {
	tokens  float64
	updated time.Time
	// recent counts this process's requests and retries of the last window.
	recent recentCounts
}

// SetLimit replaces the limit after a change of the settings.
func (b *RetryBudgets) SetLimit(limit RetryLimit) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.Limit = limit
}

// SetEntries sets the number of entries that share the burst.
func (b *RetryBudgets) SetEntries(entries int) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.entryShare = 1 / float64(max(1, entries))
}

// Credit credits the service's bucket for a request that a client has sent: with
// Limit.Ratio, reduced by usableFraction. The limit counts requests by when they were
// sent, so one that is queued must not be credited later.
func (b *RetryBudgets) Credit(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()

	bk := b.bucket(service, now)
	bk.tokens = min(bk.tokens+b.Limit.Ratio*usableFraction, b.capacity())
	bk.recent.at(now, b.Limit.Window).requests++
}

// TryDebit reports whether a request to the service may be retried, and
// debits one token if so.
func (b *RetryBudgets) TryDebit(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	bk := b.bucket(service, now)
	if bk.tokens < 1 || !b.withinWindow(bk, now) {
		return false
	}

	bk.tokens--
	bk.recent.at(now, b.Limit.Window).retries++

	return true
}

// withinWindow reports whether one more retry keeps this entry's part of the limit in the window
// that ends now. A bucket alone does not where the entry's share of the burst is less than one
// token, which each bucket holds all the same. After a start the share accrues, since the former
// process may have spent its own.
func (b *RetryBudgets) withinWindow(bk *bucket, now time.Time) bool {
	if b.Limit.Window <= 0 {
		return true
	}

	requests, retries := bk.recent.sum(now, b.Limit.Window)
	share := b.Limit.Burst * b.entryShare

	if age := now.Sub(b.Started); !b.Started.IsZero() && age < b.Limit.Window {
		share *= float64(age) / float64(b.Limit.Window)
	}

	allowed := b.Limit.Ratio*usableFraction*requests + max(usableFraction*share, math.Floor(share))

	return retries+1 <= allowed
}

// Refund returns the token of a retry that was not sent.
func (b *RetryBudgets) Refund(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()

	bk := b.bucket(service, now)
	bk.tokens = min(bk.tokens+1, b.capacity())
	bk.recent.at(now, b.Limit.Window).retries--
}

// halfBurst is half of this entry's share of the burst: the capacity of a bucket
// (but at least one token, see capacity) and the amount that refills it in each
// window. A full bucket and its refill together give at most the whole share in
// any window, unless half of the share is less than one token.
func (b *RetryBudgets) halfBurst() float64 { return b.Limit.Burst * usableFraction * b.entryShare / 2 } //nolint:mnd // Half of the share.

// capacity is the most that a bucket holds: at least one token, since a smaller
// bucket would never allow a retry.
func (b *RetryBudgets) capacity() float64 { return max(1, b.halfBurst()) }

// bucket returns the service's bucket, refilled for the time since its last
// use.
func (b *RetryBudgets) bucket(service string, now time.Time) *bucket {
	if b.buckets == nil {
		b.buckets = make(map[string]*bucket)
	}

	bk := b.buckets[service]
	if bk == nil {
		bk = &bucket{tokens: b.capacity(), updated: now}
		if !b.Started.IsZero() {
			bk.tokens, bk.updated = 0, b.Started
		}

		b.buckets[service] = bk
	}

	if b.Limit.Window > 0 {
		bk.tokens = min(bk.tokens+b.halfBurst()*float64(now.Sub(bk.updated))/float64(b.Limit.Window), b.capacity())
	}

	bk.updated = now

	return bk
}
