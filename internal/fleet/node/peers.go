package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/membership"
	"github.com/fulmarcross/fulmarcross/internal/placement/holder"
	"github.com/fulmarcross/fulmarcross/internal/platform/table"
	"github.com/fulmarcross/fulmarcross/internal/wire/frame"
	"github.com/fulmarcross/fulmarcross/internal/wire/news"
)

const (
	// greetEvery is the time between two rounds of greetings.
	greetEvery = 1500 * time.Millisecond
	// scanEvery is the time between two looks at the entries' rows of a few
	// entries. They tell each other of new ones, so this is for the case that
	// nobody did.
	scanEvery = 60 * time.Second
	// entryPrefix is above the rows of all entries.
	entryPrefix = "entry/"
)

// peers are the other entries and the ways to them.
type peers struct {
	node *Node

	// scanned says that the entries' rows were read.
	scanned atomic.Bool

	mu   sync.Mutex
	roll membership.List
	ways map[instance.ID]*peer
}

// peer is the way to another entry's process.
type peer struct {
	membership.Member

	client *news.Client
	// kick says that there is something to tell it.
	kick   chan struct{}
	cancel context.CancelFunc
}

// entryRow is an entry's row in the store.
type entryRow struct {
	Address  string  `json:"address"`
	Process  string  `json:"process"`
	BornMs   int64   `json:"bornMs"`
	Strength float64 `json:"strength"`
}

// run makes this entry known and greets the others.
func (p *peers) run(ctx context.Context) {
	var (
		scanned time.Time
		link    link
	)

	written := false

	p.askSeeds(ctx)

	for ctx.Err() == nil {
		if !written {
			written = p.write(ctx) == nil
		}

		if scanned.IsZero() || time.Since(scanned) > spread(scanEvery, p.listed()+1) {
			err := p.scan(ctx)
			if err == nil && written {
				scanned = time.Now()
			}

			link.note(p.node, "entries", err)
		}

		p.round(ctx)

		pause := greetEvery
		if scanned.IsZero() {
			pause = failurePause
		}

		_ = clock.Sleep(ctx, jitter(pause))
	}
}

// askSeeds finds the first peers without the store, which may turn this entry
// away.
func (p *peers) askSeeds(ctx context.Context) {
	for _, address := range p.node.cfg.Seeds {
		if address == p.node.cfg.Peers {
			continue
		}

		go func() {
			c := &news.Client{Caller: frame.Caller{Address: address, Count: p.node.traffic.note}}
			defer c.Close()

			if err := p.exchange(ctx, c); err != nil {
				p.node.cfg.Log.Info().Err(err).Stringer("seed", address).Msg("seed not reached")
			}
		}()
	}
}

// write puts this entry's row into the store, whatever stands there.
func (p *peers) write(ctx context.Context) error {
	value, err := json.Marshal(entryRow{Address: p.node.cfg.Peers.String(), Process: p.node.process, BornMs: p.roll.Self.Started.UnixMilli(), Strength: p.node.cfg.Strength})
	if err != nil {
		return err
	}

	_, err = p.node.cfg.Table.Commit(ctx, table.Transaction{
		Writes: []table.Write{{Key: entryPrefix + string(p.node.cfg.Self), Value: value}},
	})

	return err
}

func (p *peers) scan(ctx context.Context) error {
	rows, err := table.ScanAll(ctx, p.node.cfg.Table, entryPrefix)
	if err != nil {
		return err
	}

	p.scanned.Store(true)

	p.mu.Lock()
	defer p.mu.Unlock()

	for _, r := range rows {
		var row entryRow

		at, err := netip.AddrPort{}, json.Unmarshal(r.Value, &row)
		if err == nil {
			at, err = netip.ParseAddrPort(row.Address)
		}

		if err != nil {
			p.node.cfg.Log.Warn().Err(err).Str("row", r.Key).Msg("entry's row cannot be read")

			continue
		}

		p.roll.Add(membership.Member{
			ID: instance.ID(r.Key[len(entryPrefix):]), Address: at, Process: row.Process, Started: time.UnixMilli(row.BornMs), Strength: row.Strength,
		}, time.Now())
	}

	return nil
}

// round greets those whose turn it is.
func (p *peers) round(ctx context.Context) {
	p.mu.Lock()
	members := p.roll.BeginRound(time.Now())
	p.tidy()
	p.mu.Unlock()

	for _, m := range members {
		go func() { _ = p.greet(ctx, m.ID) }() // Who does not answer is found out by its missing beats.
	}
}

// tidy ends the ways to processes that are no longer listed. The caller holds
// the lock.
func (p *peers) tidy() {
	for id, q := range p.ways {
		if m, ok := p.roll.Get(id); !ok || m.Process != q.Process {
			q.cancel()
			q.client.Close()
			delete(p.ways, id)
		}
	}
}

func (p *peers) greet(ctx context.Context, id instance.ID) error {
	q := p.of(id)
	if q == nil {
		return nil
	}

	return p.exchange(ctx, q.client)
}

// exchange greets another entry, and asks it for those members of its list that
// are unknown here.
func (p *peers) exchange(ctx context.Context, c *news.Client) error {
	g := p.greeting()

	for {
		got, err := c.Greet(ctx, g)
		if err != nil {
			return err
		}

		p.take(got)

		if g.Want != nil || got.Pulses == nil {
			return nil
		}

		if g.Want = p.takePulses(got.Pulses); g.Want == nil {
			return nil
		}
	}
}

func (p *peers) takePulses(pulses []membership.ProcessHeartbeat) []uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.roll.ApplyHeartbeats(pulses, time.Now())
}

// greeting returns this entry's own greeting.
func (p *peers) greeting() news.Greeting {
	p.mu.Lock()
	defer p.mu.Unlock()

	return news.Greeting{From: p.roll.Self, Digest: p.roll.Digest()}
}

// take takes in a greeting or the answer to one. It reports whether the
// other's list is the same.
func (p *peers) take(g news.Greeting) bool {
	now := time.Now()

	p.mu.Lock()
	defer p.mu.Unlock()

	p.roll.RecordContact(g.From, now)

	for _, m := range g.Known {
		p.roll.Add(m, now)
	}

	return p.roll.ApplyDigest(g.Digest, now)
}

// answer takes in a greeting and returns what the sender does not know or asks
// for.
func (p *peers) answer(g news.Greeting) news.Greeting {
	same := p.take(g)

	p.mu.Lock()
	defer p.mu.Unlock()

	out := news.Greeting{From: p.roll.Self, Digest: p.roll.Digest(), Known: p.roll.ByHash(g.Want)}
	if !same && len(g.Want) == 0 {
		out.Pulses = p.roll.Heartbeats()
	}

	return out
}

// alive returns the peers that were heard lately and are not leaving.
func (p *peers) alive() []membership.Member {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.roll.Alive(time.Now())
}

// draw returns the way to one of the peers that are alive, drawn at random, or
// nil if there is none.
func (p *peers) draw() *peer {
	alive := p.alive()
	if len(alive) == 0 {
		return nil
	}

	return p.of(alive[rand.IntN(len(alive))].ID) //nolint:gosec // No secret.
}

// all returns all peers that are listed, alive or not.
func (p *peers) all() []membership.Member {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.roll.All()
}

// self returns this process as the others see it.
func (p *peers) self() membership.Member {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.roll.Self
}

// likely returns the peers that are alive or may be, because nothing was heard
// of them yet.
func (p *peers) likely() []membership.Member {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.roll.AliveOrNew(time.Now())
}

// listed returns how many peers are known, alive or not.
func (p *peers) listed() int {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.roll.Len()
}

// leave tells the peers that this process is about to end.
func (p *peers) leave(ctx context.Context) {
	p.mu.Lock()
	p.roll.Self.Leaving = true
	all := p.roll.All()
	p.mu.Unlock()

	var wg sync.WaitGroup

	// These tell the others.
	for _, m := range all[:min(len(all), membership.FullMeshLimit)] {
		wg.Go(func() {
			// A peer that does not hear it finds out by itself.
			_ = p.greet(ctx, m.ID)
		})
	}

	wg.Wait()
}

// of returns the way to a peer, or nil if there is no such entry.
func (p *peers) of(id instance.ID) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.way(id)
}

// way returns the way to a peer's present process, made when it is first
// needed. The caller holds the lock.
func (p *peers) way(id instance.ID) *peer {
	m, ok := p.roll.Get(id)
	if !ok {
		return nil
	}

	old := p.ways[id]
	if old != nil && old.Process == m.Process {
		return old
	}

	if old != nil {
		old.cancel()
		old.client.Close()
	}

	ctx, cancel := context.WithCancel(p.node.work)
	q := &peer{Member: m, kick: make(chan struct{}, 1), cancel: cancel, client: &news.Client{Caller: frame.Caller{Address: m.Address, Count: p.node.traffic.note}}}

	if p.ways == nil {
		p.ways = make(map[instance.ID]*peer)
	}

	p.ways[id] = q

	go p.tell(ctx, q)

	return q
}

// publish tells all peers that this holder has news.
func (p *peers) publish() {
	p.mu.Lock()
	defer p.mu.Unlock()

	for _, m := range p.roll.All() {
		poke(p.way(m.ID).kick)
	}
}

// tellPace is the least time between two tellings of one peer for each peer
// that there is, so that telling all takes the holder at most about a fifth of a
// core (BenchmarkHear). There is none where everybody is greeted.
const tellPace = 250 * time.Microsecond

// tell sends the newest news to the peer, one after the other. Older ones that
// a slow peer did not take are left out.
func (p *peers) tell(ctx context.Context, q *peer) {
	var (
		has   holder.Version
		known bool
	)

	for {
		select {
		case <-ctx.Done():
			return
		case <-q.kick:
		}

		d, holding := p.node.newsSince(has, known)
		if !holding {
			continue
		}

		got, err := q.client.Hear(ctx, d)
		if err != nil {
			p.node.cfg.Log.Debug().Err(err).Str("peer", string(q.ID)).Msg("peer not told")
		} else if has, known = got, true; got != d.Version() && d.Base != (holder.Version{}) {
			poke(q.kick)
		}

		if peers := p.listed(); peers > membership.FullMeshLimit {
			_ = clock.Sleep(ctx, time.Duration(peers)*tellPace)
		}
	}
}
