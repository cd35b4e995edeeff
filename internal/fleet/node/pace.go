package node

import (
	"context"
	"math/rand/v2"
	"time"
)

// lookers is how many entries look at the store as often as one would alone.
// Where there are more, each looks so much more seldom that all together call no
// more often, and hears of changes from the others.
const fullRateEntries = 8

// spread returns the pause between two looks of one entry, of so many, that all
// together look as often as the first few would with a pause of d.
func scaleInterval(d time.Duration, entries int) time.Duration {
	return d * time.Duration(max(fullRateEntries, entries)) / fullRateEntries
}

// standing is what an entry's next look at the store depends on.
type pollState struct {
	// entries is how many entries there are, this one included.
	entries int
	// holding says that this entry holds the lease, and led that another does
	// and tells of changes.
	holding, led bool
}

// pauses are the times between two looks of an entry that holds the lease, of
// one that is told of changes, and of one that is not.
type polling struct {
	holding, led, alone time.Duration
	// polls says that a look itself waits for changes, for about the pause.
	longPoll bool
}

// due reports whether an entry that looked so long ago looks again, where it
// asks itself at each turnCheck and has drawn a number from [0, 1).
//
// It answers the load of hundreds of entries whose holder has died or no longer
// hears the store: all of them would look, each as often as one alone. The draw
// keeps those that looked long ago from looking all at once.
func (p polling) due(waited time.Duration, s pollState, draw float64) bool {
	switch {
	case s.holding:
		return p.longPoll || waited >= p.holding
	case s.led:
		return waited >= scaleInterval(p.led, s.entries)
	case s.entries <= fullRateEntries:
		return p.longPoll || waited >= p.alone
	default:
		return waited >= p.alone && draw < float64(pollTick)/float64(scaleInterval(p.alone, s.entries))
	}
}

// jittered returns the pauses with a part of chance, so that entries do not
// call in step.
func (p polling) jittered() polling {
	p.holding, p.led, p.alone = jitter(p.holding), jitter(p.led), jitter(p.alone)

	return p
}

// standing returns what the next look depends on. Until this entry has read who
// there is, it takes the others for many.
func (n *Node) pollState() pollState {
	entries := n.peers.listed() + 1
	if !n.peers.scanned.Load() {
		entries = max(entries, assumedEntries)
	}

	return pollState{entries: entries, holding: n.holder.Holding(), led: n.led()}
}

// jitter spreads d by a fifth, so that entries do not call in step.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.9 + 0.2*rand.Float64())) //nolint:gosec // No secret.
}

// noteStore takes in how the holder stands with the store, for an entry that
// looks too seldom to find out by itself.
//
// It guards against the end of an outage: the list that the holder tells then
// lacks targets whose entries lapsed meanwhile, and which are kept for a moment
// by whoever knows of the outage. The caller holds the lock.
func (n *Node) recordHolderStoreAge(age time.Duration, now time.Time) {
	if n.peers.listed() < fullRateEntries {
		return
	}

	if age >= maxHolderStoreAge {
		n.registry.Failed(now)
	} else {
		n.registry.Heard(now)
	}
}

// turn waits until it is time to look at the store. A word that the holder has
// something newer ends the wait too, unless catchUp gets it from there.
func (n *Node) waitForNextRead(ctx context.Context, p polling, refresh <-chan struct{}, fetch func(context.Context) bool) {
	lastRead := time.Now()
	p = p.jittered()
	t := time.NewTicker(pollTick)

	defer t.Stop()

	for !p.due(time.Since(lastRead), n.pollState(), rand.Float64()) { //nolint:gosec // No secret.
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
