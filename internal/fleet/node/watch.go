package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/inventory"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
)

const (
	// configWait is how long one call waits for a configuration. A change must
	// be in force within 2 s, also when the connection has gone silent; while
	// the holder is heard, that tells of a change, and calls wait for longer.
	configWait     = 1200 * time.Millisecond
	configWaitLong = 3 * time.Second
	// targetsPause is the time between two looks at the list of targets. A
	// leaving target must get nothing after 2 s, and each look costs a call;
	// while the holder is heard, entries look only when it says so, and now and
	// then.
	targetsPause     = 600 * time.Millisecond
	targetsPauseLong = 4 * time.Second
	// turnCheck is how often an entry looks whether the holder is still heard,
	// and holderFresh how old its last news may be.
	turnCheck   = 200 * time.Millisecond
	holderFresh = 900 * time.Millisecond
	// failurePause is the time between two calls to a store that fails.
	failurePause = 250 * time.Millisecond
)

// watchConfig keeps the configuration in force up to date.
func (n *Node) watchConfig(ctx context.Context) {
	var (
		after uint64
		link  link
	)

	for ctx.Err() == nil {
		c, version, err := n.nextConfig(ctx, after)
		link.note(n, "configuration", err)
		n.lostConfig.Store(link.lost)

		if err != nil {
			after = restart(err, after)
			_ = clock.Sleep(ctx, jitter(failurePause))

			continue
		}

		after = version

		if c == nil {
			// Nothing changed, or nothing was ever written.
			_ = clock.Sleep(ctx, jitter(failurePause)/10) //nolint:mnd // Only so that an empty store is not asked in a loop.

			continue
		}

		n.putInForce(c)
	}
}

func (n *Node) nextConfig(ctx context.Context, after uint64) (*route.Config, uint64, error) {
	if after == 0 {
		return n.cfg.Source.Configuration(ctx)
	}

	if !n.led() {
		return n.cfg.Source.ConfigurationAfter(ctx, after, configWait)
	}

	// The holder's word that there is a newer one ends the wait: the call may
	// hang on a connection that has gone silent.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	done := make(chan struct{})
	defer close(done)

	go func() {
		select {
		case <-n.configBehind:
			// An answer that is on its way comes within a few milliseconds.
			_ = clock.Sleep(ctx, configLate)

			cancel()
		case <-done:
		}
	}()

	c, version, err := n.cfg.Source.ConfigurationAfter(ctx, after, configWaitLong)
	if ctx.Err() != nil {
		return n.cfg.Source.Configuration(context.WithoutCancel(ctx))
	}

	return c, version, err
}

// configLate is how much later than the holder an entry may hear of a
// configuration from the store.
const configLate = 100 * time.Millisecond

// led reports whether another entry holds the lease and is heard, so that it
// tells of what changes in the store.
func (n *Node) led() bool {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.news.Holder != n.cfg.Self && !n.news.StoreLost && time.Since(n.heard) < holderFresh
}

// targetsTurn waits until it is time to look at the list of targets.
func (n *Node) targetsTurn(ctx context.Context) {
	looked := time.Now()
	pause, long := jitter(targetsPause), jitter(targetsPauseLong)
	t := time.NewTicker(turnCheck)

	defer t.Stop()

	for {
		select {
		case <-ctx.Done():
			return
		case <-n.listBehind:
			return
		case <-t.C:
		}

		if waited := time.Since(looked); waited >= long || waited >= pause && !n.led() {
			return
		}
	}
}

// putInForce takes a configuration in, unless it is older than the one in
// force.
//
// It guards against answers that overtake each other and against a whole read
// after lost history: a version must never go back within a process.
func (n *Node) putInForce(c *route.Config) {
	if old := n.config(); old != nil && old.Version >= c.Version {
		return
	}

	n.routes.Store(route.NewTable(c))
	n.cfg.Log.Info().Uint64("version", c.Version).Int("routes", len(c.Routes)).Int("services", len(c.Services)).Msg("configuration in force")
	poke(n.changed)
	n.holder.Announce()
}

// watchTargets keeps the list of targets up to date.
func (n *Node) watchTargets(ctx context.Context) {
	var (
		after uint64
		link  link
	)

	for ctx.Err() == nil {
		changes, version, err := n.nextTargets(ctx, after)
		link.note(n, "targets", err)
		n.lostTargets.Store(link.lost)

		if err != nil {
			n.noteFailure(err)

			after = restart(err, after)
			_ = clock.Sleep(ctx, jitter(failurePause))

			continue
		}

		// A peer may have told of a newer list meanwhile.
		if n.takeTargets(changes, after == 0, version) {
			after = version
		} else {
			after = 0
		}

		n.targetsTurn(ctx)
	}
}

// noteFailure records that the store did not answer, which lost history does
// not mean.
func (n *Node) noteFailure(err error) {
	var gone *inventory.HistoryGoneError
	if errors.As(err, &gone) {
		return
	}

	n.mu.Lock()
	defer n.mu.Unlock()

	n.book.Failed(time.Now())
}

func (n *Node) nextTargets(ctx context.Context, after uint64) ([]inventory.Change, uint64, error) {
	if after == 0 {
		return n.cfg.Source.Targets(ctx)
	}

	return n.cfg.Source.TargetsAfter(ctx, after, 0)
}

// restart returns from which version to go on after an error: from the
// beginning when changes were lost.
func restart(err error, after uint64) uint64 {
	var gone *inventory.HistoryGoneError
	if errors.As(err, &gone) {
		return 0
	}

	return after
}

// takeTargets takes in what the store says of the targets as of a version. It
// reports false, and changes nothing, when a newer list is known.
func (n *Node) takeTargets(changes []inventory.Change, whole bool, version uint64) bool {
	now := time.Now()

	n.mu.Lock()
	n.book.Heard(now)

	if version < n.list {
		n.mu.Unlock()

		return false
	}

	n.list = version
	if n.changesUse(changes, whole) {
		n.usable = version
	}

	if whole {
		n.book.Replace(changes, now)
	} else {
		n.book.Apply(changes, now)
	}

	n.known = n.book.Targets()
	n.mu.Unlock()
	n.listed.Store(true)

	for _, c := range changes {
		n.logChange(c)
	}

	if len(changes) > 0 || whole {
		poke(n.changed)
		n.holder.Announce()
	}

	return true
}

// changesUse reports whether changes of the list change which targets may be
// used, and not only what they hold. The caller holds the lock.
func (n *Node) changesUse(changes []inventory.Change, whole bool) bool {
	if whole {
		return true
	}

	for _, c := range changes {
		old, known := n.known[c.ID]
		if c.Removed || c.Err != nil || !known || old.Leaving != c.Target.Leaving || old.Born != c.Target.Born || old.Address != c.Target.Address {
			return true
		}
	}

	return false
}

func (n *Node) logChange(c inventory.Change) {
	switch {
	case c.Err != nil:
		n.cfg.Log.Warn().Err(c.Err).Str("target", string(c.ID)).Msg("row of the list names no target")
	case c.Removed:
		n.cfg.Log.Info().Str("target", string(c.ID)).Msg("target gone from the list")
	case c.Target.Leaving:
		n.cfg.Log.Info().Str("target", string(c.ID)).Uint64("row", c.Target.Version).Msg("target leaving")
	}
}

func (n *Node) knownTargets() map[instance.ID]inventory.Target {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.known
}

// link tells once when a dependency is lost and once when it is back.
type link struct {
	lost  bool
	since time.Time
}

func (l *link) note(n *Node, what string, err error) {
	var gone *inventory.HistoryGoneError

	switch {
	case err == nil && l.lost:
		n.cfg.Log.Info().Str("what", what).Dur("away", time.Since(l.since)).Msg("store regained")

		l.lost = false
	case errors.As(err, &gone):
		n.cfg.Log.Warn().Err(err).Str("what", what).Msg("history gone, reading the whole")
	case err != nil && !l.lost && !errors.Is(err, context.Canceled):
		n.cfg.Log.Warn().Err(err).Str("what", what).Msg("store lost")

		l.lost, l.since = true, time.Now()
	}
}

// jitter spreads d by a fifth, so that entries do not call in step.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.9 + 0.2*rand.Float64())) //nolint:gosec // No secret.
}
