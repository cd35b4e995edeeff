package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/serving/crash"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
	"github.com/fulmarcross/fulmarcross/internal/wire/news"
)

// clearanceWait is how long a request whose deaths have reached the number allowed has to run
// soundly until it is restricted. Most are sound and ran on targets that ended together.
const clearanceWait = 700 * time.Millisecond

// restrict restricts a fingerprint at all entries, unless a request with it has run soundly at one
// of them since, or as long as it may have been on the targets that ended by chance.
func (c *crashes) restrict(ctx context.Context, fp request.Fingerprint) {
	if !c.beginWeighing(fp) {
		return
	}

	c.weighRecurrence(fp)

	for clock.Sleep(ctx, clearanceWait) == nil {
		due, ok := c.weigh(ctx, fp)
		c.weighRecurrence(fp)

		if (!ok || c.impose(due)) && c.endWeighing(fp) {
			return
		}
	}
}

// weighRecurrence blocks what has run soundly since targets ended under it, if they have ended in turn
// and it was not on them by chance: it crashes targets at times.
func (c *crashes) weighRecurrence(fp request.Fingerprint) {
	due, ok := c.node.dispatcher.Crashes.Recurrence(fp)
	if !ok {
		return
	}

	runs := crash.OfModel(c.soundSince(fp, due.OfAny.Since))
	conclusive := due.Conclusive(runs)

	weighed(c.node.cfg.Log.Info(), fp, due.OfAny, runs).Int("last", due.OfLast.Under).Bool("atTimes", conclusive).Msg("deaths in turn under a request weighed")

	if !conclusive || c.hasRival(due, runs) || !c.node.dispatcher.Crashes.Block(due.Block) {
		return
	}

	c.node.cfg.Log.Warn().Uint64("fingerprint", uint64(fp)).Uint8("scope", uint8(fp.Scope())).Any("targets", due.Targets).Msg("request crashes targets at times")
	c.tellBlock(due.Block)
}

// hasRival reports whether something else that was on all of the targets is likelier to crash them: it has
// run soundly less often since, or as often and is not known to be the outer part of the two.
func (c *crashes) hasRival(due crash.Recurrence, runs crash.SoundRuns) bool {
	return slices.ContainsFunc(due.Rivals, func(rival request.Fingerprint) bool {
		with := crash.Total(c.soundSince(rival, due.OfAny.Since)).With

		return with < runs.With || with == runs.With && !c.node.dispatcher.Crashes.IsInner(due.Fingerprint, rival)
	})
}

// weighed adds what was weighed to a line of the log.
func weighed(line *zerolog.Event, fp request.Fingerprint, e crash.Evidence, runs crash.SoundRuns) *zerolog.Event {
	return line.Uint64("fingerprint", uint64(fp)).Uint8("scope", uint8(fp.Scope())).Int("under", e.Under).Int("deaths", e.All).
		Float64("requests", e.Requests).Int("sound", runs.With).Int("allSound", runs.All)
}

// tellBlock tells all entries of a block, and keeps it in the store.
func (c *crashes) tellBlock(b crash.Block) {
	c.node.informAll(func(ctx context.Context, p *peer) error { return c.sendBlocks(ctx, p, []crash.Block{b}) })
	c.store(c.node.workCtx, b)
}

// maxWeighed bounds the fingerprints that are weighed at the same time.
const maxWeighed = 1024

// beginWeighing reports whether a fingerprint is not being weighed yet, and records that it is, or
// that its restriction has become due once more.
func (c *crashes) beginWeighing(fp request.Fingerprint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	if _, weighed := c.weighed[fp]; weighed {
		c.weighed[fp] = true

		return false
	}

	if len(c.weighed) >= maxWeighed {
		return false
	}

	if c.weighed == nil {
		c.weighed = make(map[request.Fingerprint]bool)
	}

	c.weighed[fp] = false

	return true
}

// endWeighing reports whether the restriction of a fingerprint has not become due once more while it was
// weighed, and then records that it is weighed no more.
func (c *crashes) endWeighing(fp request.Fingerprint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.weighed[fp] {
		c.weighed[fp] = false

		return false
	}

	delete(c.weighed, fp)

	return true
}

// weighedDue is a restriction that is due, and whether the fingerprint may have been on the targets by
// chance.
type weighedDue struct {
	crash.Due

	byChance bool
}

// weigh asks all entries what has run soundly with a fingerprint. It returns false if the restriction is
// not due, or not any more.
//
// Entries that do not answer change nothing: the bound holds whatever they know.
func (c *crashes) weigh(ctx context.Context, fp request.Fingerprint) (weighedDue, bool) {
	own := &c.node.dispatcher.Crashes
	q := news.Inquiry{Fingerprints: []request.Fingerprint{fp}}

	c.node.informAll(func(ctx context.Context, p *peer) error {
		f, err := p.client.Inquire(ctx, q)
		if err == nil {
			c.hearFindings(q, f)
		}

		return err
	})

	due, ok := own.Due(fp)
	if !ok || ctx.Err() != nil {
		c.node.cfg.Log.Info().Uint64("fingerprint", uint64(fp)).Uint8("scope", uint8(fp.Scope())).Msg("request ran soundly since targets ended under it")

		return weighedDue{}, false
	}

	runs := crash.Total(c.soundSince(fp, due.Evidence.Since))
	out := weighedDue{Due: due, byChance: due.Evidence.ByChance(runs)}

	weighed(c.node.cfg.Log.Info(), fp, due.Evidence, runs).Bool("byChance", out.byChance).Msg("deaths under a request weighed")

	return out, true
}

// soundSince returns how many sound runs of all entries began after a time, by their models.
func (c *crashes) soundSince(fp request.Fingerprint, at time.Time) map[string]crash.SoundRuns {
	var mu sync.Mutex

	out := c.node.dispatcher.Crashes.SoundSince(fp, at)

	c.node.informAll(func(ctx context.Context, p *peer) error {
		byModel, err := p.client.SoundSince(ctx, fp, at)

		mu.Lock()
		defer mu.Unlock()

		for model, runs := range byModel {
			out[model] = out[model].Add(runs)
		}

		return err
	})

	return out
}

// byChance reports whether what has the fingerprint may have been on the targets that ended by chance.
func (c *crashes) byChance(fp request.Fingerprint) bool {
	e := c.node.dispatcher.Crashes.Evidence(fp)

	return e.ByChance(crash.Total(c.soundSince(fp, e.Since)))
}

// impose restricts a fingerprint at all entries, unless it may have been on the targets by chance. It
// reports whether nothing more is to be found out.
func (c *crashes) impose(due weighedDue) (done bool) {
	if due.byChance {
		return false
	}

	if !c.node.dispatcher.Crashes.Block(due.Block) {
		return true
	}

	c.node.cfg.Log.Warn().Uint64("fingerprint", uint64(due.Fingerprint)).Uint8("scope", uint8(due.Fingerprint.Scope())).Any("targets", targetsOf(due.Deaths)).Msg("request restricted")
	c.tellBlock(due.Block)

	return true
}

// SoundSince implements news.Handler.
func (n *Node) SoundSince(fp request.Fingerprint, at time.Time) map[string]crash.SoundRuns {
	return n.dispatcher.Crashes.SoundSince(fp, at)
}
