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
	// be in force within 2 s, also when the connection has gone silent.
	configWait = 1200 * time.Millisecond
	// targetsPause is the time between two looks at the list of targets. A
	// leaving target must get nothing after 2 s, and each look costs a call.
	targetsPause = 700 * time.Millisecond
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

	return n.cfg.Source.ConfigurationAfter(ctx, after, configWait)
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

		_ = clock.Sleep(ctx, jitter(targetsPause))
	}
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
		n.holder.Wake()
	}

	return true
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
