package node

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/customer/quota"
	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
	"github.com/fulmarcross/fulmarcross/internal/wire/news"
)

const (
	// delegationTimeout bounds a call that delegates shares, which no request
	// waits for.
	delegationTimeout = 400 * time.Millisecond
	// excludeAfter is the number of consecutive failed calls after which an
	// entry is excluded as an owner; a refused connection excludes it at once.
	// excludeFor is the length of the first exclusion, doubled each time up to
	// eight times that, because an entry that lost power stays on the list for
	// long.
	excludeAfter        = 2
	excludeFor          = 3 * time.Second
	maxExcludeDoublings = 3
	// roundSpacing is the delay before a round that was requested through
	// roundSoon; it keeps such rounds apart.
	roundSpacing = 20 * time.Millisecond
)

// run delegates this entry's shares until ctx ends.
func (q *quotas) run(ctx context.Context) {
	for ctx.Err() == nil {
		if c := q.node.config(); c != nil && (c.Teams.Limited() || q.node.rateLimits.Limited() > 0) {
			q.dropRemovedTeams(c)
			q.round(ctx)
			q.reportUsage()
		}

		t := time.NewTimer(jitter(quota.Interval(q.limitSharers())))

		select {
		case <-ctx.Done():
		case <-q.roundSoon:
			_ = clock.Sleep(ctx, roundSpacing) // The loop checks ctx.
		case <-t.C:
		}

		t.Stop()
	}
}

// round delegates once to all owners.
func (q *quotas) round(ctx context.Context) {
	if clock.Now().Sub(q.delegator.Started) < formerOwnersPeriod {
		q.queryFormerOwners(ctx)
	}

	owners := q.chooseOwners(q.presentMembers())

	q.mu.Lock()
	q.owners = owners
	delegations := q.delegator.Delegations(owners, q.node.cfg.Self, q.limitSharers(), clock.Now())
	refunds := q.refunds
	q.refunds = nil
	q.mu.Unlock()

	for owner, delegation := range delegations {
		l := news.Lending{Delegation: delegation, Home: owner.Run, Returns: make(map[string]float64)}

		for name, amount := range refunds {
			if owners[quota.SlotOf(quota.GroupOf(name), 0)] == owner {
				l.Returns[name] = amount
			}
		}

		go q.delegate(ctx, owner, l)
	}
}

// dropRemovedTeams drops the state of teams that are not in the configuration.
func (q *quotas) dropRemovedTeams(c *route.Config) {
	q.mu.Lock()
	defer q.mu.Unlock()

	q.owner.Retain(func(name string) bool { return c.Teams.ByName(name) != nil })
}

// queryFormerOwners queries the entries that may have been owners before this
// process started.
func (q *quotas) queryFormerOwners(ctx context.Context) {
	former := q.formerOwners()

	q.mu.Lock()
	q.delegator.FormerOwners = former
	q.mu.Unlock()

	for _, id := range former {
		go q.queryFormerOwner(ctx, id)
	}
}

// queryFormerOwner asks an entry which part of this entry's share was delegated
// to it.
func (q *quotas) queryFormerOwner(ctx context.Context, id instance.ID) {
	p := q.node.peers.connection(id)
	if p == nil {
		return
	}

	ctx, cancel := context.WithTimeout(ctx, delegationTimeout)
	defer cancel()

	r, err := p.client.Lend(ctx, news.Lending{Delegation: quota.Delegation{Entry: q.node.cfg.Self}})

	q.mu.Lock()
	defer q.mu.Unlock()

	if err == nil && !q.answered[id] {
		if q.answered == nil {
			q.answered = make(map[instance.ID]bool)
		}

		q.answered[id] = true

		signal(q.roundSoon)
	}

	// A refused connection means that no process runs there. One that starts
	// later is newer than this process and has no shares of its predecessor, so
	// the entry counts as having none.
	if err == nil || errors.Is(err, syscall.ECONNREFUSED) {
		q.delegator.RecordDelegated(id, r.Held)
	}
}

// delegate sends one delegation.
func (q *quotas) delegate(ctx context.Context, owner quota.Process, l news.Lending) {
	r, err := q.sendDelegation(ctx, owner, l)
	at := clock.Now()

	q.mu.Lock()
	defer q.mu.Unlock()

	switch {
	case err != nil:
		q.recordFailure(owner, err)
	case r.Released:
		q.ownerEnded(owner)
	case r.Process != owner.Run:
		q.ownerEnded(owner)

		// The listed process has ended; a gossip exchange fetches the process
		// that replaced it.
		go func() { _ = q.node.peers.gossip(ctx, owner.ID) }() // The next round detects a failure.
	default:
		delete(q.failures, owner.ID)

		if q.delegator.RecordClock(owner, r.Stamp, at) {
			signal(q.roundSoon)
		}
	}
}

func (q *quotas) sendDelegation(ctx context.Context, owner quota.Process, l news.Lending) (news.Receipt, error) {
	if owner == q.self() {
		return q.acceptDelegation(l), nil
	}

	p := q.ownerPeer(owner)
	if p == nil {
		// The receipt names no process, so the owner counts as ended.
		return news.Receipt{}, nil
	}

	ctx, cancel := context.WithTimeout(ctx, delegationTimeout)
	defer cancel()

	return p.client.Lend(ctx, l)
}

// ownerPeer returns the connection to an owner, or nil if its process has been
// replaced.
func (q *quotas) ownerPeer(owner quota.Process) *peer {
	p := q.node.peers.connection(owner.ID)
	if p == nil || p.Process != owner.Run {
		return nil
	}

	return p
}

// recordFailure records a failed call to an owner. The caller holds the lock.
func (q *quotas) recordFailure(owner quota.Process, err error) {
	// A connection is refused only if the process has ended.
	if errors.Is(err, syscall.ECONNREFUSED) {
		q.ownerEnded(owner)
	}

	if q.failures == nil {
		q.failures = make(map[instance.ID]ownerFailures)
	}

	s := q.failures[owner.ID]
	s.consecutive++

	if s.consecutive >= excludeAfter || errors.Is(err, syscall.ECONNREFUSED) {
		s.consecutive, s.excludedUntil = 0, clock.Now().Add(excludeFor<<min(s.exclusions, maxExcludeDoublings))
		s.exclusions++

		q.node.cfg.Log.Info().Err(err).Str("home", string(owner.ID)).Msg("limit owner excluded")
		signal(q.roundSoon)
	}

	q.failures[owner.ID] = s
}

// ownerEnded records that an owner's process has ended or is stopping. The
// caller holds the lock.
func (q *quotas) ownerEnded(owner quota.Process) {
	q.delegator.ForgetOwner(owner)
	signal(q.roundSoon)
}
