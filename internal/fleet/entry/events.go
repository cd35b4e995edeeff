package entry

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/room/timeline"
	"github.com/fulmarcross/fulmarcross/internal/serving/claim"
	wire "github.com/fulmarcross/fulmarcross/internal/wire/peer"
)

const (
	// shipEvery is how soon a peer has copies of new events; keepEvery is how
	// soon the object store has them.
	shipEvery = 250 * time.Millisecond
	keepEvery = 10 * time.Second
	// shipLimit and keepLimit bound the events of one copy and of one batch.
	// Under pressure events leave the ring before they are copied, which shows
	// as a gap.
	shipLimit = 500
	keepLimit = 5000
	// eventsPrefix is where batches of events lie in the object store.
	eventsPrefix = "events/"
	// eventsFor is how long they are kept there.
	eventsFor = time.Hour
	// eventObjects bounds how many batches one query reads.
	eventObjects = 64
)

// shipEvents copies new events to a peer and, in larger batches, to the
// object store, so that the last events of a killed process can be read.
func (e *Entry) shipEvents(ctx context.Context) {
	// copied and kept are the numbers of the last events that a peer and the
	// object store have.
	var copied, kept uint64

	keepAt := time.Now().Add(keepEvery)

	every(ctx, shipEvery, func() {
		if events := e.log.After(copied, shipLimit); e.copyToPeer(ctx, events) {
			copied = last(events, copied)
		}

		if time.Now().Before(keepAt) {
			return
		}

		keepAt = time.Now().Add(keepEvery)
		events := e.log.After(kept, keepLimit)
		kept = last(events, kept)
		e.keepBatch(ctx, events)
	})
}

// last returns the highest number of the events, or fallback without events.
func last(events []timeline.Event, fallback uint64) uint64 {
	for _, ev := range events {
		fallback = max(fallback, ev.Number)
	}

	return fallback
}

// copyToPeer sends copies to the next entry in this one's own order, so that
// each entry's copies lie in one place as long as nobody comes or goes. It
// reports whether a peer has them.
func (e *Entry) copyToPeer(ctx context.Context, events []timeline.Event) bool {
	if len(events) == 0 || e.gate.Wait(ctx) != nil {
		return false
	}

	for _, id := range instance.Rank("events/"+string(e.cfg.ID), e.fleet.Entries()) {
		if id == e.cfg.ID {
			continue
		}

		if c, err := e.peer(id); err == nil && c.KeepEvents(ctx, events) == nil {
			return true
		}
	}

	return false
}

func (e *Entry) keepBatch(ctx context.Context, events []timeline.Event) {
	if len(events) == 0 {
		return
	}

	data, err := wire.EncodeEvents(events)
	if err != nil {
		return
	}

	name := fmt.Sprintf("%s%d-%s-%d", eventsPrefix, time.Now().Unix(), e.cfg.ID, events[0].Number)
	if e.platform.Put(ctx, name, data) != nil {
		e.metrics.Counter("eventsShed").Inc(int64(len(events)))
	}
}

// flushEvents sends what is left at a graceful shutdown.
func (e *Entry) flushEvents(ctx context.Context) {
	events := e.log.After(0, ringTail)
	e.copyToPeer(ctx, events)
	e.keepBatch(ctx, events)
}

// ringTail is how many events are sent once more at shutdown. Copies that
// arrive twice are merged.
const ringTail = 1 << 14

// Story is a part of the time line.
type Story struct {
	Events []timeline.Event
	// Gaps are known only for unfiltered stories.
	Gaps []timeline.Gap
	// Unreached are peers that did not answer.
	Unreached []instance.ID
}

// Timeline merges the selected events of all entries and of the object store.
// A request's story includes what happened to its model meanwhile.
func (e *Entry) Timeline(ctx context.Context, f timeline.Filter) Story {
	s := e.collect(ctx, f)
	if f.Request == "" || len(s.Events) == 0 {
		return s
	}

	first, last := s.Events[0], s.Events[len(s.Events)-1]
	if first.Model == "" {
		return s
	}

	loads := e.collect(ctx, timeline.Filter{Model: first.Model, Since: first.At})
	loads.Events = slices.DeleteFunc(loads.Events, func(ev timeline.Event) bool {
		return ev.Request != "" || ev.At > last.At
	})
	s.Events = timeline.Merge(s.Events, loads.Events)

	return s
}

// collect merges the selected events.
func (e *Entry) collect(ctx context.Context, f timeline.Filter) Story {
	var (
		mu    sync.Mutex
		wg    sync.WaitGroup
		parts = [][]timeline.Event{e.log.Query(f)}
		story Story
	)

	for _, in := range e.fleet.Listed(instance.Entry) {
		if in.ID == e.cfg.ID {
			continue
		}

		wg.Go(func() {
			events, err := e.peers.to(in).Events(ctx, f)

			mu.Lock()
			defer mu.Unlock()

			if err != nil {
				story.Unreached = append(story.Unreached, in.ID)

				return
			}

			parts = append(parts, events)
		})
	}

	stored := e.storedEvents(ctx, f)

	wg.Wait()

	story.Events = timeline.Merge(append(parts, stored)...)
	if f.Request == "" && f.Model == "" {
		story.Gaps = timeline.Gaps(story.Events)
	}

	slices.Sort(story.Unreached)

	return story
}

// storedEvents reads the newest batches of the object store.
func (e *Entry) storedEvents(ctx context.Context, f timeline.Filter) []timeline.Event {
	names, err := e.platform.List(ctx, eventsPrefix)
	if err != nil {
		return nil
	}

	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(batchTime(b), batchTime(a)) })

	var out []timeline.Event

	for _, name := range names[:min(eventObjects, len(names))] {
		data, err := e.platform.Get(ctx, name)
		if err != nil {
			continue
		}

		events, err := wire.DecodeEvents(data)
		if err != nil {
			continue
		}

		for _, ev := range events {
			if f.Match(&ev) {
				out = append(out, ev)
			}
		}
	}

	return out
}

// batchTime returns when a batch was stored, in seconds since 1970.
func batchTime(name string) int64 {
	text, _, _ := strings.Cut(strings.TrimPrefix(name, eventsPrefix), "-")
	seconds, _ := strconv.ParseInt(text, 10, 64)

	return seconds
}

// Clean-up runs at a small, steady rate on the holder of the first cell.
const (
	sweepEvery = time.Second
	sweepRows  = 100
	// eventSweeps is how many sweeps of claims go by between two sweeps of
	// stored events.
	eventSweeps = 60
)

// sweepClaims removes old claims and old events.
func (e *Entry) sweepClaims(ctx context.Context) {
	book := claim.Registry{Table: e.platform, Objects: e.platform}
	after, sweeps := "", 0

	every(ctx, sweepEvery, func() {
		if _, ok := e.cells[0].Lease(); !ok || e.gate.Wait(ctx) != nil {
			return
		}

		if next, err := book.Sweep(ctx, after, sweepRows, time.Now()); err == nil {
			after = next
		}

		if sweeps++; sweeps%eventSweeps == 0 {
			e.sweepEvents(ctx)
		}
	})
}

func (e *Entry) sweepEvents(ctx context.Context) {
	names, err := e.platform.List(ctx, eventsPrefix)
	if err != nil {
		return
	}

	oldest := time.Now().Add(-eventsFor).Unix()
	for _, name := range names {
		if batchTime(name) < oldest {
			_ = e.platform.Delete(ctx, name)
		}
	}
}
