package node

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/placement/holder"
	"github.com/fulmarcross/fulmarcross/internal/platform/table"
	"github.com/fulmarcross/fulmarcross/internal/wire/frame"
	"github.com/fulmarcross/fulmarcross/internal/wire/news"
)

const (
	// greetEvery is the time between two greetings of a peer, and deadAfter
	// how long one that does not answer still counts as alive.
	greetEvery = 1500 * time.Millisecond
	deadAfter  = 4 * time.Second
	// scanEvery is the time between two looks at the entries' rows. Peers tell
	// each other of new ones, so this is for the case that nobody did.
	scanEvery = 15 * time.Second
	// forgetAfter is how long a peer that does not answer is greeted.
	forgetAfter = time.Minute
	// entryPrefix is above the rows of all entries.
	entryPrefix = "entry/"
)

// peers are the other entries.
type peers struct {
	node *Node

	mu  sync.Mutex
	all map[instance.ID]*peer
}

// peer is another entry.
type peer struct {
	id      instance.ID
	process string
	client  *news.Client
	// answered is when it was last heard, and since when it is known.
	answered, since time.Time
	leaving         bool
	// latest is the newest news that it has not been sent; kick says that
	// there are some.
	latest holder.News
	kick   chan struct{}
	cancel context.CancelFunc
}

// entryRow is an entry's row in the store.
type entryRow struct {
	Address string `json:"address"`
	Process string `json:"process"`
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

		if scanned.IsZero() || time.Since(scanned) > scanEvery {
			err := p.scan(ctx)
			if err == nil && written {
				scanned = time.Now()
			}

			link.note(p.node, "entries", err)
		}

		p.greetAll(ctx)

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
			c := &news.Client{Caller: frame.Caller{Address: address}}
			defer c.Close()

			g, err := c.Greet(ctx, p.greeting(false))
			if err != nil {
				p.node.cfg.Log.Info().Err(err).Stringer("seed", address).Msg("seed not reached")

				return
			}

			p.node.Greet(g)
		}()
	}
}

// write puts this entry's row into the store, whatever stands there.
func (p *peers) write(ctx context.Context) error {
	value, err := json.Marshal(entryRow{Address: p.node.cfg.Peers.String(), Process: p.node.process})
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

	for _, r := range rows {
		var row entryRow
		if err := json.Unmarshal(r.Value, &row); err != nil {
			p.node.cfg.Log.Warn().Err(err).Str("row", r.Key).Msg("entry's row cannot be read")

			continue
		}

		p.meet(ctx, r.Key[len(entryPrefix):], row.Address, row.Process)
	}

	return nil
}

// meet takes in an entry that was heard of.
func (p *peers) meet(ctx context.Context, name, address, process string) {
	id := instance.ID(name)

	at, err := netip.ParseAddrPort(address)
	if err != nil || id == p.node.cfg.Self {
		return
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	if p.all == nil {
		p.all = make(map[instance.ID]*peer)
	}

	old := p.all[id]
	if old != nil && old.process == process {
		return
	}

	if old != nil {
		old.cancel()
		old.client.Close()
	}

	ctx, cancel := context.WithCancel(ctx)
	q := &peer{
		id: id, process: process, since: time.Now(), kick: make(chan struct{}, 1), cancel: cancel,
		client: &news.Client{Caller: frame.Caller{Address: at}},
	}
	p.all[id] = q

	go p.tell(ctx, q)
	go p.greet(ctx, q)
}

// tell sends the newest news to the peer, one after the other. Older ones that
// a slow peer did not take are left out.
func (p *peers) tell(ctx context.Context, q *peer) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.kick:
		}

		p.mu.Lock()
		latest := q.latest
		p.mu.Unlock()

		// News that get lost are followed by others before they are missed.
		_ = q.client.Hear(ctx, latest)
	}
}

func (p *peers) greetAll(ctx context.Context) {
	for _, q := range p.list() {
		if time.Since(q.since) > forgetAfter && time.Since(p.heard(q)) > forgetAfter {
			p.forget(q)

			continue
		}

		go p.greet(ctx, q)
	}
}

func (p *peers) greet(ctx context.Context, q *peer) {
	g, err := q.client.Greet(ctx, p.greeting(false))
	if err != nil {
		return
	}

	p.mu.Lock()
	q.answered = time.Now()
	p.mu.Unlock()
	p.node.Greet(g)
}

func (p *peers) heard(q *peer) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()

	return q.answered
}

func (p *peers) forget(q *peer) {
	p.mu.Lock()
	defer p.mu.Unlock()

	q.cancel()
	q.client.Close()
	delete(p.all, q.id)
}

func (p *peers) list() []*peer {
	p.mu.Lock()
	defer p.mu.Unlock()

	out := make([]*peer, 0, len(p.all))
	for _, q := range p.all {
		out = append(out, q)
	}

	return out
}

func (p *peers) greeting(leaving bool) news.Greeting {
	cfg := &p.node.cfg
	g := news.Greeting{Name: string(cfg.Self), Address: cfg.Peers.String(), Process: p.node.process, Leaving: leaving}

	for _, q := range p.list() {
		if time.Since(p.heard(q)) < deadAfter {
			g.Known = append(g.Known, [3]string{string(q.id), q.client.Address.String(), q.process})
		}
	}

	return g
}

// alive returns the peers that were heard lately and are not leaving.
func (p *peers) alive() []instance.ID {
	p.mu.Lock()
	defer p.mu.Unlock()

	var out []instance.ID

	for id, q := range p.all {
		if !q.leaving && time.Since(q.answered) < deadAfter {
			out = append(out, id)
		}
	}

	return out
}

// leave tells the peers that this process is about to end.
func (p *peers) leave(ctx context.Context) {
	var wg sync.WaitGroup

	g := p.greeting(true)

	for _, q := range p.list() {
		wg.Go(func() {
			// A peer that does not hear it finds out by itself.
			_, _ = q.client.Greet(ctx, g)
		})
	}

	wg.Wait()
}

func (p *peers) of(id instance.ID) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.all[id]
}
