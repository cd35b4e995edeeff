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
	// gossipInterval is the time between two rounds of gossip.
	gossipInterval = 1500 * time.Millisecond
	// scanInterval is the time between two reads of the entries' rows where
	// there are few entries. Entries announce new ones to each other, so this
	// covers only announcements that were lost.
	scanInterval = 60 * time.Second
	// entryPrefix is the key prefix of the rows of all entries.
	entryPrefix = "entry/"
)

// peers is the list of the other entries and the connections to them.
type peers struct {
	node *Node

	// scanned reports that the entries' rows have been read, and rowWritten that this entry's
	// row was written and is not lost.
	scanned, rowWritten atomic.Bool

	mu          sync.Mutex
	members     membership.List
	connections map[instance.ID]*peer
}

// peer is the connection to another entry's process.
type peer struct {
	membership.Member

	client *news.Client
	// updatePending signals that there is an update to send to it.
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

// run registers this entry and exchanges gossip with the others until ctx ends.
func (p *peers) run(ctx context.Context) {
	var (
		scanned time.Time
		status  storeStatus
	)

	p.contactSeeds(ctx)

	for ctx.Err() == nil {
		p.writeRowOnce(ctx)

		if scanned.IsZero() || time.Since(scanned) > scaleInterval(scanInterval, p.listed()+1) {
			err := p.scanRows(ctx)
			if err == nil && p.rowWritten.Load() {
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

// contactSeeds discovers the first peers without the store, which may not
// answer this entry.
func (p *peers) contactSeeds(ctx context.Context) {
	for _, address := range p.node.cfg.Seeds {
		if address == p.node.cfg.Peers {
			continue
		}

		go func() {
			c := &news.Client{Caller: frame.Caller{Address: address, Dial: p.node.cfg.Dial, Count: p.node.traffic.count}}
			defer c.Close()

			if err := p.exchange(ctx, c); err != nil {
				p.node.cfg.Log.Info().Err(err).Stringer("seed", address).Msg("cannot reach seed")
			}
		}()
	}
}

// writeRowOnce writes this entry's row unless it is in the store. A return of the store that is
// heard of meanwhile makes the next round write it again.
func (p *peers) writeRowOnce(ctx context.Context) {
	if !p.rowWritten.CompareAndSwap(false, true) {
		return
	}

	if p.writeRow(ctx) != nil {
		p.rowWritten.Store(false)
	}
}

// writeRow writes this entry's row to the store, replacing any that is there.
func (p *peers) writeRow(ctx context.Context) error {
	value, err := json.Marshal(entryRow{Address: p.node.cfg.Peers.String(), Process: p.node.process, BornMs: p.members.Self.Started.UnixMilli(), Strength: p.node.cfg.Strength})
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
			p.node.cfg.Log.Warn().Err(err).Str("row", r.Key).Msg("cannot decode entry row")

			continue
		}

		p.members.Add(membership.Member{
			ID: instance.ID(r.Key[len(entryPrefix):]), Address: at, Process: row.Process, Started: time.UnixMilli(row.BornMs), Strength: row.Strength,
		}, time.Now())
	}

	return nil
}

// gossipRound exchanges gossip with the members that are due.
func (p *peers) gossipRound(ctx context.Context) {
	p.mu.Lock()
	members := p.members.BeginRound(time.Now())
	p.closeStale()
	p.mu.Unlock()

	for _, m := range members {
		go func() { _ = p.gossip(ctx, m.ID) }() // A peer that does not answer is detected by its missing heartbeats.
	}
}

// closeStale closes the connections to processes that are not listed. The
// caller holds the lock.
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

// exchange exchanges gossip with another entry, and requests those members of
// its list that are unknown here.
func (p *peers) exchange(ctx context.Context, c *news.Client) error {
	g := p.gossipMessage()

	for {
		got, err := c.Greet(ctx, g)
		if err != nil {
			return err
		}

		p.applyGossip(got)

		if g.Want != nil || got.Pulses == nil {
			return nil
		}

		if g.Want = p.applyHeartbeats(got.Pulses); g.Want == nil {
			return nil
		}
	}
}

func (p *peers) applyHeartbeats(heartbeats []membership.ProcessHeartbeat) []uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.members.ApplyHeartbeats(heartbeats, time.Now())
}

// gossipMessage returns this entry's own gossip message.
func (p *peers) gossipMessage() news.Greeting {
	p.mu.Lock()
	defer p.mu.Unlock()

	return news.Greeting{From: p.members.Self, Digest: p.members.Digest()}
}

// applyGossip applies a gossip message or the answer to one. It reports whether
// the other entry's list is the same.
func (p *peers) applyGossip(g news.Greeting) bool {
	now := time.Now()

	p.mu.Lock()
	defer p.mu.Unlock()

	p.members.RecordContact(g.From, now)

	for _, m := range g.Known {
		p.members.Add(m, now)
	}

	return p.members.ApplyDigest(g.Digest, now)
}

// answerGossip applies a gossip message and returns the members that the sender
// lacks or requests.
func (p *peers) answerGossip(g news.Greeting) news.Greeting {
	same := p.applyGossip(g)

	p.mu.Lock()
	defer p.mu.Unlock()

	out := news.Greeting{From: p.members.Self, Digest: p.members.Digest(), Known: p.members.ByHash(g.Want)}
	if !same && len(g.Want) == 0 {
		out.Pulses = p.members.Heartbeats()
	}

	return out
}

// alive returns the peers that have recent heartbeats and are not leaving.
func (p *peers) alive() []membership.Member {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.members.Alive(time.Now())
}

// random returns the connection to a random peer that is alive, or nil if there
// is none.
func (p *peers) random() *peer {
	alive := p.alive()
	if len(alive) == 0 {
		return nil
	}

	return p.connection(alive[rand.IntN(len(alive))].ID) //nolint:gosec // No secret.
}

// all returns all listed peers, alive or not.
func (p *peers) all() []membership.Member {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.members.All()
}

// self returns this process as a member.
func (p *peers) self() membership.Member {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.members.Self
}

// aliveOrNew returns the peers that are alive, and those listed recently that
// have not sent a heartbeat yet and so may be alive.
func (p *peers) aliveOrNew() []membership.Member {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.members.AliveOrNew(time.Now())
}

// listed returns the number of listed peers, alive or not.
func (p *peers) listed() int {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.members.Len()
}

// announceLeaving informs the peers that this process is about to end.
func (p *peers) announceLeaving(ctx context.Context) {
	p.mu.Lock()
	p.members.Self.Leaving = true
	all := p.members.All()
	p.mu.Unlock()

	var wg sync.WaitGroup

	// These pass it on to the others.
	for _, m := range all[:min(len(all), membership.FullMeshLimit)] {
		wg.Go(func() {
			// A peer that misses it detects the end by itself.
			_ = p.gossip(ctx, m.ID)
		})
	}

	wg.Wait()
}

// connection returns the connection to a peer, or nil if there is no such
// entry.
func (p *peers) connection(id instance.ID) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.connect(id)
}

// connect returns the connection to a peer's current process, created on first
// use. The caller holds the lock.
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
	q := &peer{Member: m, updatePending: make(chan struct{}, 1), cancel: cancel, client: &news.Client{Caller: frame.Caller{Address: m.Address, Dial: p.node.cfg.Dial, Count: p.node.traffic.count}}}

	if p.connections == nil {
		p.connections = make(map[instance.ID]*peer)
	}

	p.connections[id] = q

	go p.sendUpdates(ctx, q)

	return q
}

// notifyAll triggers an update to every peer.
func (p *peers) notifyAll() {
	p.mu.Lock()
	defer p.mu.Unlock()

	for _, m := range p.members.All() {
		signal(p.connect(m.ID).updatePending)
	}
}

// sendSpacing, times the number of peers, is the minimum time between two
// updates to one peer, so that updating all takes the holder at most about a
// fifth of a core (BenchmarkHear). There is no minimum while all entries gossip
// with all others.
const sendSpacing = 250 * time.Microsecond

// needsOther reports whether a peer, which then has a version, needs another delta than the one
// it was sent: one to that version. A peer that was sent just that and still has it takes this
// holder's snapshots for old, and a repetition changes nothing.
func needsOther(sent holder.Delta, has holder.Version) bool {
	return has != sent.Version() && sent.Base != (holder.Version{}) && has != sent.Base
}

// sendUpdates sends the latest snapshot to the peer whenever there is an
// update. Snapshots that a slow peer misses are skipped.
func (p *peers) sendUpdates(ctx context.Context, q *peer) {
	var (
		acknowledged    holder.Version
		anyAcknowledged bool
	)

	for {
		select {
		case <-ctx.Done():
			return
		case <-q.updatePending:
		}

		delta, holding := p.node.deltaSince(acknowledged, anyAcknowledged)
		if !holding {
			continue
		}

		got, err := q.client.Hear(ctx, delta)
		if err != nil {
			p.node.cfg.Log.Debug().Err(err).Str("peer", string(q.ID)).Msg("cannot send holder state to peer")
		} else if acknowledged, anyAcknowledged = got, true; needsOther(delta, got) {
			signal(q.updatePending)
		}

		if peers := p.listed(); peers > membership.FullMeshLimit {
			_ = clock.Sleep(ctx, time.Duration(peers)*sendSpacing)
		}
	}
}
