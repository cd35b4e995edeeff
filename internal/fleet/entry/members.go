package entry

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/peer"
	"github.com/fulmarcross/fulmarcross/internal/room/timeline"
	"github.com/fulmarcross/fulmarcross/internal/serving/claim"
	"github.com/fulmarcross/fulmarcross/internal/serving/dispatch"
	"github.com/fulmarcross/fulmarcross/internal/serving/router"
	"github.com/fulmarcross/fulmarcross/internal/wire/frame"
	wire "github.com/fulmarcross/fulmarcross/internal/wire/peer"
)

// clients keeps one connection to each peer.
type clients struct {
	tls *tls.Config

	mu  sync.Mutex
	all map[instance.ID]*wire.Client
}

// to returns the client of an entry on the list.
func (c *clients) to(in instance.Instance) *wire.Client {
	c.mu.Lock()
	defer c.mu.Unlock()

	got := c.all[in.ID]
	if got != nil && got.Address == in.Address {
		return got
	}

	if got != nil {
		go got.Close()
	}

	if c.all == nil {
		c.all = make(map[instance.ID]*wire.Client)
	}

	got = &wire.Client{Caller: frame.Caller{Address: in.Address, TLS: c.tls}}
	c.all[in.ID] = got

	return got
}

func (c *clients) close() {
	c.mu.Lock()
	defer c.mu.Unlock()

	for _, client := range c.all {
		go client.Close()
	}
}

// rosterEvery is the time between two readings of the platform's list. With
// many entries it grows, so that all together read it a bounded number of
// times.
const (
	rosterEvery    = time.Second
	rosterPerEntry = 5 * time.Millisecond
)

func (e *Entry) watchRoster(ctx context.Context) {
	for ctx.Err() == nil {
		if e.gate.Wait(ctx) != nil {
			return
		}

		first := e.fleet.ListReadAt().IsZero()

		all, err := e.platform.Instances(ctx)
		if err == nil {
			e.fleet.UpdateList(all, time.Now())

			if first {
				// Now that the peers are known, they hear of this entry at once.
				e.beatOnce(ctx)
			}

			e.noteLeaving(all)
		}

		pause := max(rosterEvery, time.Duration(len(e.fleet.Entries()))*rosterPerEntry)
		_ = clock.Sleep(ctx, pause/2+rand.N(pause)) //nolint:gosec // Spreads the load.
	}
}

// noteLeaving marks targets that the list shows as leaving.
func (e *Entry) noteLeaving(all []instance.Instance) {
	for _, in := range all {
		if in.State != instance.Leaving || in.Role != instance.Engine {
			continue
		}

		if t := e.table.Target(in.ID); t != nil && t.MarkLeaving() {
			e.noticed(dispatch.Notice{Leaving: in.ID})
		}
	}
}

// beat exchanges heartbeats with all peers.
func (e *Entry) beat(ctx context.Context) {
	every(ctx, e.fleet.Timing.Heartbeat, func() { e.beatOnce(ctx) })
}

func (e *Entry) beatOnce(ctx context.Context) {
	if e.gate.Wait(ctx) != nil {
		return
	}

	status := e.status()

	var wg sync.WaitGroup

	for _, in := range e.fleet.Listed(instance.Entry) {
		if in.ID == e.cfg.ID {
			continue
		}

		wg.Go(func() {
			got, err := e.peers.to(in).Heartbeat(ctx, status)
			if err == nil {
				e.hear(got)
			}
		})
	}

	wg.Wait()

	before := len(e.fleet.Entries())
	e.fleet.Refresh(time.Now())

	if len(e.fleet.Entries()) != before {
		e.home.membershipChanged(time.Now())
	}
}

// status says what this entry knows of itself.
func (e *Entry) status() peer.Status {
	s := peer.Status{
		ID:                  e.cfg.ID,
		DataCentre:          e.cfg.DataCentre,
		Process:             e.process,
		Started:             e.started,
		Draining:            e.draining.Load(),
		Ready:               e.Ready(),
		ListVersion:         e.lists.Current().Version(),
		BlockedFingerprints: e.dispatch.Crashes.Convicted(),
		Plans:               e.gateway.Counts(),
		Clock:               e.log.Clock.Now(),
	}

	for _, c := range e.cells {
		if l, ok := c.Lease(); ok {
			s.Leases = append(s.Leases, l)
		}

		if c.OrdersInFlight() {
			s.OrdersInFlight = append(s.OrdersInFlight, c.Number())
		}
	}

	for _, t := range e.table.All() {
		if t.Leaving() {
			s.Leaving = append(s.Leaving, t.ID)
		}
	}

	return s
}

// hear takes in a peer's status, however it came.
func (e *Entry) hear(s peer.Status) {
	before := len(e.fleet.Entries())

	now := time.Now()

	e.log.Clock.Observe(s.Clock)
	e.fleet.Receive(s, now)

	if len(e.fleet.Entries()) != before {
		e.home.membershipChanged(now)
	}

	e.take(wire.Notice{Leaving: s.Leaving, Poisoned: s.BlockedFingerprints})

	mine := e.lists.Current().Version()

	switch {
	case s.ListVersion > mine:
		go e.catchUp(s.ID)
	case s.Ready && e.freshAt.Load() != 0:
		// A peer that is up to date itself knows of nothing newer.
		e.freshAt.Store(now.UnixNano())
	}
}

// take acts on what a peer has noticed.
func (e *Entry) take(n wire.Notice) {
	for _, id := range n.Leaving {
		if t := e.table.Target(id); t != nil && t.MarkLeaving() {
			e.log.Add(timeline.Event{Kind: timeline.TargetLeaving, Target: id, Detail: "from a peer"})
		}
	}

	for _, fp := range n.Poisoned {
		e.dispatch.Crashes.BlockNow(fp)
	}

	for _, d := range n.Dead {
		if t := e.table.Target(d.Target); t != nil {
			t.MarkDead(d.Incarnation, time.Now())
		}
	}
}

// noticed tells all peers at once what must not wait for a heartbeat.
func (e *Entry) noticed(found dispatch.Notice) {
	var n wire.Notice

	switch {
	case found.Leaving != "":
		n.Leaving = append(n.Leaving, found.Leaving)
		e.log.Add(timeline.Event{Kind: timeline.TargetLeaving, Target: found.Leaving})
	case found.Poisoned != 0:
		n.Poisoned = append(n.Poisoned, found.Poisoned)
	default:
		n.Dead = append(n.Dead, found.Dead)
	}

	e.toPeers(func(ctx context.Context, c *wire.Client) { _ = c.Notify(ctx, n) })
}

// toPeers calls f for each listed peer, all at once, in the background.
func (e *Entry) toPeers(f func(context.Context, *wire.Client)) {
	const timeout = 2 * time.Second

	for _, in := range e.fleet.Listed(instance.Entry) {
		if in.ID == e.cfg.ID {
			continue
		}

		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()

			if e.gate.Wait(ctx) == nil {
				f(ctx, e.peers.to(in))
			}
		}()
	}
}

// leaving reports whether a target is known to be leaving.
func (e *Entry) leaving(id instance.ID) bool {
	t := e.table.Target(id)

	return t != nil && t.Leaving()
}

// UnknownPeerError says that an entry is not on the platform's list.
type UnknownPeerError struct{ ID instance.ID }

func (e *UnknownPeerError) Error() string { return "entry: no peer " + string(e.ID) + " on the list" }

func (e *Entry) peer(id instance.ID) (*wire.Client, error) {
	in, ok := e.fleet.Lookup(id)
	if !ok || in.Role != instance.Entry {
		return nil, &UnknownPeerError{ID: id}
	}

	return e.peers.to(in), nil
}

// sendSnapshot hands routing to an entry, this one included.
func (e *Entry) sendSnapshot(ctx context.Context, to instance.ID, s *router.Snapshot) (bool, error) {
	if err := e.gate.Wait(ctx); err != nil {
		return false, err
	}

	if to == e.cfg.ID {
		return e.applySnapshot(s), nil
	}

	c, err := e.peer(to)
	if err != nil {
		return false, err
	}

	return c.Snapshot(ctx, s)
}

// applySnapshot puts routing in force and wakes what waits for it.
func (e *Entry) applySnapshot(s *router.Snapshot) bool {
	holder := e.table.Position(s.Cell).Holder

	ok := e.table.Apply(s, time.Now())
	if ok {
		e.dispatch.WakeQueues()
	}

	if s.Holder != holder || len(s.Removed) > 0 {
		e.reports.wake(s.Cell)
	}

	return ok
}

func (e *Entry) nudge(to instance.ID, number int) {
	c, err := e.peer(to)
	if err != nil {
		return
	}

	const timeout = time.Second

	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()

	_ = c.Nudge(ctx, number)
}

// claimSettled reports whether the process that made a claim can no longer be
// running it.
func (e *Entry) claimSettled(p claim.Pending) bool {
	if p.Entry == e.cfg.ID {
		return p.Process != e.process
	}

	now := time.Now()
	if e.fleet.Gone(p.Entry, now) {
		return true
	}

	s, at, ok := e.fleet.LastStatus(p.Entry)

	return ok && s.Process != p.Process && now.Sub(at) <= e.fleet.Timing.DeadAfter
}
