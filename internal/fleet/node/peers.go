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
	"github.com/fulmarcross/fulmarcross/internal/fleet/roll"
	"github.com/fulmarcross/fulmarcross/internal/placement/holder"
	"github.com/fulmarcross/fulmarcross/internal/platform/table"
	"github.com/fulmarcross/fulmarcross/internal/wire/frame"
	"github.com/fulmarcross/fulmarcross/internal/wire/news"
)

const (
	// greetEvery is the time between two rounds of greetings.
	gossipInterval = 1500 * time.Millisecond
	// scanEvery is the time between two looks at the entries' rows of a few
	// entries. They tell each other of new ones, so this is for the case that
	// nobody did.
	scanInterval = 60 * time.Second
	// entryPrefix is above the rows of all entries.
	entryPrefix = "entry/"
)

// peers are the other entries and the ways to them.
type peers struct {
	node *Node

	// scanned says that the entries' rows were read.
	scanned atomic.Bool

	mu          sync.Mutex
	members     roll.Roll
	connections map[instance.ID]*peer
}

// peer is the way to another entry's process.
type peer struct {
	roll.Member

	client *news.Client
	// kick says that there is something to tell it.
	updatePending chan struct{}
	cancel        context.CancelFunc
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
		status  storeStatus
	)

	written := false

	p.contactSeeds(ctx)

	for ctx.Err() == nil {
		if !written {
			written = p.writeRow(ctx) == nil
		}

		if scanned.IsZero() || time.Since(scanned) > scaleInterval(scanInterval, p.listed()+1) {
			err := p.scanRows(ctx)
			if err == nil && written {
				scanned = time.Now()
			}

			status.record(p.node, "entries", err)
		}

		p.gossipRound(ctx)

		pause := gossipInterval
		if scanned.IsZero() {
			pause = minBackoff
		}

		_ = clock.Sleep(ctx, jitter(pause))
	}
}

// askSeeds finds the first peers without the store, which may turn this entry
// away.
func (p *peers) contactSeeds(ctx context.Context) {
	for _, address := range p.node.cfg.Seeds {
		if address == p.node.cfg.Peers {
			continue
		}

		go func() {
			c := &news.Client{Caller: frame.Caller{Address: address, Count: p.node.traffic.count}}
			defer c.Close()

			if err := p.exchange(ctx, c); err != nil {
				p.node.cfg.Log.Info().Err(err).Stringer("seed", address).Msg("seed not reached")
			}
		}()
	}
}

// write puts this entry's row into the store, whatever stands there.
func (p *peers) writeRow(ctx context.Context) error {
	value, err := json.Marshal(entryRow{Address: p.node.cfg.Peers.String(), Process: p.node.process, BornMs: p.members.Self.Born.UnixMilli(), Strength: p.node.cfg.Strength})
	if err != nil {
		return err
	}

	_, err = p.node.cfg.Table.Commit(ctx, table.Transaction{
		Writes: []table.Write{{Key: entryPrefix + string(p.node.cfg.Self), Value: value}},
	})

	return err
}

func (p *peers) scanRows(ctx context.Context) error {
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

		p.members.Meet(roll.Member{
			ID: instance.ID(r.Key[len(entryPrefix):]), Address: at, Process: row.Process, Born: time.UnixMilli(row.BornMs), Strength: row.Strength,
		}, time.Now())
	}

	return nil
}

// round greets those whose turn it is.
func (p *peers) gossipRound(ctx context.Context) {
	p.mu.Lock()
	members := p.members.Beat(time.Now())
	p.closeStale()
	p.mu.Unlock()

	for _, m := range members {
		go func() { _ = p.gossip(ctx, m.ID) }() // Who does not answer is found out by its missing beats.
	}
}

// tidy ends the ways to processes that are no longer listed. The caller holds
// the lock.
func (p *peers) closeStale() {
	for id, q := range p.connections {
		if m, ok := p.members.Get(id); !ok || m.Process != q.Process {
			q.cancel()
			q.client.Close()
			delete(p.connections, id)
		}
	}
}

func (p *peers) gossip(ctx context.Context, id instance.ID) error {
	q := p.connection(id)
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

		p.applyGreeting(got)

		if g.Want != nil || got.Pulses == nil {
			return nil
		}

		if g.Want = p.applyHeartbeats(got.Pulses); g.Want == nil {
			return nil
		}
	}
}

func (p *peers) applyHeartbeats(heartbeats []roll.Pulse) []uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.members.TakePulses(heartbeats, time.Now())
}

// greeting returns this entry's own greeting.
func (p *peers) greeting() news.Greeting {
	p.mu.Lock()
	defer p.mu.Unlock()

	return news.Greeting{From: p.members.Self, Digest: p.members.Digest()}
}

// take takes in a greeting or the answer to one. It reports whether the
// other's list is the same.
func (p *peers) applyGreeting(g news.Greeting) bool {
	now := time.Now()

	p.mu.Lock()
	defer p.mu.Unlock()

	p.members.Heard(g.From, now)

	for _, m := range g.Known {
		p.members.Meet(m, now)
	}

	return p.members.Take(g.Digest, now)
}

// answer takes in a greeting and returns what the sender does not know or asks
// for.
func (p *peers) answer(g news.Greeting) news.Greeting {
	same := p.applyGreeting(g)

	p.mu.Lock()
	defer p.mu.Unlock()

	out := news.Greeting{From: p.members.Self, Digest: p.members.Digest(), Known: p.members.Named(g.Want)}
	if !same && len(g.Want) == 0 {
		out.Pulses = p.members.Pulses()
	}

	return out
}

// alive returns the peers that were heard lately and are not leaving.
func (p *peers) alive() []roll.Member {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.members.Alive(time.Now())
}

// draw returns the way to one of the peers that are alive, drawn at random, or
// nil if there is none.
func (p *peers) random() *peer {
	alive := p.alive()
	if len(alive) == 0 {
		return nil
	}

	return p.connection(alive[rand.IntN(len(alive))].ID) //nolint:gosec // No secret.
}

// all returns all peers that are listed, alive or not.
func (p *peers) all() []roll.Member {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.members.All()
}

// self returns this process as the others see it.
func (p *peers) self() roll.Member {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.members.Self
}

// likely returns the peers that are alive or may be, because nothing was heard
// of them yet.
func (p *peers) aliveOrNew() []roll.Member {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.members.Likely(time.Now())
}

// listed returns how many peers are known, alive or not.
func (p *peers) listed() int {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.members.Len()
}

// leave tells the peers that this process is about to end.
func (p *peers) announceLeaving(ctx context.Context) {
	p.mu.Lock()
	p.members.Self.Leaving = true
	all := p.members.All()
	p.mu.Unlock()

	var wg sync.WaitGroup

	// These tell the others.
	for _, m := range all[:min(len(all), roll.Everybody)] {
		wg.Go(func() {
			// A peer that does not hear it finds out by itself.
			_ = p.gossip(ctx, m.ID)
		})
	}

	wg.Wait()
}

// of returns the way to a peer, or nil if there is no such entry.
func (p *peers) connection(id instance.ID) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.connect(id)
}

// way returns the way to a peer's present process, made when it is first
// needed. The caller holds the lock.
func (p *peers) connect(id instance.ID) *peer {
	m, ok := p.members.Get(id)
	if !ok {
		return nil
	}

	old := p.connections[id]
	if old != nil && old.Process == m.Process {
		return old
	}

	if old != nil {
		old.cancel()
		old.client.Close()
	}

	ctx, cancel := context.WithCancel(p.node.workCtx)
	q := &peer{Member: m, updatePending: make(chan struct{}, 1), cancel: cancel, client: &news.Client{Caller: frame.Caller{Address: m.Address, Count: p.node.traffic.count}}}

	if p.connections == nil {
		p.connections = make(map[instance.ID]*peer)
	}

	p.connections[id] = q

	go p.sendUpdates(ctx, q)

	return q
}

// publish tells all peers that this holder has news.
func (p *peers) notifyAll() {
	p.mu.Lock()
	defer p.mu.Unlock()

	for _, m := range p.members.All() {
		signal(p.connect(m.ID).updatePending)
	}
}

// tellPace is the least time between two tellings of one peer for each peer
// that there is, so that telling all takes the holder at most about a fifth of a
// core (BenchmarkHear). There is none where everybody is greeted.
const sendSpacing = 250 * time.Microsecond

// tell sends the newest news to the peer, one after the other. Older ones that
// a slow peer did not take are left out.
func (p *peers) sendUpdates(ctx context.Context, q *peer) {
	var (
		acknowledged holder.Edition
		known        bool
	)

	for {
		select {
		case <-ctx.Done():
			return
		case <-q.updatePending:
		}

		d, holding := p.node.deltaSince(acknowledged, known)
		if !holding {
			continue
		}

		got, err := q.client.Hear(ctx, d)
		if err != nil {
			p.node.cfg.Log.Debug().Err(err).Str("peer", string(q.ID)).Msg("peer not told")
		} else if acknowledged, known = got, true; got != d.Edition() && d.Base != (holder.Edition{}) {
			signal(q.updatePending)
		}

		if peers := p.listed(); peers > roll.Everybody {
			_ = clock.Sleep(ctx, time.Duration(peers)*sendSpacing)
		}
	}
}
