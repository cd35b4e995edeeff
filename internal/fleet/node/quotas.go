package node

import (
	"context"
	"errors"
	"net/rpc"
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
	// consumeTimeout bounds the call that decides whether a request is within
	// its limit; it leaves time to retransmit a lost packet.
	consumeTimeout = 250 * time.Millisecond
	// decisiveCoverage is the fraction of a limit whose owners are asked before a
	// request is refused. Below it another owner may have credit left.
	decisiveCoverage = 0.75
)

// quotas is this entry's part in enforcing the teams' limits: it delegates its
// shares, decides as an owner, and calls the owners for its own clients. It
// implements relay.Limiter.
type quotas struct {
	node *Node
	// roundSoon requests a round of delegations after roundSpacing, without
	// waiting for the regular one.
	roundSoon chan struct{}
	usage     usageReports

	mu        sync.Mutex
	owner     quota.Owner
	delegator quota.Delegator
	// owners are the current owners of the limits.
	owners   quota.Owners
	failures map[instance.ID]ownerFailures
	// answered are the entries that have answered since this process started.
	answered map[instance.ID]bool
	// refunds is the cost to refund for requests that did not run, by team.
	refunds map[string]float64
}

// ownerFailures records an owner's failures to answer.
type ownerFailures struct {
	// consecutive is the number of failed calls since the last success or
	// exclusion, and exclusions how often the owner was excluded.
	consecutive, exclusions int
	excludedUntil           time.Time
}

func (q *quotas) uptime() quota.Uptime { return quota.Uptime(clock.Now().Sub(q.node.started)) }

// limitSharers returns how many entries may share the limits: all listed ones,
// but at least worstCaseEntries until the entries' rows have been read.
func (q *quotas) limitSharers() int {
	listed := q.node.peers.listed() + 1
	if !q.node.peers.scanned.Load() {
		return max(worstCaseEntries, listed)
	}

	return listed
}

func (q *quotas) self() quota.Process {
	return quota.Process{ID: q.node.cfg.Self, Run: q.node.process}
}

const (
	// undecidedTimeout is how long a request waits for owners that can decide on its
	// team's limit. After a restart of all entries, shares are delegated as soon as the
	// former owners have answered; if one of them does not, it takes a quota.TTL, and
	// the request is refused and may return.
	undecidedTimeout = 800 * time.Millisecond
	undecidedPause   = 40 * time.Millisecond
)

// Charge implements relay.Limiter. It refuses at once if an owner states that the
// team requests more than its limit allows. Otherwise the request is refused capacity
// that the team has not used, and Charge retries for up to undecidedTimeout.
//
// Requests beyond a limit must not be retried: under a flood of five times a limit,
// each refused request was submitted to two owners about ten times, which delayed the
// owners' delegations and the clients.
func (q *quotas) Charge(ctx context.Context, t *team.Team, cost float64) relay.ChargeResult {
	until := time.Now().Add(undecidedTimeout)

	for {
		out, final := q.tryCharge(ctx, t, cost)
		pause := min(max(undecidedPause, out.RetryAfter), time.Until(until))

		if final || pause <= 0 || clock.Sleep(ctx, pause) != nil {
			return out
		}
	}
}

// tryCharge submits the request to the owners of its team's limit. It reports
// whether their decision is final.
func (q *quotas) tryCharge(ctx context.Context, t *team.Team, cost float64) (out relay.ChargeResult, final bool) {
	out.Unknown = true

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
		final = final || !d.Filling

		if out.Coverage >= decisiveCoverage {
			break
		}
	}

	return out, final
}

// ownersToAsk returns the owners to ask about a group: first those to which
// this entry's own share is delegated, then the other current owners. Excluded
// owners are left out unless all are excluded.
func (q *quotas) ownersToAsk(group int) []quota.Process {
	q.mu.Lock()
	defer q.mu.Unlock()

	out := make([]quota.Process, 0, 2*quota.Parts)
	now := clock.Now()

	for part := range quota.Parts {
		if owner, ok := q.delegator.OwnerOf(quota.SlotOf(group, part), now); ok && !slices.Contains(out, owner) {
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

// consume asks an owner whether a request may run.
func (q *quotas) consume(ctx context.Context, owner quota.Process, d news.Drawing) (news.Drawn, error) {
	if owner == q.self() {
		return q.decide(d), nil
	}

	var got news.Drawn

	err := q.callOwner(ctx, owner, func(ctx context.Context, c *news.Client) (respondent, error) {
		var err error

		got, err = c.Draw(ctx, d)

		return respondent{process: got.Process, released: got.Released}, err
	})

	return got, err
}

// respondent is the process that has answered a call to an owner.
type respondent struct {
	process string
	// released says that it uses no delegations any more.
	released bool
}

// ownerEndedError reports that an owner's process has ended.
type ownerEndedError struct{ owner quota.Process }

func (e *ownerEndedError) Error() string {
	return "limit owner " + string(e.owner.ID) + ": process " + e.owner.Run + " has ended"
}

// callOwner makes a call to an owner and records whether it was answered.
func (q *quotas) callOwner(ctx context.Context, owner quota.Process, call func(context.Context, *news.Client) (respondent, error)) error {
	p := q.ownerPeer(owner)
	if p == nil {
		q.mu.Lock()
		defer q.mu.Unlock()

		q.ownerEnded(owner)

		return &ownerEndedError{owner: owner}
	}

	ctx, cancel := context.WithTimeout(ctx, consumeTimeout)
	defer cancel()

	by, err := call(ctx, p.client)

	q.mu.Lock()
	defer q.mu.Unlock()

	// An entry of an earlier version answers that it does not know the call.
	var unknownCall rpc.ServerError

	switch {
	case errors.Is(err, context.Canceled) || errors.As(err, &unknownCall):
	case err != nil:
		q.recordFailure(owner, err)
	case by.released || by.process != owner.Run:
		q.ownerEnded(owner)
	default:
		delete(q.failures, owner.ID)
	}

	return err
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

// decide decides on a request as an owner.
func (q *quotas) decide(d news.Drawing) news.Drawn {
	c, entries := q.node.config(), q.limitSharers()
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

	out.Decision = q.owner.Consume(t.Name, t.Limit, d.Cost, entries, q.uptime())

	return out
}

// acceptDelegation accepts a delegation as an owner.
func (q *quotas) acceptDelegation(l news.Lending) news.Receipt {
	c, entries := q.node.config(), q.limitSharers()

	q.mu.Lock()
	defer q.mu.Unlock()

	now := q.uptime()
	out := news.Receipt{Process: q.node.process, Stamp: now, Held: q.owner.Delegated(l.Entry, now), Released: q.node.stopping.Load()}

	if out.Released || l.Home != q.node.process {
		return out
	}

	q.owner.Accept(l.Delegation, entries, now)

	if c == nil {
		return out
	}

	for name, amount := range l.Returns {
		if t := c.Teams.ByName(name); t != nil {
			q.owner.Refund(name, t.Limit, amount, entries, now)
		}
	}

	return out
}

// release releases all shares delegated to this entry before its process ends.
func (q *quotas) release() {
	q.mu.Lock()
	defer q.mu.Unlock()

	q.owner.Release(q.uptime())
}

// Lend implements news.Handler.
func (n *Node) Lend(l news.Lending) news.Receipt { return n.quotas.acceptDelegation(l) }

// Draw implements news.Handler.
func (n *Node) Draw(d news.Drawing) news.Drawn { return n.quotas.decide(d) }
