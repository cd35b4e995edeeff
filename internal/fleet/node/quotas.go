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
	drawAnswers = 250 * time.Millisecond
	// mostOfLimit is the part of a limit from which on the refusals of its homes
	// are final. Below it another home may have room.
	mostOfLimit = 0.75
)

// quotas keeps this entry's part in the teams' limits: it lends its shares,
// decides as a home, and asks homes for its own callers. It implements
// relay.Limiter.
type quotas struct {
	node *Node
	// soon asks for a round of loans at once.
	soon chan struct{}

	mu     sync.Mutex
	home   quota.Owner
	lender quota.Delegator
	// homes are the present homes of the limits.
	homes  quota.Owners
	silent map[instance.ID]silence
	// answered are the entries that have answered since this process started.
	answered map[instance.ID]bool
	// returns are what was counted for requests that did not run, by team.
	returns map[string]float64
}

// silence is how an entry did not answer.
type silence struct {
	// calls had no answer since it was last passed over, times how often it was.
	calls, times int
	until        time.Time
}

func (q *quotas) stamp() quota.Uptime { return quota.Uptime(clock.Now().Sub(q.node.started)) }

// known returns how many entries share the limits.
func (q *quotas) known() int {
	if !q.node.peers.scanned.Load() {
		return sharersUnknown
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
	unknownPatience = 800 * time.Millisecond
	unknownPause    = 40 * time.Millisecond
)

// Charge implements relay.Limiter. It refuses at once what is beyond the limit,
// and waits a moment only where its homes do not know yet what is left.
func (q *quotas) Charge(ctx context.Context, t *team.Team, cost float64) relay.ChargeResult {
	until := time.Now().Add(unknownPatience)

	for {
		out, known := q.chargeNow(ctx, t, cost)
		if known || time.Now().After(until) || clock.Sleep(ctx, max(unknownPause, out.RetryAfter)) != nil {
			return out
		}
	}
}

// chargeNow puts the request to the homes of its team's limit. It reports whether
// their answer is final.
func (q *quotas) chargeNow(ctx context.Context, t *team.Team, cost float64) (out relay.ChargeResult, known bool) {
	out.Unknown = true
	settling := false

	for _, home := range q.candidates(quota.GroupOf(t.Name)) {
		d, err := q.draw(ctx, home, news.Drawing{Team: t.Name, Cost: cost})

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
		settling = settling || d.Filling

		if out.Coverage >= mostOfLimit {
			break
		}
	}

	return out, out.Coverage >= mostOfLimit && !settling
}

// candidates returns whom to ask about a group: first who have this entry's own
// share, then who should.
func (q *quotas) candidates(group int) []quota.Process {
	q.mu.Lock()
	defer q.mu.Unlock()

	out := make([]quota.Process, 0, 2*quota.Parts)
	now := clock.Now()

	for part := range quota.Parts {
		if bound, ok := q.lender.OwnerOf(quota.SlotOf(group, part), now); ok && !slices.Contains(out, bound) {
			out = append(out, bound)
		}
	}

	for part := range quota.Parts {
		if home := q.homes[quota.SlotOf(group, part)]; home.ID != "" && !slices.Contains(out, home) {
			out = append(out, home)
		}
	}

	answering := slices.DeleteFunc(slices.Clone(out), func(p quota.Process) bool { return q.passedOver(p.ID, now) })
	if len(answering) > 0 {
		return answering
	}

	return out
}

// draw asks a home whether a request may run.
func (q *quotas) draw(ctx context.Context, home quota.Process, d news.Drawing) (news.Drawn, error) {
	if home == q.self() {
		return q.decide(d), nil
	}

	p := q.way(home)
	if p == nil {
		q.mu.Lock()
		defer q.mu.Unlock()

		q.ended(home)

		return news.Drawn{Released: true}, nil
	}

	ctx, cancel := context.WithTimeout(ctx, drawAnswers)
	defer cancel()

	got, err := p.client.Draw(ctx, d)

	q.mu.Lock()
	defer q.mu.Unlock()

	switch {
	case err != nil && !errors.Is(err, context.Canceled):
		q.noteFailure(home, err)
	case err == nil && (got.Released || got.Process != home.Run):
		q.ended(home)
	case err == nil:
		delete(q.silent, home.ID)
	}

	return got, err
}

// Refund implements relay.Limiter.
func (q *quotas) Refund(t *team.Team, cost float64) {
	q.mu.Lock()
	defer q.mu.Unlock()

	if q.returns == nil {
		q.returns = make(map[string]float64)
	}

	q.returns[t.Name] += cost
}

// decide decides as a home.
func (q *quotas) decide(d news.Drawing) news.Drawn {
	c, entries := q.node.config(), q.known()
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

	out.Decision = q.home.Consume(t.Name, t.Limit, d.Cost, entries, q.stamp())

	return out
}

// takeLoan takes in a loan as a home.
func (q *quotas) takeLoan(l news.Lending) news.Receipt {
	c, entries := q.node.config(), q.known()

	q.mu.Lock()
	defer q.mu.Unlock()

	now := q.stamp()
	out := news.Receipt{Process: q.node.process, Stamp: now, Held: q.home.Delegated(l.Entry, now), Released: q.node.stopping.Load()}

	if out.Released || l.Home != q.node.process {
		return out
	}

	q.home.Accept(l.Delegation, entries, now)

	if c == nil {
		return out
	}

	for name, amount := range l.Returns {
		if t := c.Teams.ByName(name); t != nil {
			q.home.Refund(name, t.Limit, amount, entries, now)
		}
	}

	return out
}

// release gives back all loans, before this process ends.
func (q *quotas) release() {
	q.mu.Lock()
	defer q.mu.Unlock()

	q.home.Release(q.stamp())
}

// Lend implements news.Handler.
func (n *Node) Lend(l news.Lending) news.Receipt { return n.quotas.takeLoan(l) }

// Draw implements news.Handler.
func (n *Node) Draw(d news.Drawing) news.Drawn { return n.quotas.decide(d) }
