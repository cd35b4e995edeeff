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
	targetsInterval        = 600 * time.Millisecond
	targetsIntervalHolding = 450 * time.Millisecond
	// pauseLed is the time between two looks of an entry that the holder tells
	// of changes.
	ledInterval = 15 * time.Second
	// targetsPauseTold is the time before a look when the holder tells of changes
	// and does not answer for them: at a site's start all targets
	// register within seconds, and all entries would look at each.
	targetsReadDelay = 400 * time.Millisecond
	// turnCheck is how often an entry looks whether the holder still tells of
	// changes.
	pollTick = 200 * time.Millisecond
	// holderKnows is how old the holder's knowledge of the store may be for the
	// others to rest on it: its looks are half a second apart and its news 0.4 s,
	// and with a look of their own the others are still within 2 s.
	maxHolderStoreAge = 1300 * time.Millisecond
	// failurePause is the time between two calls to a store that fails, doubled
	// each time up to failureMost: entries have seconds after its return, and the
	// calls of many cost more than they find out.
	minBackoff = 250 * time.Millisecond
	maxBackoff  = time.Second
)

var (
	configPolling  = polling{holding: configWaitHolding, led: ledInterval, alone: configWait, longPoll: true}
	targetsPolling = polling{holding: targetsIntervalHolding, led: ledInterval, alone: targetsInterval}
)

// watchConfig keeps the configuration in force up to date.
func (n *Node) watchConfig(ctx context.Context) {
	var (
		after uint64
		status  storeStatus
	)

	for ctx.Err() == nil {
		n.readingConfig.Store(true)
		c, version, err := n.readConfig(ctx, after)
		n.readingConfig.Store(false)
		status.record(n, "configuration", err)
		n.configReadsFail.Store(status.lost)

		if err != nil {
			after = resumeVersion(err, after)
			n.backOff(ctx, &status, err, configPolling, n.refreshConfig, n.fetchConfig)

			continue
		}

		after = version

		n.mu.Lock()
		n.configAsOf, n.configReadVersion = time.Now(), version
		n.mu.Unlock()

		if c != nil {
			n.activateConfig(c)
		} else {
			// Nothing changed, or nothing was ever written.
			_ = clock.Sleep(ctx, jitter(minBackoff)/10) //nolint:mnd // Only so that an empty store is not asked in a loop.
		}

		n.waitForNextRead(ctx, configPolling, n.refreshConfig, n.fetchConfig)
	}
}

// rest waits after a call that failed. Where there are many entries it is the
// others who find out that the store is back.
func (n *Node) backOff(ctx context.Context, status *storeStatus, err error, p polling, refresh <-chan struct{}, fetch func(context.Context) bool) {
	_ = clock.Sleep(ctx, status.backoff()) // The loop's owner looks at ctx.

	var gone *inventory.HistoryGoneError
	if !errors.As(err, &gone) && n.pollState().entries > fullRateEntries {
		n.waitForNextRead(ctx, p, refresh, fetch)
	}
}

func (n *Node) readConfig(ctx context.Context, after uint64) (*route.Config, uint64, error) {
	s := n.pollState()
	n.countRead(callConfig, s, after)

	switch {
	case after == 0:
		return n.cfg.Source.Configuration(ctx)
	case s.holding:
		return n.cfg.Source.ConfigurationAfter(ctx, after, configWaitHolding)
	case s.led || s.entries > fullRateEntries:
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

	return n.holderState.Holder != n.cfg.Self && !n.holderReceived.IsZero() && n.holderState.StoreAge+time.Since(n.holderReceived) < maxHolderStoreAge
}

// catchUpTargets learns the newest list from the holder. It reports false
// when the store must be asked.
func (n *Node) fetchTargets(ctx context.Context) bool {
	if n.fetchListFromHolder(ctx) {
		return true
	}

	_ = clock.Sleep(ctx, jitter(targetsReadDelay)) // The loop's owner looks at ctx.

	return false
}

// putInForce takes a configuration in, unless it is older than the one in
// force.
//
// It guards against answers that overtake each other and against a whole read
// after lost history: a version must never go back within a process.
func (n *Node) activateConfig(c *route.Config) {
	if old := n.config(); old != nil && old.Version >= c.Version {
		return
	}

	n.routes.Store(route.NewTable(c))
	n.cfg.Log.Info().Uint64("version", c.Version).Int("routes", len(c.Routes)).Int("services", len(c.Services)).Int("teams", c.Teams.Len()).Msg("configuration in force")

	for _, err := range c.Teams.Narrow() {
		n.cfg.Log.Warn().Err(err).Uint64("version", c.Version).Msg("limit below one request")
	}

	signal(n.routingChanged)
	signal(n.quotas.roundSoon)
	n.holder.Announce()
}

// watchTargets keeps the list of targets up to date.
func (n *Node) watchTargets(ctx context.Context) {
	var (
		after uint64
		status  storeStatus
	)

	for ctx.Err() == nil {
		n.readingTargets.Store(true)
		changes, version, err := n.readTargets(ctx, after)
		n.readingTargets.Store(false)
		status.record(n, "targets", err)
		n.targetReadsFail.Store(status.lost)

		if err != nil {
			n.recordStoreFailure(err)

			after = resumeVersion(err, after)
			n.backOff(ctx, &status, err, targetsPolling, n.refreshList, n.fetchTargets)

			continue
		}

		// A peer may have told of a newer list meanwhile.
		if n.applyTargets(changes, after == 0, version) {
			after = version
		} else {
			after = 0
		}

		n.waitForNextRead(ctx, targetsPolling, n.refreshList, n.fetchTargets)
	}
}

// noteFailure records that the store did not answer, which lost history does
// not mean.
func (n *Node) recordStoreFailure(err error) {
	var gone *inventory.HistoryGoneError
	if errors.As(err, &gone) {
		return
	}

	n.mu.Lock()
	defer n.mu.Unlock()

	n.registry.Failed(time.Now())
}

func (n *Node) readTargets(ctx context.Context, after uint64) ([]inventory.Change, uint64, error) {
	n.countRead(callTargets, n.pollState(), after)

	if after == 0 {
		return n.cfg.Source.Targets(ctx)
	}

	return n.cfg.Source.TargetsAfter(ctx, after, 0)
}

// restart returns from which version to go on after an error: from the
// beginning when changes were lost.
func resumeVersion(err error, after uint64) uint64 {
	var gone *inventory.HistoryGoneError
	if errors.As(err, &gone) {
		return 0
	}

	return after
}

// takeTargets takes in what the store says of the targets as of a version. It
// reports false, and changes nothing, when a newer list is known.
func (n *Node) applyTargets(changes []inventory.Change, whole bool, version uint64) bool {
	now := time.Now()

	n.mu.Lock()
	n.registry.Heard(now)

	if version < n.listVersion {
		n.mu.Unlock()

		return false
	}

	n.listVersion, n.targetsAsOf = version, now
	if n.changesUsable(changes, whole) {
		n.usableVersion = version
	}

	n.apply(changes, whole, now)
	n.mu.Unlock()
	n.listed.Store(true)

	for _, c := range changes {
		n.logChange(c)
	}

	if len(changes) > 0 || whole {
		signal(n.routingChanged)
		n.holder.Announce()
	}

	return true
}

// changesUse reports whether changes of the list change which targets may be
// used, and not only what they hold. The caller holds the lock.
func (n *Node) changesUsable(changes []inventory.Change, whole bool) bool {
	if whole {
		return true
	}

	for _, c := range changes {
		old, known := n.targetsByID[c.ID]
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

	return n.targetsByID
}

// link tells once when a dependency is lost and once when it is back.
type storeStatus struct {
	lost  bool
	since time.Time
	// failed counts the calls without an answer since the last one with.
	failed int
}

// pause returns how long to wait after a failure.
func (l *storeStatus) backoff() time.Duration {
	return jitter(min(minBackoff<<min(max(0, l.failed-1), 2), maxBackoff)) //nolint:mnd // Doubled twice.
}

func (l *storeStatus) record(n *Node, what string, err error) {
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
