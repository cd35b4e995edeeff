package node

import (
	"context"
	"math/rand/v2"
	"time"
)

// lookers is how many entries look at the store as often as one would alone.
// Where there are more, each looks so much more seldom that all together call no
// more often, and hears of changes from the others.
const lookers = 8

// spread returns the pause between two looks of one entry, of so many, that all
// together look as often as the first few would with a pause of d.
func spread(d time.Duration, entries int) time.Duration {
	return d * time.Duration(max(lookers, entries)) / lookers
}

// standing is what an entry's next look at the store depends on.
type standing struct {
	// entries is how many entries there are, this one included.
	entries int
	// holding says that this entry holds the lease, and led that another does
	// and tells of changes.
	holding, led bool
}

// pauses are the times between two looks of an entry that holds the lease, of
// one that is told of changes, and of one that is not.
type pauses struct {
	holding, led, alone time.Duration
	// polls says that a look itself waits for changes, for about the pause.
	polls bool
}

// due reports whether an entry that looked so long ago looks again, where it
// asks itself at each turnCheck and has drawn a number from [0, 1).
//
// It answers the load of hundreds of entries whose holder has died or no longer
// hears the store: all of them would look, each as often as one alone. The draw
// keeps those that looked long ago from looking all at once.
func (p pauses) due(waited time.Duration, s standing, draw float64) bool {
	switch {
	case s.holding:
		return p.polls || waited >= p.holding
	case s.led:
		return waited >= spread(p.led, s.entries)
	case s.entries <= lookers:
		return p.polls || waited >= p.alone
	default:
		return waited >= p.alone && draw < float64(turnCheck)/float64(spread(p.alone, s.entries))
	}
}

// jittered returns the pauses with a part of chance, so that entries do not
// call in step.
func (p pauses) jittered() pauses {
	p.holding, p.led, p.alone = jitter(p.holding), jitter(p.led), jitter(p.alone)

	return p
}

// standing returns what the next look depends on. Until this entry has read who
// there is, it takes the others for many.
func (n *Node) standing() standing {
	entries := n.peers.listed() + 1
	if !n.peers.scanned.Load() {
		entries = max(entries, sharersUnknown)
	}

	return standing{entries: entries, holding: n.holder.Holding(), led: n.led()}
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
func (n *Node) noteStore(age time.Duration, now time.Time) {
	if n.peers.listed() < lookers {
		return
	}

	if age >= holderKnows {
		n.book.StoreFailed(now)
	} else {
		n.book.StoreAnswered(now)
	}
}

// turn waits until it is time to look at the store. A word that the holder has
// something newer ends the wait too, unless catchUp gets it from there.
func (n *Node) turn(ctx context.Context, p pauses, behind <-chan struct{}, catchUp func(context.Context) bool) {
	looked := time.Now()
	p = p.jittered()
	t := time.NewTicker(turnCheck)

	defer t.Stop()

	for !p.due(time.Since(looked), n.standing(), rand.Float64()) { //nolint:gosec // No secret.
		select {
		case <-ctx.Done():
			return
		case <-behind:
			if !catchUp(ctx) {
				return
			}
		case <-t.C:
		}
	}
}
