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
	// lendAnswers bounds a loan, which no request waits for.
	lendAnswers = 400 * time.Millisecond
	// silentAfter is after how many calls without an answer, one after the other,
	// an entry is passed over as a home, and silentFor for how long, doubled each
	// time up to eight times: one that lost power stays on the list for long.
	silentAfter  = 2
	silentFor    = 3 * time.Second
	silentDouble = 3
	// soonPause keeps rounds that are asked for at once apart.
	soonPause = 20 * time.Millisecond
)

// run lends this entry's shares until ctx ends.
func (q *quotas) run(ctx context.Context) {
	for ctx.Err() == nil {
		if c := q.node.config(); c != nil && c.Teams.Limited() {
			q.forget(c)
			q.round(ctx)
		}

		t := time.NewTimer(jitter(quota.Interval(q.known())))

		select {
		case <-ctx.Done():
		case <-q.soon:
			_ = clock.Sleep(ctx, soonPause) // The loop looks at ctx.
		case <-t.C:
		}

		t.Stop()
	}
}

// round lends once to all homes.
func (q *quotas) round(ctx context.Context) {
	if clock.Now().Sub(q.lender.Started) < formerAsked {
		q.askFormer(ctx)
	}

	homes := q.choose(q.present())

	q.mu.Lock()
	q.homes = homes
	loans := q.lender.Delegations(homes, q.node.cfg.Self, q.known(), clock.Now())
	returns := q.returns
	q.returns = nil
	q.mu.Unlock()

	for home, loan := range loans {
		l := news.Lending{Delegation: loan, Home: home.Run, Returns: make(map[string]float64)}

		for name, amount := range returns {
			if homes[quota.SlotOf(quota.GroupOf(name), 0)] == home {
				l.Returns[name] = amount
			}
		}

		go q.lend(ctx, home, l)
	}
}

// forget drops what is kept of teams that are no longer in force.
func (q *quotas) forget(c *route.Config) {
	q.mu.Lock()
	defer q.mu.Unlock()

	q.home.Retain(func(name string) bool { return c.Teams.ByName(name) != nil })
}

// askFormer asks the entries that may have been homes before this process
// started.
func (q *quotas) askFormer(ctx context.Context) {
	former := q.former()

	q.mu.Lock()
	q.lender.FormerOwners = former
	q.mu.Unlock()

	for _, id := range former {
		go q.ask(ctx, id)
	}
}

// ask asks an entry what it holds of this entry's share.
func (q *quotas) ask(ctx context.Context, id instance.ID) {
	p := q.node.peers.of(id)
	if p == nil {
		return
	}

	ctx, cancel := context.WithTimeout(ctx, lendAnswers)
	defer cancel()

	r, err := p.client.Lend(ctx, news.Lending{Delegation: quota.Delegation{Entry: q.node.cfg.Self}})

	q.mu.Lock()
	defer q.mu.Unlock()

	if err == nil && !q.answered[id] {
		if q.answered == nil {
			q.answered = make(map[instance.ID]bool)
		}

		q.answered[id] = true

		poke(q.soon)
	}

	// Where nobody listens, whoever comes started after this process.
	if err == nil || errors.Is(err, syscall.ECONNREFUSED) {
		q.lender.RecordDelegated(id, r.Held)
	}
}

// lend makes one loan.
func (q *quotas) lend(ctx context.Context, home quota.Process, l news.Lending) {
	r, err := q.callLend(ctx, home, l)
	at := clock.Now()

	q.mu.Lock()
	defer q.mu.Unlock()

	switch {
	case err != nil:
		q.noteFailure(home, err)
	case r.Released:
		q.ended(home)
	case r.Process != home.Run:
		q.ended(home)

		// Whoever is on the list there has ended; a greeting brings its successor.
		go func() { _ = q.node.peers.greet(ctx, home.ID) }() // The next round finds out.
	default:
		delete(q.silent, home.ID)

		if q.lender.RecordClock(home, r.Stamp, at) {
			poke(q.soon)
		}
	}
}

func (q *quotas) callLend(ctx context.Context, home quota.Process, l news.Lending) (news.Receipt, error) {
	if home == q.self() {
		return q.takeLoan(l), nil
	}

	p := q.way(home)
	if p == nil {
		// No process has this receipt's name, so the home counts as ended.
		return news.Receipt{}, nil
	}

	ctx, cancel := context.WithTimeout(ctx, lendAnswers)
	defer cancel()

	return p.client.Lend(ctx, l)
}

// way returns the way to a home, or nil if another process has taken its place.
func (q *quotas) way(home quota.Process) *peer {
	p := q.node.peers.of(home.ID)
	if p == nil || p.Process != home.Run {
		return nil
	}

	return p
}

// noteFailure notes a call to a home without an answer. The caller holds the
// lock.
func (q *quotas) noteFailure(home quota.Process, err error) {
	// Only a process that has ended refuses connections.
	if errors.Is(err, syscall.ECONNREFUSED) {
		q.ended(home)
	}

	if q.silent == nil {
		q.silent = make(map[instance.ID]silence)
	}

	s := q.silent[home.ID]
	s.calls++

	if s.calls >= silentAfter || errors.Is(err, syscall.ECONNREFUSED) {
		s.calls, s.until = 0, clock.Now().Add(silentFor<<min(s.times, silentDouble))
		s.times++

		q.node.cfg.Log.Info().Err(err).Str("home", string(home.ID)).Msg("home of limits passed over")
		poke(q.soon)
	}

	q.silent[home.ID] = s
}

// ended notes that a home's process has ended or stops. The caller holds the
// lock.
func (q *quotas) ended(home quota.Process) {
	q.lender.OwnerEnded(home)
	poke(q.soon)
}
