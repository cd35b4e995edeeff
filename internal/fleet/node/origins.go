package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/inventory"
	"github.com/fulmarcross/fulmarcross/internal/serving/origin"
	"github.com/fulmarcross/fulmarcross/internal/wire/news"
)

const (
	// findTimeout bounds how long a client waits until it is known which software began its
	// stream. It leaves time to retransmit a lost packet.
	findTimeout = 250 * time.Millisecond
	// askDelay is how long the store alone is asked. An entry that cannot reach it asks others.
	askDelay = 25 * time.Millisecond
	// recordOwners is the number of entries that are told of a stream: the first by rendezvous
	// hash. askedOwners is the number of those that are asked. It is larger, since the entry
	// that began the stream may rank among them and be dead, and entries may have joined.
	recordOwners = 2
	askedOwners  = 4
	// shareSpacing is the time between two rounds of telling others.
	shareSpacing = 5 * time.Millisecond
)

// origins is what this entry knows of the software that began streams. It implements
// relay.Origins.
//
// Where targets of a service have one version of the software, no stream needs a record: the
// history in the store, which names new software before it serves, is the evidence. Where
// there are several, each stream is recorded at other entries and, if it lasts, in the store,
// which alone survives a restart of all entries.
type origins struct {
	node *Node
	// shareSoon requests that other entries be told of streams, storeSoon that streams be
	// written to the store, and listChanged a comparison of the list with the histories.
	shareSoon, storeSoon, listChanged chan struct{}
	histories                         histories

	// agreements are the questions to all entries that are under way, by service.
	agreements singleflight.Group

	mu   sync.Mutex
	book origin.Book
	// unwanted are the streams whose rows in the store are to be removed.
	unwanted []origin.Key
}

// run keeps the histories, and tells others and the store of streams, until ctx ends.
func (o *origins) run(ctx context.Context) {
	var wg sync.WaitGroup

	for _, loop := range []func(context.Context){o.maintainHistories, o.share, o.store, o.sweep} {
		wg.Go(func() { loop(ctx) })
	}

	wg.Wait()
}

// Begin implements relay.Origins.
func (o *origins) Begin(service string, r origin.Record) {
	o.mu.Lock()
	o.book.Begin(service, r, time.Now())
	o.mu.Unlock()

	if o.several(service) {
		signal(o.shareSoon)
		signal(o.storeSoon)
	}
}

// End implements relay.Origins.
func (o *origins) End(k origin.Key) {
	o.mu.Lock()
	defer o.mu.Unlock()

	if o.book.End(k) {
		o.unwanted = append(o.unwanted, k)
		signal(o.storeSoon)
	}
}

// Find implements relay.Origins.
func (o *origins) Find(ctx context.Context, service string, k origin.Key) origin.Finding {
	found := origin.Finding{Source: origin.SourceOwn}

	if s, ok := o.local(k); ok {
		found.Origin = origin.Of(s)
	} else {
		ctx, cancel := context.WithTimeout(ctx, findTimeout)
		defer cancel()

		found = o.search(ctx, service, k)
	}

	o.node.metrics.Tagged(map[string]string{"how": string(found.Source)}).Counter("streams_resumed").Inc(1)

	return found
}

// search asks the store and, unless it says at once that only one software can have begun the
// stream, other entries.
func (o *origins) search(ctx context.Context, service string, k origin.Key) origin.Finding {
	stored := make(chan storedOrigin, 1)
	go func() { stored <- o.readStored(ctx, service, k) }()

	var inStore storedOrigin

	pending := false

	select {
	case inStore = <-stored:
		if _, known := inStore.origin.Known(); known {
			return origin.Finding{Origin: inStore.origin, Source: origin.SourceStore}
		}
	case <-time.After(askDelay):
		pending = true
	}

	answers := o.ask(ctx, service, k)

	var agreed <-chan singleflight.Result
	if pending || inStore.err != nil {
		agreed = o.agree(service)
	}

	for answers != nil || pending {
		select {
		case a, ok := <-answers:
			if !ok {
				answers = nil

				continue
			}

			if _, known := a.Stream.Known(); known {
				return origin.Finding{Origin: a.Stream, Source: origin.SourceEntry}
			}
		case inStore = <-stored:
			pending = false

			if _, known := inStore.origin.Known(); known {
				return origin.Finding{Origin: inStore.origin, Source: origin.SourceStore}
			}
		}
	}

	if inStore.err != nil {
		return origin.Finding{Origin: awaitAgreement(ctx, agreed), Source: origin.SourceAlone}
	}

	return origin.Finding{Origin: origin.Unknown(), Source: origin.SourceNone}
}

// ask asks the entries that may have been told of a stream. The channel is closed when all
// have answered or failed to.
func (o *origins) ask(ctx context.Context, service string, k origin.Key) <-chan news.OriginAnswer {
	out := make(chan news.OriginAnswer, askedOwners)

	var wg sync.WaitGroup

	for _, id := range o.owners(k, askedOwners) {
		wg.Go(func() {
			o.node.callPeer(ctx, id, "origin", func(ctx context.Context, p *peer) error {
				a, err := p.client.FindOrigin(ctx, service, k)
				if err == nil {
					out <- a
				}

				return err
			})
		})
	}

	go func() {
		wg.Wait()
		close(out)
	}()

	return out
}

// owners returns the other entries that rank first for a stream.
func (o *origins) owners(k origin.Key, n int) []instance.ID {
	alive := o.node.peers.alive()
	ids := make([]instance.ID, len(alive))

	for i, m := range alive {
		ids[i] = m.ID
	}

	ranked := instance.Rank(k.String(), ids)

	return ranked[:min(n, len(ranked))]
}

func (o *origins) local(k origin.Key) (instance.Software, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()

	return o.book.Find(k)
}

// several reports whether targets of a service have, or had lately, different software.
func (o *origins) several(service string) bool {
	return o.histories.several(service) || len(o.listed()[service]) > 1
}

// listed returns the software of the targets on the list, by service.
func (o *origins) listed() map[string][]instance.Software {
	o.node.mu.Lock()
	defer o.node.mu.Unlock()

	return o.node.software
}

// softwareOf returns the software of targets, in order, by service.
func softwareOf(targets map[instance.ID]inventory.Target) map[string][]instance.Software {
	out := make(map[string][]instance.Software)

	for _, t := range targets {
		if i, known := slices.BinarySearch(out[t.Service], t.Software); !known {
			out[t.Service] = slices.Insert(out[t.Service], i, t.Software)
		}
	}

	return out
}

// share tells other entries of the streams that this entry forwards, where they need records.
func (o *origins) share(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.shareSoon:
		}

		o.shareOnce(ctx)

		if clock.Sleep(ctx, shareSpacing) != nil {
			return
		}
	}
}

func (o *origins) shareOnce(ctx context.Context) {
	records := make(map[instance.ID][]origin.Record)

	for _, r := range o.takeWhereSeveral((*origin.Book).TakeUnshared) {
		for _, id := range o.owners(r.Key, recordOwners) {
			records[id] = append(records[id], r)
		}
	}

	for id, list := range records {
		go o.node.callPeer(ctx, id, "origins", func(ctx context.Context, p *peer) error {
			return p.client.RecordOrigins(ctx, list)
		})
	}
}

// takeWhereSeveral takes records of the services whose targets have different software.
func (o *origins) takeWhereSeveral(take func(*origin.Book, string) []origin.Record) []origin.Record {
	var out []origin.Record

	for service := range o.listed() {
		if !o.several(service) {
			continue
		}

		o.mu.Lock()
		out = append(out, take(&o.book, service)...)
		o.mu.Unlock()
	}

	return out
}

// RecordOrigins implements news.Handler.
func (n *Node) RecordOrigins(records []origin.Record) {
	n.origins.mu.Lock()
	defer n.origins.mu.Unlock()

	n.origins.book.Tell(records, time.Now())
}

// FindOrigin implements news.Handler.
func (n *Node) FindOrigin(service string, k origin.Key) news.OriginAnswer {
	a := news.OriginAnswer{Stream: origin.Unknown(), Alone: n.origins.histories.alone(service, n.origins.listed()[service])}

	if s, ok := n.origins.local(k); ok {
		a.Stream = origin.Of(s)
	}

	return a
}
