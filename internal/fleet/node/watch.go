package node

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/fleet/freshness"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/inventory"
	"github.com/fulmarcross/fulmarcross/internal/platform/revision"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
)

const (
	// configWait is how long one call waits for a configuration change when no
	// other entry announces changes. A change must be in force within 2 s, also
	// when the connection has stalled. The holder's calls are shorter, since
	// all entries depend on them.
	configWait        = 1200 * time.Millisecond
	configWaitHolding = 500 * time.Millisecond
	// targetsInterval is the time between two reads of the list of targets when
	// no other entry announces changes. A leaving target must get no requests
	// after 2 s, and each read costs a call.
	targetsInterval        = 600 * time.Millisecond
	targetsIntervalHolding = 450 * time.Millisecond
	// ledInterval is the time between two reads of the store by an entry to
	// which the holder announces changes; scaleInterval lengthens it where
	// there are many entries.
	ledInterval = 15 * time.Second
	// targetsReadDelay is the time before a read of the store when the holder
	// has announced a newer list but the list cannot be fetched from it: when a
	// site starts, all targets register within seconds, and all entries would
	// read the list after each.
	targetsReadDelay = 150 * time.Millisecond
	// pollTick is how often an entry checks whether a read of the store is due.
	pollTick = 100 * time.Millisecond
	// maxHolderStoreAge is the age of the holder's last read of the store from
	// which the other entries no longer rely on the holder. The holder reads
	// every 0.5 s and announces every 0.4 s; if its reads fail, the others
	// still notice a change by their own reads within 2 s.
	maxHolderStoreAge = 1300 * time.Millisecond
	// minBackoff is the pause after the first failed call to the store, doubled
	// after each further one up to maxBackoff. Entries may take seconds to
	// detect that the store answers again, and frequent calls by many entries
	// cost more than faster detection is worth.
	minBackoff = 250 * time.Millisecond
	maxBackoff = time.Second
	// rereadDelay is the pause before everything is read again because the store has lost
	// what changed. It keeps entries apart that are told so at the same time.
	rereadDelay = 20 * time.Millisecond
)

var (
	configPolling  = polling{holding: configWaitHolding, led: ledInterval, alone: configWait, longPoll: true}
	targetsPolling = polling{holding: targetsIntervalHolding, led: ledInterval, alone: targetsInterval}
)

// watchConfig keeps the configuration up to date.
func (n *Node) watchConfig(ctx context.Context) {
	var status storeStatus

	for ctx.Err() == nil {
		began := time.Now()
		found, err := n.readConfig(ctx)
		status.record(n, "configuration", err)
		n.setReadsFail(&n.configReadsFail, status.lost)

		if err != nil {
			n.resumeConfig(err)
			n.waitAfterFailure(ctx, began, &status, err, configPolling, n.refreshConfig, storeOnly)

			continue
		}

		if !found {
			// Nothing changed, or no configuration was ever written.
			_ = clock.Sleep(ctx, jitter(minBackoff)/10) //nolint:mnd // Avoids a busy loop on an empty store.
		}

		n.waitForNextRead(ctx, time.Now(), configPolling, n.refreshConfig, storeOnly)
	}
}

// resumeConfig makes the next read of the configuration a whole one if history was lost.
func (n *Node) resumeConfig(err error) {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.configReadVersion = resumeVersion(err, n.configReadVersion)
}

// storeOnly is a fetch that gets nothing without the store.
func storeOnly(context.Context) bool { return false }

// readConfig reads the configuration from the store, if it has changed since the version of
// the store that was read last, and puts it in force. It reports whether there was a
// change.
func (n *Node) readConfig(ctx context.Context) (bool, error) {
	n.mu.Lock()
	after := n.configReadVersion
	n.mu.Unlock()

	s := n.pollState()
	n.countRead(purposeConfig, s, after)

	wait := time.Duration(0)
	if after > 0 {
		wait = configReadWait(s)
	}

	began := time.Now()
	ctx, end := n.configRead.begin(ctx, began.Add(wait))
	c, version, err := n.storeConfig(ctx, after, wait)

	end()

	if err != nil {
		return false, err
	}

	n.applyStoredConfig(c, version, freshness.AsOfRead(began, time.Now(), wait, c != nil))

	return c != nil, nil
}

// storeConfig reads the configuration from the store; zero for after reads it in any case.
func (n *Node) storeConfig(ctx context.Context, after revision.Number, wait time.Duration) (*route.Config, revision.Number, error) {
	if after == 0 {
		return n.cfg.Source.Configuration(ctx)
	}

	return n.cfg.Source.ConfigurationAfter(ctx, after, wait)
}

// configReadWait returns how long a read asks the store to wait for a change.
func configReadWait(s pollState) time.Duration {
	switch {
	case s.holding:
		return configWaitHolding
	case s.led || s.entries > fullRateEntries:
		return 0
	}

	return configWait
}

// applyStoredConfig applies what the store returned about the configuration at a version:
// the configuration, or nil if the one that was read last is still the newest.
func (n *Node) applyStoredConfig(c *route.Config, version revision.Number, asOf time.Time) {
	if c != nil {
		n.activateConfig(c)
	}

	n.mu.Lock()
	if version >= n.configReadVersion {
		n.configReadVersion = version

		if c != nil {
			n.storedConfig = c.Version
		}
	}

	n.configAsOf = clock.Later(n.configAsOf, asOf)
	newest := n.storedConfig
	n.mu.Unlock()

	n.hearConfig(freshness.Evidence{Version: newest, AsOf: asOf}, "")
}

// waitAfterFailure waits after a failed call. Where there are many entries, it
// also waits for the next regular read, so that a store that answers again is
// not flooded. If the error is lost history, it waits only for
// rereadDelay: the store has answered, and what it said was of no use.
func (n *Node) waitAfterFailure(ctx context.Context, lastRead time.Time, status *storeStatus, err error, p polling, refresh <-chan struct{}, fetch func(context.Context) bool) {
	if historyGone(err) {
		_ = clock.Sleep(ctx, jitter(rereadDelay)) // The caller's loop checks ctx.

		return
	}

	_ = clock.Sleep(ctx, status.backoff()) // The caller's loop checks ctx.

	if n.pollState().entries > fullRateEntries {
		n.waitForNextRead(ctx, lastRead, p, refresh, fetch)
	}
}

// ledUntil returns until when this entry may rely on another one that holds the
// lease and reads the store, so that it announces changes. The time is past if
// there is none.
//
// It guards against a store that answers this entry but not the holder: this
// entry would rely on the holder, and a change that was reported to the
// operators as in force would stay unnoticed until the holder's calls had timed
// out. The holder's announcements must arrive, too. What the holder knows is dated from when this entry asked for it, so that messages
// that take long do not make it newer.
func (n *Node) ledUntil() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()

	switch {
	case n.holderState.Holder == n.cfg.Self, n.holderReceived.IsZero():
		return time.Time{}
	case n.holderState.StoreFails:
		return n.holderReceived
	}

	return clock.Earlier(n.holderReceived.Add(-n.holderState.StoreAge), n.holderAsOf).Add(maxHolderStoreAge)
}

// fetchTargets fetches the newest list from the holder. If that fails, it waits
// for targetsReadDelay and reports false: the store must be read.
func (n *Node) fetchTargets(ctx context.Context) bool {
	if n.fetchListFromHolder(ctx) {
		return true
	}

	_ = clock.Sleep(ctx, jitter(targetsReadDelay)) // The caller's loop checks ctx.

	return false
}

// watchTargets keeps the list of targets up to date.
func (n *Node) watchTargets(ctx context.Context) {
	var (
		after  revision.Number
		status storeStatus
	)

	for ctx.Err() == nil {
		began := time.Now()

		n.readingTargets.Store(true)
		read, err := n.readTargets(ctx, after)
		n.readingTargets.Store(false)
		status.record(n, "targets", err)
		n.setReadsFail(&n.targetReadsFail, status.lost)

		if err != nil {
			n.recordStoreFailure(err)

			after = resumeVersion(err, after)
			n.waitAfterFailure(ctx, began, &status, err, targetsPolling, n.refreshList, n.fetchTargets)

			continue
		}

		// A peer may have sent a newer list meanwhile.
		if n.applyTargets(read.changes, after == 0, read.version, began) {
			after = read.version
		} else {
			after = 0
		}

		n.waitForNextRead(ctx, time.Now(), targetsPolling, n.refreshList, n.fetchTargets)
	}
}

// setReadsFail records whether reads of the store fail. A holder tells the others at once, so that
// they read themselves.
func (n *Node) setReadsFail(fail *atomic.Bool, now bool) {
	if fail.Swap(now) != now {
		n.holder.Announce()
	}
}

// recordStoreFailure records that the store did not answer. Lost history is an
// answer.
func (n *Node) recordStoreFailure(err error) {
	if answered(err) {
		return
	}

	n.mu.Lock()
	defer n.mu.Unlock()

	n.registry.StoreFailed(time.Now())
}

// targetsRead is what a read of the list returned: changes, as of a version.
type targetsRead struct {
	changes []inventory.Change
	version revision.Number
}

// readTargets reads the changes of the list after a version, or the whole list if it is zero.
func (n *Node) readTargets(ctx context.Context, after revision.Number) (targetsRead, error) {
	return hedged(ctx, func(ctx context.Context) (targetsRead, error) {
		n.countRead(purposeTargets, n.pollState(), after)

		var (
			out targetsRead
			err error
		)

		if after == 0 {
			out.changes, out.version, err = n.cfg.Source.Targets(ctx)
		} else {
			out.changes, out.version, err = n.cfg.Source.TargetsAfter(ctx, after, 0)
		}

		return out, err
	})
}

// resumeVersion returns the version from which to continue after an error:
// zero, to read everything again, when history was lost.
func resumeVersion(err error, after revision.Number) revision.Number {
	if historyGone(err) {
		return 0
	}

	return after
}

// applyTargets applies what the store returned about targets at a version, as of a time. It
// reports false, and changes nothing, when a newer list was already applied.
func (n *Node) applyTargets(changes []inventory.Change, whole bool, version revision.Number, asOf time.Time) bool {
	now := time.Now()

	n.mu.Lock()
	n.registry.StoreAnswered(now)

	known := n.listVersion
	if version < known {
		n.mu.Unlock()
		n.cfg.Log.Info().Stringer("list", version).Stringer("known", known).Bool("whole", whole).Int("rows", len(changes)).Msg("list refused as old")

		return false
	}

	n.targetsAsOf = clock.Later(n.targetsAsOf, asOf)
	if n.changesUsable(changes, whole) {
		n.usableVersion = version
	}

	n.apply(changes, whole, version, now)

	settled := n.registry.Settle(asOf, now)
	if settled {
		n.updateTargets()
	}
	n.mu.Unlock()
	n.listApplied.Store(true)

	n.logChanges(changes, version, "store", asOf)

	if len(changes) > 0 || whole || settled {
		signal(n.routingChanged)
		n.holder.Announce()
	}

	return true
}

// changesUsable reports whether changes of the list affect which targets may be
// used, and not only which models are on them. The row of a target that is retained without
// one does: others retain it for a while, too. The caller holds the lock.
func (n *Node) changesUsable(changes []inventory.Change, whole bool) bool {
	if whole {
		return true
	}

	for _, c := range changes {
		old, known := n.targetsByID[c.ID]
		if c.Removed || c.Err != nil || !known || n.registry.Missing(c.ID) || old.Leaving != c.Target.Leaving || old.StartedMs != c.Target.StartedMs || old.Address != c.Target.Address {
			return true
		}
	}

	return false
}

// logChanges logs changes that a list of targets brought. asOf is zero if it is not known
// how old the list is.
func (n *Node) logChanges(changes []inventory.Change, version revision.Number, source string, asOf time.Time) {
	for _, c := range changes {
		var message string

		level := zerolog.InfoLevel

		switch {
		case c.Err != nil:
			level, message = zerolog.WarnLevel, "invalid row in the list of targets"
		case c.Removed:
			message = "target gone from the list"
		case c.Target.Leaving:
			message = "target leaving"
		default:
			continue
		}

		e := n.cfg.Log.WithLevel(level).Err(c.Err).Str("target", string(c.ID)).Stringer("list", version).Str("source", source)

		if c.Target.Leaving {
			e.Stringer("row", c.Target.Version)
		}

		if !asOf.IsZero() {
			e.Dur("age", time.Since(asOf))
		}

		e.Msg(message)
	}
}

func (n *Node) knownTargets() map[instance.ID]inventory.Target {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.targets
}

// storeStatus logs once when the store is lost and once when it is back.
type storeStatus struct {
	lost  bool
	since time.Time
	// failed is the number of consecutive failed calls.
	failed int
}

// backoff returns how long to wait after a failure.
func (s *storeStatus) backoff() time.Duration {
	return jitter(min(minBackoff<<min(max(0, s.failed-1), 2), maxBackoff)) //nolint:mnd // Doubled twice.
}

func (s *storeStatus) record(n *Node, subject string, err error) {
	s.failed++
	if answered(err) {
		s.failed = 0
	}

	switch {
	case err == nil && s.lost:
		n.cfg.Log.Info().Str("what", subject).Dur("away", time.Since(s.since)).Msg("store regained")

		s.lost = false
	case historyGone(err):
		n.cfg.Log.Warn().Err(err).Str("what", subject).Msg("store history lost, reading everything")
	case err != nil && !s.lost && !errors.Is(err, context.Canceled):
		n.cfg.Log.Warn().Err(err).Str("what", subject).Msg("store lost")

		s.lost, s.since = true, time.Now()
	}
}
