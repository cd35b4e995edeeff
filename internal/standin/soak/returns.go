package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/standin/rows"
)

const (
	// copyInterval is the time between two copies of the store, of which copiesKept are kept.
	copyInterval = 500 * time.Millisecond
	copiesKept   = 10
	// awayMost is how long the store may be away before it comes back, and writtenWithin the
	// time within which targets and the operator then write again.
	awayMost      = time.Second
	writtenWithin = 2 * time.Second
	// leaveBound is the users' bound: no request that a client sends so long after a target
	// said in the list that it leaves may reach it.
	leaveBound = 2 * time.Second
)

// returns are the returns of the store from copies, and what targets said in the list around them.
type returns struct {
	mu     sync.Mutex
	copies []rows.Copy
	// at is when the store came back.
	at     []time.Time
	leaves []leave
}

// leave is the time in which a target says in the list that it leaves.
type leave struct {
	target   instance.ID
	from, to time.Time
}

// copyStore copies the store until the soak ends.
func (s *soak) copyStore() {
	t := time.NewTicker(copyInterval)
	defer t.Stop()

	for {
		select {
		case <-s.ctx.Done():
			return
		case <-t.C:
		}

		c := s.site.Store.Copy()

		s.returns.mu.Lock()
		s.returns.copies = append(s.returns.copies, c)
		s.returns.copies = s.returns.copies[max(0, len(s.returns.copies)-copiesKept):]
		s.returns.mu.Unlock()
	}
}

// makeReturns are the troubles in which the store comes back from a copy, and in which a target
// leaves by the list alone.
func (s *soak) makeReturns(draw *rand.Rand, desk instance.ID) []event {
	away := time.Duration(draw.Int64N(int64(awayMost))) * time.Duration(draw.IntN(2)) //nolint:mnd // At times not at all.
	age := draw.IntN(copiesKept)
	own := rand.New(rand.NewPCG(draw.Uint64(), 0)) //nolint:gosec // No secret.
	back := event{name: fmt.Sprintf("store comes back from copy %d after %v", age, away.Round(time.Millisecond)), begin: func() { s.returnStore(away, age, own) }}

	return []event{back, back, s.leaveOnList(desk), s.leaveOnList(desk)}
}

func (s *soak) returnStore(away time.Duration, age int, draw *rand.Rand) {
	if away > 0 {
		s.setStores(Reset)
		time.Sleep(away)
	}

	s.returns.mu.Lock()

	var c rows.Copy
	if n := len(s.returns.copies); n > 0 {
		c = s.returns.copies[max(0, n-1-age)]
	} else {
		c = s.site.Store.Copy()
	}

	s.site.Return(c, writtenWithin, draw)
	s.returns.at = append(s.returns.at, time.Now())
	s.returns.mu.Unlock()

	if away > 0 {
		s.setStores(Calm)
	}
}

func (s *soak) setStores(t Trouble) {
	for _, p := range s.stores {
		p.set(t)
	}
}

// leaveOnList makes a target leave by the list alone, until it is a new process.
func (s *soak) leaveOnList(desk instance.ID) event {
	return event{
		name: string(desk) + " leaves by the list alone", least: 2 * leaveBound, //nolint:mnd // So that some of it is judged.
		begin: func() {
			s.site.LeaveOnList(desk)
			s.returns.begin(desk)
		},
		end: func() { s.restart(desk) },
	}
}

// restart makes a target a new process, which does not leave.
func (s *soak) restart(id instance.ID) {
	s.returns.end(id)
	s.site.Restart(id)
}

func (r *returns) begin(target instance.ID) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.leaves = append(r.leaves, leave{target: target, from: time.Now()})
}

// end ends what a target has said of its leaving.
func (r *returns) end(target instance.ID) {
	r.mu.Lock()
	defer r.mu.Unlock()

	for i := range r.leaves {
		if l := &r.leaves[i]; l.target == target && l.to.IsZero() {
			l.to = time.Now()
		}
	}
}

// boundOf returns the time from which clients' requests must not reach a target that leaves. A
// statement that the store acknowledged around a return is written again within writtenWithin, and
// the users judge from contact after the return.
func (r *returns) boundOf(l leave) time.Time {
	bound := l.from.Add(leaveBound)

	for _, at := range r.at {
		if at.After(l.from.Add(-contact)) && at.Before(l.from.Add(leaveBound)) {
			bound = clock.Later(bound, clock.Later(at.Add(writtenWithin+leaveBound), at.Add(contact)))
		}
	}

	return bound
}

// storeOf names an entry's link to the store among the excuses.
func storeOf(process string) string { return "store of " + process }

// reachedLeaving describes requests that reached targets that had left by the list.
func (s *soak) reachedLeaving() []string {
	s.returns.mu.Lock()
	defer s.returns.mu.Unlock()

	var out []string

	for _, l := range s.returns.leaves {
		bound := s.returns.boundOf(l)

		for _, run := range s.site.Desks[l.target].Ran() {
			sent, known := s.book.sentAt(run.ID)
			sender := senderOf(run.ID)

			if !known || !sent.After(bound) || !run.At.Before(l.to) || s.outOfTouch(sender, l.from, run.At) {
				continue
			}

			out = append(out, fmt.Sprintf("%s, sent %v after %s had said in the list that it leaves, by %s", run.ID, sent.Sub(l.from).Round(time.Millisecond), l.target, sender))
		}
	}

	return out
}

// outOfTouch reports whether an entry was restarted, frozen, or troubled on its way to the store.
func (s *soak) outOfTouch(name string, from, to time.Time) bool {
	from = from.Add(-contact)

	return s.excuses.overlap(name, from, to) || s.excuses.overlap(storeOf(name), from, to)
}
