package node

import (
	"context"
	"errors"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/inventory"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
)

const (
	// configWait is how long one call of an entry on its own waits for a
	// configuration. A change must be in force within 2 s, also when the
	// connection has gone silent. The holder's calls are short, since all rest
	// on them.
	configWait        = 1200 * time.Millisecond
	configWaitHolding = 500 * time.Millisecond
	// targetsPause is the time between two looks at the list of targets of an
	// entry on its own. A leaving target must get nothing after 2 s, and each
	// look costs a call.
	targetsPause        = 600 * time.Millisecond
	targetsPauseHolding = 450 * time.Millisecond
	// pauseLed is the time between two looks of an entry that the holder tells
	// of changes.
	pauseLed = 15 * time.Second
	// targetsPauseTold is the time before a look when the holder tells of changes
	// and does not answer for them: at a site's start all targets
	// register within seconds, and all entries would look at each.
	targetsPauseTold = 400 * time.Millisecond
	// turnCheck is how often an entry looks whether the holder still tells of
	// changes.
	turnCheck = 200 * time.Millisecond
	// holderKnows is how old the holder's knowledge of the store may be for the
	// others to rest on it: its looks are half a second apart and its news 0.4 s,
	// and with a look of their own the others are still within 2 s.
	holderKnows = 1300 * time.Millisecond
	// failurePause is the time between two calls to a store that fails, doubled
	// each time up to failureMost: entries have seconds after its return, and the
	// calls of many cost more than they find out.
	failurePause = 250 * time.Millisecond
	failureMost  = time.Second
)

var (
	configPauses  = pauses{holding: configWaitHolding, led: pauseLed, alone: configWait, polls: true}
	targetsPauses = pauses{holding: targetsPauseHolding, led: pauseLed, alone: targetsPause}
)

// watchConfig keeps the configuration in force up to date.
func (n *Node) watchConfig(ctx context.Context) {
	var (
		after uint64
		link  link
	)

	for ctx.Err() == nil {
		n.askingConfig.Store(true)
		c, version, err := n.nextConfig(ctx, after)
		n.askingConfig.Store(false)
		link.note(n, "configuration", err)
		n.lostConfig.Store(link.lost)

		if err != nil {
			after = restart(err, after)
			n.rest(ctx, &link, err, configPauses, n.configBehind, n.catchUpConfig)

			continue
		}

		after = version

		n.mu.Lock()
		n.lookedConfig, n.configRead = time.Now(), version
		n.mu.Unlock()

		if c != nil {
			n.putInForce(c)
		} else {
			// Nothing changed, or nothing was ever written.
			_ = clock.Sleep(ctx, jitter(failurePause)/10) //nolint:mnd // Only so that an empty store is not asked in a loop.
		}

		n.turn(ctx, configPauses, n.configBehind, n.catchUpConfig)
	}
}

// rest waits after a call that failed. Where there are many entries it is the
// others who find out that the store is back.
func (n *Node) rest(ctx context.Context, l *link, err error, p pauses, behind <-chan struct{}, catchUp func(context.Context) bool) {
	_ = clock.Sleep(ctx, l.pause()) // The loop's owner looks at ctx.

	var gone *inventory.HistoryGoneError
	if !errors.As(err, &gone) && n.standing().entries > lookers {
		n.turn(ctx, p, behind, catchUp)
	}
}

func (n *Node) nextConfig(ctx context.Context, after uint64) (*route.Config, uint64, error) {
	s := n.standing()
	n.noteLook(callConfig, s, after)

	switch {
	case after == 0:
		return n.cfg.Source.Configuration(ctx)
	case s.holding:
		return n.cfg.Source.ConfigurationAfter(ctx, after, configWaitHolding)
	case s.led || s.entries > lookers:
		return n.cfg.Source.ConfigurationAfter(ctx, after, 0)
	}

	return n.cfg.Source.ConfigurationAfter(ctx, after, configWait)
}

// led reports whether another entry holds the lease and knows what stands in
// the store, so that it tells of what changes there.
//
// It guards against a holder that the store no longer serves while it serves
// this entry: a change that the operators were told is in force would be hidden
// until the holder's calls had timed out.
func (n *Node) led() bool {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.news.Holder != n.cfg.Self && !n.heard.IsZero() && n.news.StoreAge+time.Since(n.heard) < holderKnows
}

// catchUpTargets learns the newest list from the holder. It reports false
// when the store must be asked.
func (n *Node) catchUpTargets(ctx context.Context) bool {
	if n.askHolder(ctx) {
		return true
	}

	_ = clock.Sleep(ctx, jitter(targetsPauseTold)) // The loop's owner looks at ctx.

	return false
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
	n.cfg.Log.Info().Uint64("version", c.Version).Int("routes", len(c.Routes)).Int("services", len(c.Services)).Int("teams", c.Teams.Len()).Msg("configuration in force")

	for _, err := range c.Teams.CheckBursts() {
		n.cfg.Log.Warn().Err(err).Uint64("version", c.Version).Msg("limit below one request")
	}

	poke(n.changed)
	poke(n.quotas.soon)
	n.holder.Announce()
}

// watchTargets keeps the list of targets up to date.
func (n *Node) watchTargets(ctx context.Context) {
	var (
		after uint64
		link  link
	)

	for ctx.Err() == nil {
		n.askingTargets.Store(true)
		changes, version, err := n.nextTargets(ctx, after)
		n.askingTargets.Store(false)
		link.note(n, "targets", err)
		n.lostTargets.Store(link.lost)

		if err != nil {
			n.noteFailure(err)

			after = restart(err, after)
			n.rest(ctx, &link, err, targetsPauses, n.listBehind, n.catchUpTargets)

			continue
		}

		// A peer may have told of a newer list meanwhile.
		if n.takeTargets(changes, after == 0, version) {
			after = version
		} else {
			after = 0
		}

		n.turn(ctx, targetsPauses, n.listBehind, n.catchUpTargets)
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

	n.book.StoreFailed(time.Now())
}

func (n *Node) nextTargets(ctx context.Context, after uint64) ([]inventory.Change, uint64, error) {
	n.noteLook(callTargets, n.standing(), after)

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
	n.book.StoreAnswered(now)

	if version < n.list {
		n.mu.Unlock()

		return false
	}

	n.list, n.lookedTargets = version, now
	if n.changesUse(changes, whole) {
		n.usable = version
	}

	n.apply(changes, whole, now)
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
		if c.Removed || c.Err != nil || !known || old.Leaving != c.Target.Leaving || old.StartedMs != c.Target.StartedMs || old.Address != c.Target.Address {
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
	// failed counts the calls without an answer since the last one with.
	failed int
}

// pause returns how long to wait after a failure.
func (l *link) pause() time.Duration {
	return jitter(min(failurePause<<min(max(0, l.failed-1), 2), failureMost)) //nolint:mnd // Doubled twice.
}

func (l *link) note(n *Node, what string, err error) {
	var gone *inventory.HistoryGoneError

	l.failed++
	if err == nil || errors.As(err, &gone) {
		l.failed = 0
	}

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
