package node

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/customer/quota"
	"github.com/fulmarcross/fulmarcross/internal/customer/team"
	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/serving/relay"
	"github.com/fulmarcross/fulmarcross/internal/wire/news"
)

const (
	// drawAnswers bounds the question whether a request is within its limit: a
	// lost packet is sent again within it.
	consumeTimeout = 250 * time.Millisecond
	// mostOfLimit is the part of a limit from which on the refusals of its homes
	// are final. Below it another home may have room.
	decisiveCoverage = 0.75
)

// quotas keeps this entry's part in the teams' limits: it lends its shares,
// decides as a home, and asks homes for its own callers. It implements
// relay.Limiter.
type quotas struct {
	node *Node
	// soon asks for a round of loans at once.
	roundSoon chan struct{}

	mu        sync.Mutex
	owner     quota.Home
	delegator quota.Lender
	// homes are the present homes of the limits.
	owners   quota.Homes
	failures map[instance.ID]ownerFailures
	// answered are the entries that have answered since this process started.
	answered map[instance.ID]bool
	// returns are what was counted for requests that did not run, by team.
	refunds map[string]float64
}

// silence is how an entry did not answer.
type ownerFailures struct {
	// calls had no answer since it was last passed over, times how often it was.
	consecutive, exclusions int
	excludedUntil           time.Time
}

func (q *quotas) uptime() quota.Stamp { return quota.Stamp(clock.Now().Sub(q.node.started)) }

// known returns how many entries share the limits.
func (q *quotas) entryCount() int {
	if !q.node.peers.scanned.Load() {
		return assumedEntries
	}

	return q.node.peers.listed() + 1
}

func (q *quotas) self() quota.Process {
	return quota.Process{ID: q.node.cfg.Self, Run: q.node.process}
}

const (
	// unknownPatience is for how long a request waits for homes that decide on most
	// of its team's limit: after a restart of all entries shares are lent within a
	// term.
	undecidedTimeout = 800 * time.Millisecond
	undecidedPause   = 40 * time.Millisecond
)

// Charge implements relay.Limiter. It refuses at once what is beyond the limit,
// and waits a moment only where its homes do not know yet what is left.
func (q *quotas) Charge(ctx context.Context, t *team.Team, cost float64) relay.ChargeResult {
	until := time.Now().Add(undecidedTimeout)

	for {
		out, final := q.tryCharge(ctx, t, cost)
		if final || time.Now().After(until) || clock.Sleep(ctx, max(undecidedPause, out.RetryAfter)) != nil {
			return out
		}
	}
}

// chargeNow puts the request to the homes of its team's limit. It reports whether
// their answer is final.
func (q *quotas) tryCharge(ctx context.Context, t *team.Team, cost float64) (out relay.ChargeResult, final bool) {
	out.Unknown = true
	filling := false

	for _, owner := range q.ownersToAsk(quota.GroupOf(t.Name)) {
		d, err := q.consume(ctx, owner, news.Drawing{Team: t.Name, Cost: cost})

		switch {
		case err != nil || d.Stranger || d.Released || d.Part == 0:
			continue
		case d.Granted:
			return relay.ChargeResult{Granted: true}, true
		case out.Unknown || d.Wait < out.RetryAfter:
			out.RetryAfter = d.Wait
		}

		out.Unknown = false
		out.Coverage += d.Part
		filling = filling || d.Settling

		if out.Coverage >= decisiveCoverage {
			break
		}
	}

	return out, out.Coverage >= decisiveCoverage && !filling
}

// candidates returns whom to ask about a group: first who have this entry's own
// share, then who should.
func (q *quotas) ownersToAsk(group int) []quota.Process {
	q.mu.Lock()
	defer q.mu.Unlock()

	out := make([]quota.Process, 0, 2*quota.Parts)
	now := clock.Now()

	for part := range quota.Parts {
		if owner, ok := q.delegator.With(quota.SlotOf(group, part), now); ok && !slices.Contains(out, owner) {
			out = append(out, owner)
		}
	}

	for part := range quota.Parts {
		if owner := q.owners[quota.SlotOf(group, part)]; owner.ID != "" && !slices.Contains(out, owner) {
			out = append(out, owner)
		}
	}

	answering := slices.DeleteFunc(slices.Clone(out), func(p quota.Process) bool { return q.excluded(p.ID, now) })
	if len(answering) > 0 {
		return answering
	}

	return out
}

// draw asks a home whether a request may run.
func (q *quotas) consume(ctx context.Context, owner quota.Process, d news.Drawing) (news.Drawn, error) {
	if owner == q.self() {
		return q.decide(d), nil
	}

	p := q.ownerPeer(owner)
	if p == nil {
		q.mu.Lock()
		defer q.mu.Unlock()

		q.ownerEnded(owner)

		return news.Drawn{Released: true}, nil
	}

	ctx, cancel := context.WithTimeout(ctx, consumeTimeout)
	defer cancel()

	got, err := p.client.Draw(ctx, d)

	q.mu.Lock()
	defer q.mu.Unlock()

	switch {
	case err != nil && !errors.Is(err, context.Canceled):
		q.recordFailure(owner, err)
	case err == nil && (got.Released || got.Process != owner.Run):
		q.ownerEnded(owner)
	case err == nil:
		delete(q.failures, owner.ID)
	}

	return got, err
}

// Refund implements relay.Limiter.
func (q *quotas) Refund(t *team.Team, cost float64) {
	q.mu.Lock()
	defer q.mu.Unlock()

	if q.refunds == nil {
		q.refunds = make(map[string]float64)
	}

	q.refunds[t.Name] += cost
}

// decide decides as a home.
func (q *quotas) decide(d news.Drawing) news.Drawn {
	c, entries := q.node.config(), q.entryCount()
	out := news.Drawn{Process: q.node.process, Released: q.node.stopping.Load()}

	if out.Released || c == nil {
		out.Stranger = c == nil

		return out
	}

	t := c.Teams.ByName(d.Team)
	if t == nil {
		out.Stranger = true

		return out
	}

	q.mu.Lock()
	defer q.mu.Unlock()

	out.Answer = q.owner.Draw(t.Name, t.Limit, d.Cost, entries, q.uptime())

	return out
}

// takeLoan takes in a loan as a home.
func (q *quotas) acceptDelegation(l news.Lending) news.Receipt {
	c, entries := q.node.config(), q.entryCount()

	q.mu.Lock()
	defer q.mu.Unlock()

	now := q.uptime()
	out := news.Receipt{Process: q.node.process, Stamp: now, Held: q.owner.Held(l.Entry, now), Released: q.node.stopping.Load()}

	if out.Released || l.Home != q.node.process {
		return out
	}

	q.owner.Lend(l.Loan, entries, now)

	if c == nil {
		return out
	}

	for name, amount := range l.Returns {
		if t := c.Teams.ByName(name); t != nil {
			q.owner.Return(name, t.Limit, amount, entries, now)
		}
	}

	return out
}

// release gives back all loans, before this process ends.
func (q *quotas) release() {
	q.mu.Lock()
	defer q.mu.Unlock()

	q.owner.Release(q.uptime())
}

// Lend implements news.Handler.
func (n *Node) Lend(l news.Lending) news.Receipt { return n.quotas.acceptDelegation(l) }

// Draw implements news.Handler.
func (n *Node) Draw(d news.Drawing) news.Drawn { return n.quotas.decide(d) }
