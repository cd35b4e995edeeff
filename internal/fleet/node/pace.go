package node

import (
	"context"
	"math/rand/v2"
	"time"
)

// fullRateEntries is the largest number of entries at which each reads the
// store at the interval of a single entry. Where there are more, each that has a
// lease holder reads less often, so that the total rate stays the same.
const fullRateEntries = 8

// scaleInterval returns the interval at which each of the entries reads the
// store: d for up to fullRateEntries, and a longer one for more, so that the
// total rate does not grow.
func scaleInterval(d time.Duration, entries int) time.Duration {
	return d * time.Duration(max(fullRateEntries, entries)) / fullRateEntries
}

// pollState is the state of an entry that determines when it next reads the
// store.
type pollState struct {
	// entries is the number of entries, this one included.
	entries int
	// holding reports that this entry holds the lease, and led that another
	// entry does and announces changes.
	holding, led bool
	// alone is for how long neither has been so.
	alone time.Duration
}

// polling contains the intervals between two reads of the store: by the lease
// holder, by an entry to which the holder announces changes, and by an entry
// without such a holder.
type polling struct {
	holding, led, alone time.Duration
	// longPoll reports that a read itself waits for changes, for about the
	// interval.
	longPoll bool
}

const (
	// aloneInterval is the time between two reads of one kind by each of many
	// entries without a holder.
	aloneInterval = 600 * time.Millisecond
	// aloneSpread is the time after the loss of the holder over which the first
	// reads of many entries spread.
	aloneSpread = 100 * time.Millisecond
	// maxReadRate is how many reads a second many entries without a holder make
	// together: half of what the smallest of the users' stores allows.
	maxReadRate = 1000
	// readKinds are the reads that each entry makes: of the configuration and of
	// the list.
	readKinds = 2
)

// manyInterval returns the interval at which each of many entries without a
// holder reads the store. It grows only where they would exceed maxReadRate.
func manyInterval(entries int) time.Duration {
	return max(aloneInterval, readKinds*time.Duration(entries)*time.Second/maxReadRate)
}

// manySpread returns the time over which their first reads spread.
func manySpread(entries int) time.Duration {
	return manyInterval(entries) - aloneInterval + aloneSpread
}

// due reports whether an entry must read the store again when its last read was
// sinceRead ago. It is evaluated at each pollTick. The phase, from [0, 1), is
// where the entry stands among the others when they have lost their holder: the
// last read of each is long ago then, and all would read at once.
//
// Each entry's reads have a bound of their own. An entry that relied on others
// to read, or on a draw, could miss a change for any time while they are gone.
func (p polling) due(sinceRead time.Duration, s pollState, phase float64) bool {
	switch {
	case s.holding:
		return p.longPoll || sinceRead >= p.holding
	case s.led:
		return sinceRead >= scaleInterval(p.led, s.entries)
	case s.entries <= fullRateEntries:
		return p.longPoll || sinceRead >= p.alone
	default:
		return sinceRead >= manyInterval(s.entries) && s.alone >= time.Duration(phase*float64(manySpread(s.entries)))
	}
}

// jittered returns the intervals with jitter, so that entries do not call in
// step.
func (p polling) jittered() polling {
	p.holding, p.led, p.alone = jitter(p.holding), jitter(p.led), jitter(p.alone)

	return p
}

// pollState returns this entry's state for due. Until the entries' rows have
// been read, it assumes at least worstCaseEntries.
func (n *Node) pollState() pollState {
	entries := n.peers.listed() + 1
	if !n.peers.scanned.Load() {
		entries = max(entries, worstCaseEntries)
	}

	until := n.ledUntil()

	return pollState{entries: entries, holding: n.holder.Holding(), led: time.Now().Before(until), alone: time.Since(until)}
}

// jitter varies d by up to a tenth either way, so that entries do not call in
// step.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.9 + 0.2*rand.Float64())) //nolint:gosec // No secret.
}

// recordHolderStoreAge records whether the holder's reads of the store succeed,
// for an entry that reads it too seldom to detect a failure by itself.
//
// It guards against a fault at the end of a store outage: the list that the
// holder then announces lacks targets whose rows expired meanwhile, and only an
// entry that has recorded the outage retains them for a while.
//
// A new holder may have read the store long ago, while it was led. What it then
// says is no failure: it took the lease from the store. The caller holds the lock.
func (n *Node) recordHolderStoreAge(age time.Duration, now time.Time) {
	if n.peers.listed() < fullRateEntries {
		return
	}

	if min(age, now.Sub(n.termHeardAt)) >= maxHolderStoreAge {
		n.registry.StoreFailed(now)
	} else {
		n.registry.StoreAnswered(now)
	}
}

// waitForNextRead waits until the next read of the store is due after the last one. It also ends
// when the holder announces a change that fetch cannot get without the store.
func (n *Node) waitForNextRead(ctx context.Context, lastRead time.Time, p polling, refresh <-chan struct{}, fetch func(context.Context) bool) {
	p = p.jittered()
	phase := rand.Float64() //nolint:gosec // No secret.
	t := time.NewTicker(pollTick)

	defer t.Stop()

	for !p.due(time.Since(lastRead), n.pollState(), phase) {
		select {
		case <-ctx.Done():
			return
		case <-refresh:
			if !fetch(ctx) {
				return
			}
		case <-t.C:
		}
	}
}
