package node

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/customer/quota"
	"github.com/fulmarcross/fulmarcross/internal/customer/team"
	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/roll"
	"github.com/fulmarcross/fulmarcross/internal/serving/relay"
	"github.com/fulmarcross/fulmarcross/internal/wire/news"
)

const (
	// homesOfLimits is how many entries decide on limits: a death among them
	// touches a part of the teams only.
	homesOfLimits = 3
	// formerHomes is how many of the strongest entries are asked after a start
	// whether the process before had lent them something: a home is not among them
	// only where more than half of them were passed over.
	formerHomes = 8
	// drawAnswers bounds the question whether a request is within its limit: a
	// lost packet is sent again after 0.2 s.
	drawAnswers = 250 * time.Millisecond
	// lendAnswers bounds a loan, which no request waits for.
	lendAnswers = 400 * time.Millisecond
	// silentAfter is after how many calls without an answer, one after the other,
	// an entry is passed over as a home, and silentFor for how long, doubled each
	// time up to eight times: one that lost power stays on the list for long.
	silentAfter  = 2
	silentFor    = 3 * time.Second
	silentDouble = 3
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
	home   quota.Home
	lender quota.Lender
	// homes are the present homes of the limits.
	homes  quota.Homes
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

func (q *quotas) stamp() quota.Stamp { return quota.Stamp(clock.Now().Sub(q.node.started)) }

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

// run lends this entry's shares until ctx ends.
func (q *quotas) run(ctx context.Context) {
	for ctx.Err() == nil {
		if c := q.node.config(); c != nil && c.Teams.Limited() {
			q.round(ctx)
		}

		t := time.NewTimer(jitter(quota.Every(q.known())))

		select {
		case <-ctx.Done():
		case <-q.soon:
			_ = clock.Sleep(ctx, soonPause) // The loop looks at ctx.
		case <-t.C:
		}

		t.Stop()
	}
}

// soonPause keeps rounds that are asked for at once apart.
const soonPause = 20 * time.Millisecond

// round lends once to all homes.
func (q *quotas) round(ctx context.Context) {
	former := q.former()
	homes := q.choose(q.present())

	q.mu.Lock()
	q.homes, q.lender.Former = homes, former
	loans := q.lender.Loans(homes, q.node.cfg.Self, q.known(), clock.Now())
	returns := q.returns
	q.returns = nil
	q.mu.Unlock()

	if clock.Now().Sub(q.lender.Started) < formerAsked {
		for _, id := range former {
			go q.ask(ctx, id)
		}
	}

	for home, loan := range loans {
		l := news.Lending{Loan: loan, Home: home.Run, Returns: make(map[string]float64)}

		for name, amount := range returns {
			if homes[quota.SlotOf(quota.GroupOf(name), 0)] == home {
				l.Returns[name] = amount
			}
		}

		go q.lend(ctx, home, l)
	}
}

// formerAsked is for how long after a start entries are asked what they hold of
// the process before; by then its loans have ended.
const formerAsked = 2 * time.Second

// former returns the entries that may have been homes before this process
// started, if all entries are known.
func (q *quotas) former() []instance.ID {
	if !q.node.peers.scanned.Load() {
		return nil
	}

	strong := strongest(q.node.peers.all(), formerHomes)
	out := make([]instance.ID, len(strong))

	for i, m := range strong {
		out[i] = m.ID
	}

	return out
}

// ask asks an entry what it holds of this entry's share.
func (q *quotas) ask(ctx context.Context, id instance.ID) {
	p := q.node.peers.of(id)
	if p == nil {
		return
	}

	ctx, cancel := context.WithTimeout(ctx, lendAnswers)
	defer cancel()

	r, err := p.client.Lend(ctx, news.Lending{Loan: quota.Loan{Entry: q.node.cfg.Self}})

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
		q.lender.Holds(id, r.Held)
	}
}

// present returns the members that are known to be there: those that are alive,
// and after a start, when few were heard yet, those that have answered.
func (q *quotas) present() []roll.Member {
	out := q.node.peers.alive()

	if clock.Now().Sub(q.lender.Started) > formerAsked {
		return out
	}

	known := make(map[instance.ID]bool, len(out))
	for _, m := range out {
		known[m.ID] = true
	}

	q.mu.Lock()
	defer q.mu.Unlock()

	for _, m := range q.node.peers.likely() {
		if q.answered[m.ID] && !known[m.ID] {
			out = append(out, m)
		}
	}

	return out
}

// choose returns the homes of all limits: a few of the strongest entries that are
// alive and answer. The parts of a group have different homes.
func (q *quotas) choose(alive []roll.Member) quota.Homes {
	now := clock.Now()

	q.mu.Lock()
	alive = slices.DeleteFunc(alive, func(m roll.Member) bool { return now.Before(q.silent[m.ID].until) })
	q.mu.Unlock()

	if !q.node.stopping.Load() {
		alive = append(alive, q.node.peers.self())
	}

	return divide(strongest(alive, homesOfLimits))
}

// strongest returns so many of the strongest members, in an order on which all
// entries agree.
func strongest(members []roll.Member, n int) []roll.Member {
	slices.SortFunc(members, func(a, b roll.Member) int {
		// Peers know each other's strength as a float32 only.
		return cmp.Or(cmp.Compare(float32(b.Strength), float32(a.Strength)), cmp.Compare(instance.Score("limits", b.ID), instance.Score("limits", a.ID)))
	})

	return members[:min(n, len(members))]
}

// divide divides the limits among their homes.
func divide(among []roll.Member) quota.Homes {
	var out quota.Homes

	ids, runs := make([]instance.ID, len(among)), make(map[instance.ID]string)
	for i, m := range among {
		ids[i], runs[m.ID] = m.ID, m.Process
	}

	for g := range quota.Groups {
		ranked := instance.Rank(fmt.Sprint("limits/", g), ids)

		for part := range quota.Parts {
			if len(ranked) > 0 {
				id := ranked[part%len(ranked)]
				out[quota.SlotOf(g, part)] = quota.Process{ID: id, Run: runs[id]}
			}
		}
	}

	return out
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

		if q.lender.Heard(home, r.Stamp, at) {
			poke(q.soon)
		}
	}
}

func (q *quotas) callLend(ctx context.Context, home quota.Process, l news.Lending) (news.Receipt, error) {
	if home == q.self() {
		return q.takeLoan(l), nil
	}

	p := q.node.peers.of(home.ID)
	if p == nil || p.Process != home.Run {
		return news.Receipt{Process: processUnknown}, nil
	}

	ctx, cancel := context.WithTimeout(ctx, lendAnswers)
	defer cancel()

	return p.client.Lend(ctx, l)
}

// processUnknown stands for a process that has taken the place of another.
const processUnknown = ""

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
	q.lender.Ended(home)
	poke(q.soon)
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
func (q *quotas) Charge(ctx context.Context, t *team.Team, cost float64) relay.Charge {
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
func (q *quotas) chargeNow(ctx context.Context, t *team.Team, cost float64) (out relay.Charge, known bool) {
	out.Unknown = true
	settling := false

	for _, home := range q.candidates(quota.GroupOf(t.Name)) {
		d, err := q.draw(ctx, home, news.Drawing{Team: t.Name, Cost: cost})

		switch {
		case err != nil || d.Stranger || d.Released || d.Part == 0:
			continue
		case d.Granted:
			return relay.Charge{Granted: true}, true
		case out.Unknown || d.Wait < out.RetryAfter:
			out.RetryAfter = d.Wait
		}

		out.Unknown = false
		out.Part += d.Part
		settling = settling || d.Settling

		if out.Part >= mostOfLimit {
			break
		}
	}

	return out, out.Part >= mostOfLimit && !settling
}

// candidates returns whom to ask about a group: first who have this entry's own
// share, then who should.
func (q *quotas) candidates(group int) []quota.Process {
	q.mu.Lock()
	defer q.mu.Unlock()

	out := make([]quota.Process, 0, 2*quota.Parts)
	now := clock.Now()

	for part := range quota.Parts {
		if bound, ok := q.lender.With(quota.SlotOf(group, part), now); ok && !slices.Contains(out, bound) {
			out = append(out, bound)
		}
	}

	for part := range quota.Parts {
		if home := q.homes[quota.SlotOf(group, part)]; home.ID != "" && !slices.Contains(out, home) {
			out = append(out, home)
		}
	}

	answering := slices.DeleteFunc(slices.Clone(out), func(p quota.Process) bool { return now.Before(q.silent[p.ID].until) })
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

	p := q.node.peers.of(home.ID)
	if p == nil || p.Process != home.Run {
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

	out.Answer = q.home.Draw(t.Name, t.Limit, d.Cost, entries, q.stamp())

	return out
}

// takeLoan takes in a loan as a home.
func (q *quotas) takeLoan(l news.Lending) news.Receipt {
	c, entries := q.node.config(), q.known()

	q.mu.Lock()
	defer q.mu.Unlock()

	now := q.stamp()
	out := news.Receipt{Process: q.node.process, Stamp: now, Held: q.home.Held(l.Entry, now), Released: q.node.stopping.Load()}

	if out.Released || l.Home != q.node.process {
		return out
	}

	q.home.Lend(l.Loan, entries, now)

	if c == nil {
		return out
	}

	for name, amount := range l.Returns {
		if t := c.Teams.ByName(name); t != nil {
			q.home.Return(name, t.Limit, amount, entries, now)
		}
	}

	q.home.Keep(func(name string) bool { return c.Teams.ByName(name) != nil })

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
