package node

import (
	"context"
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/membership"
	"github.com/fulmarcross/fulmarcross/internal/serving/crash"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
)

const (
	// probeTimeout bounds the question for a probe, for which a request waits, and askInterval
	// is the time between two questions for the same fingerprint.
	probeTimeout = 200 * time.Millisecond
	askInterval  = 100 * time.Millisecond
)

// mayProbe asks the entry that grants probes whether one request with the fingerprints may run
// although some of them are blocked. One entry grants them, so that they are bounded over all
// entries.
func (c *crashes) mayProbe(ctx context.Context, fps []request.Fingerprint) bool {
	held := c.node.dispatcher.Crashes.Probed(fps)
	if len(held) == 0 || !c.mayAsk(held[0], time.Now()) {
		return false
	}

	first := c.firstJudge()
	if first.ID == c.node.cfg.Self {
		return c.grantProbe(fps)
	}

	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()

	granted := false

	c.node.callPeer(ctx, first.ID, "probe", func(ctx context.Context, p *peer) error {
		var err error

		granted, err = p.client.Probe(ctx, fps)

		return err
	})

	return granted
}

// endProbe tells the entry that grants probes that one has not run.
func (c *crashes) endProbe(fps []request.Fingerprint, sent bool) {
	first := c.firstJudge()
	if first.ID == c.node.cfg.Self {
		c.takeBack(fps, sent)

		return
	}

	c.node.callPeer(c.node.workCtx, first.ID, "probe", func(ctx context.Context, p *peer) error { return p.client.EndProbe(ctx, fps, sent) })
}

// mayAsk reports whether askInterval has passed since the last question, and records one.
func (c *crashes) mayAsk(fp request.Fingerprint, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	if now.Sub(c.asked[fp]) < askInterval {
		return false
	}

	if c.asked == nil || len(c.asked) >= maxProbed {
		c.asked = make(map[request.Fingerprint]time.Time)
	}

	c.asked[fp] = now

	return true
}

// maxProbed bounds the fingerprints whose probes are remembered.
const maxProbed = 256

// firstJudge returns the entry that grants probes.
func (c *crashes) firstJudge() membership.Member {
	return strongest(append(c.node.peers.alive(), c.node.peers.self()), 1)[0]
}

// aloneFirst is how long what blocks a request beside something else, or one under which targets
// have ended, is left to other requests. They show more by a sound run, and one that crashes its
// target is charged to what caused it.
const aloneFirst = time.Second

// grantProbe grants a probe if one is due for all that blocks the request. This entry knows more
// than the one that asks of what the request is suspected of.
func (c *crashes) grantProbe(fps []request.Fingerprint) bool {
	held := c.node.dispatcher.Crashes.Probed(fps)
	if len(held) == 0 {
		return false
	}

	ended := c.node.dispatcher.Crashes.HasEndedUnder(fps)

	c.mu.Lock()
	defer c.mu.Unlock()

	now := time.Now()
	if !c.maySpend(held, ended, now) {
		return false
	}

	next := make([]crash.Probes, len(held))

	for i, fp := range held {
		var granted bool
		if next[i], granted = c.probes[fp].Grant(now); !granted {
			return false
		}
	}

	if c.probes == nil || len(c.probes) >= maxProbed {
		c.probes = make(map[request.Fingerprint]crash.Probes)
	}

	for i, fp := range held {
		c.probes[fp] = next[i]
	}

	return true
}

// maySpend reports whether a request, under which targets have ended or not, may use the probes of
// all that blocks it. The caller holds the lock.
func (c *crashes) maySpend(held []request.Fingerprint, ended bool, now time.Time) bool {
	if c.alone == nil || len(c.alone) >= maxProbed || len(c.shared) >= maxProbed {
		c.alone, c.shared = make(map[request.Fingerprint]time.Time), make(map[request.Fingerprint]time.Time)
	}

	if len(held) == 1 && !ended {
		c.alone[held[0]] = now

		return true
	}

	if !slices.ContainsFunc(held, isShared) {
		return true // They are all of this request.
	}

	for _, fp := range held {
		if c.shared[fp].IsZero() {
			c.shared[fp] = now
		}

		if now.Sub(c.shared[fp]) < aloneFirst || now.Sub(c.alone[fp]) < aloneFirst {
			return false
		}
	}

	return true
}

// isShared reports whether requests that differ have the fingerprint.
func isShared(fp request.Fingerprint) bool { return !fp.Scope().Single() }

// takeBack takes back a probe that has not run.
func (c *crashes) takeBack(fps []request.Fingerprint, sent bool) {
	held := c.node.dispatcher.Crashes.Probed(fps)

	c.mu.Lock()
	defer c.mu.Unlock()

	for _, fp := range held {
		if p, granted := c.probes[fp]; granted {
			c.probes[fp] = p.TakeBack(sent)
		}
	}
}

// forgetProbes ends the count of probes of a fingerprint that is not blocked any more, or that is
// restricted for deaths which did not happen: its next probe is due.
func (c *crashes) forgetProbes(fp request.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()

	delete(c.probes, fp)
	delete(c.alone, fp)
	delete(c.shared, fp)
}

// Probe implements news.Handler.
func (n *Node) Probe(fps []request.Fingerprint) bool { return n.crashes.grantProbe(fps) }

// EndProbe implements news.Handler.
func (n *Node) EndProbe(fps []request.Fingerprint, sent bool) { n.crashes.takeBack(fps, sent) }
