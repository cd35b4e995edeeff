package node

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/inventory"
	"github.com/fulmarcross/fulmarcross/internal/serving/crash"
	"github.com/fulmarcross/fulmarcross/internal/serving/router"
	"github.com/fulmarcross/fulmarcross/internal/serving/statement"
)

const (
	// statementFanOut is the number of peers that an entry informs at once when it
	// learns that a target leaves, or has begun or ceased to state a rate limit. Each
	// of them informs others.
	statementFanOut = 4
	// statementInterval is the time between two messages to a random peer while there
	// is anything to tell. They reach entries that have joined or missed a message, and
	// carry changed rate limits, of at most statementSample targets each.
	statementInterval = 1500 * time.Millisecond
	statementSample   = 64
	// departureRepeat is the time after which an entry that has learnt that a target
	// leaves informs as many others once more. One round of messages misses one of fifty
	// entries.
	departureRepeat = 400 * time.Millisecond
	// statementSpacing keeps exchanges that follow news apart.
	statementSpacing = 20 * time.Millisecond
)

// hear heeds what a target states about itself in an answer to this entry.
func (n *Node) hear(h statement.Heard) {
	if o, ok := h.LimitObservation(); ok {
		n.recordRateLimit(o, "answer")
	}

	if h.Leaving {
		n.recordDeparture(statement.Departure{Process: h.Process, At: h.At}, "answer")
	}

	if !h.RestUntil.IsZero() {
		n.recordRest(h)
	}
}

// recordRest records that a target has asked this entry for rest.
func (n *Node) recordRest(h statement.Heard) {
	n.rests.Record(h.Process, h.RestUntil)

	if t := n.routedProcess(h.Process); t != nil {
		t.Rest(h.RestUntil)
	}

	n.metrics.Counter("rests").Inc(1)
	n.cfg.Log.Info().Str("target", string(h.Process.Target)).Dur("asked", h.Rest).Dur("until", time.Until(h.RestUntil)).Msg("target asks for rest")
	signal(n.reportSoon)
}

// HearEngine heeds what a model worker states about itself in an answer to an order or
// to a request for a report.
func (n *Node) HearEngine(t inventory.Target, s statement.Statement) {
	now := clock.Now()
	h := statement.Heard{Statement: s, Process: processOf(t), SentAt: now, At: now}

	if s.Rest > 0 {
		h.RestUntil = router.RestEnd(time.Now(), s.Rest, n.aliveEntries())
	}

	n.hear(h)
}

// processOf returns the process that a row of the list describes.
func processOf(t inventory.Target) statement.Process {
	return statement.Process{Target: t.ID, Incarnation: incarnationOf(t.StartedMs)}
}

// incarnationOf identifies a target's process by when it started, in Unix milliseconds.
func incarnationOf(startedMs int64) string { return strconv.FormatInt(startedMs, 10) }

// routedProcess returns the target whose present process this is, or nil.
func (n *Node) routedProcess(p statement.Process) *router.Target {
	t := n.routing.Target(p.Target)
	if t == nil || t.Info().Incarnation != p.Incarnation {
		return nil
	}

	return t
}

// recordDeparture records that a process of a target has said that it leaves. An entry
// that learns it informs others.
func (n *Node) recordDeparture(d statement.Departure, source string) {
	if !n.departures.Record(d) {
		return
	}

	n.cfg.Log.Info().Str("target", string(d.Process.Target)).Str("process", d.Process.Incarnation).Str("source", source).Msg("target leaving")

	n.mu.Lock()
	n.updateTargets()
	n.mu.Unlock()

	n.shareDeparture(d)
	time.AfterFunc(departureRepeat, func() { n.shareDeparture(d) })

	if t := n.routedProcess(d.Process); t != nil {
		t.MarkLeaving()
	}

	n.dispatcher.WakeQueues()
	signal(n.routingChanged)
	n.holder.Announce()
}

// shareDeparture makes this entry inform others that a target leaves.
func (n *Node) shareDeparture(d statement.Departure) {
	n.mu.Lock()
	n.unsharedDepartures = append(n.unsharedDepartures, d)
	n.mu.Unlock()

	signal(n.statementNews)
}

// updateTargets replaces the known targets by those on the list, with what they have
// said of themselves. The caller holds the lock.
func (n *Node) updateTargets() {
	before := n.targetsByID
	n.targetsByID = n.registry.Targets()
	n.targets = n.targetsByID

	go n.crashes.proveReplaced(before, n.targetsByID)

	n.software = softwareOf(n.targetsByID)

	signal(n.origins.listChanged)

	if n.departures.Len() == 0 {
		return
	}

	n.targets = n.registry.Targets()

	for _, d := range n.departures.All() {
		if t, listed := n.targets[d.Process.Target]; listed && processOf(t) == d.Process {
			t.Leaving = true
			n.targets[t.ID] = t
		}
	}
}

// listedProcess returns the row of a process. It returns false if the process is not on
// the list of targets.
func (n *Node) listedProcess(p statement.Process) (inventory.Target, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()

	t, listed := n.targetsByID[p.Target]

	return t, listed && processOf(t) == p
}

// isListed reports whether the process is on the list of targets.
func (n *Node) isListed(p statement.Process) bool {
	_, listed := n.listedProcess(p)

	return listed
}

// isListedReady reports whether the process is on the list and the list says that it is
// ready.
func (n *Node) isListedReady(p statement.Process) bool {
	t, listed := n.listedProcess(p)

	return listed && !t.Leaving
}

// Departures implements news.Handler.
func (n *Node) Departures(known []statement.Departure) []statement.Departure {
	n.learnDepartures(known)

	return n.departures.Sample(statementSample, n.isListedReady)
}

// learnDepartures records what a peer has told. It ignores what this entry has forgotten
// or will forget at once.
func (n *Node) learnDepartures(told []statement.Departure) {
	for _, d := range told {
		if !d.Outdated(clock.Now()) || n.isListed(d.Process) {
			n.recordDeparture(d, "peer")
		}
	}
}

// shareStatements informs peers of what targets state until ctx ends.
func (n *Node) shareStatements(ctx context.Context) {
	for ctx.Err() == nil {
		t := time.NewTimer(jitter(statementInterval))

		select {
		case <-ctx.Done():
		case <-n.statementNews:
			_ = clock.Sleep(ctx, statementSpacing) // The loop checks ctx.
			n.exchangeRateLimits(ctx, n.takeUnsharedRateLimits(), statementFanOut)
			n.exchangeDepartures(ctx, n.takeUnsharedDepartures(), statementFanOut)
		case <-t.C:
			n.exchangeRateLimits(ctx, n.rateLimits.Sample(statementSample), 1)
			n.exchangeDepartures(ctx, n.departures.Sample(statementSample, n.isListedReady), 1)
		}

		t.Stop()
	}
}

// takeUnsharedDepartures returns the departures that this entry has not sent to others
// yet.
func (n *Node) takeUnsharedDepartures() []statement.Departure {
	n.mu.Lock()
	defer n.mu.Unlock()

	out := n.unsharedDepartures
	n.unsharedDepartures = nil

	return out
}

// exchangeDepartures sends departures to a number of random peers and records those that
// they return.
func (n *Node) exchangeDepartures(ctx context.Context, known []statement.Departure, count int) {
	if len(known) == 0 {
		return
	}

	for _, id := range n.peers.sample(count) {
		go n.callPeer(ctx, id, "departures", func(ctx context.Context, p *peer) error {
			got, err := p.client.Departures(ctx, known)
			n.learnDepartures(got)

			return err
		})
	}
}

// callPeer calls a peer for a limited time. A peer that does not answer learns from
// others.
func (n *Node) callPeer(ctx context.Context, id instance.ID, subject string, call func(context.Context, *peer) error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()

	n.informPeer(ctx, id, subject, call)
}

// informPeer does the same for as long as ctx and the call last.
func (n *Node) informPeer(ctx context.Context, id instance.ID, subject string, call func(context.Context, *peer) error) {
	p := n.peers.connection(id)
	if p == nil {
		return
	}

	if err := call(ctx, p); err != nil {
		n.cfg.Log.Debug().Err(err).Str("peer", string(id)).Str("what", subject).Msg("cannot inform peer")
	}
}

// sample returns at most n peers that are alive, drawn at random.
func (p *peers) sample(n int) []instance.ID {
	alive := p.alive()
	rand.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })

	out := make([]instance.ID, 0, n)
	for _, m := range alive[:min(n, len(alive))] {
		out = append(out, m.ID)
	}

	return out
}

// dropOldStatements deletes what targets that are not listed any more have stated.
func (n *Node) dropOldStatements() {
	n.dropOldRateLimits()
	n.dispatcher.Crashes.Forget(func(d crash.Death) bool { return n.isListed(statement.Process(d)) })

	if n.departures.Len() > 0 {
		n.departures.Retain(n.isListed, clock.Now())
	}
}
