package node

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/platform/revision"
	"github.com/fulmarcross/fulmarcross/internal/platform/table"
	"github.com/fulmarcross/fulmarcross/internal/serving/origin"
)

const (
	// historiesKey is the key of the row with the histories of all services, and
	// historiesEraKey that of the row with the era of the store in which they lack nothing.
	historiesKey    = "software"
	historiesEraKey = "software/era"
	// historiesInterval is the time between two comparisons of the list with the histories, and
	// historiesMaxAge the age from which an entry reads them anew while a service has several
	// versions of the software.
	historiesInterval = time.Second
	historiesMaxAge   = 30 * time.Second
	// recordDelay is the longest time that entries leave it to the lease holder to record new
	// software. Each waits for a random part.
	recordDelay = 500 * time.Millisecond
	// unrecordedHold is how long targets of software that is not recorded are sent no
	// requests. It is longer than a record takes, and a new target's first load takes longer
	// than that. While the store cannot record it, its targets are used all the same.
	unrecordedHold = time.Second
)

// histories are the histories of all services, as they were last read.
type histories struct {
	mu        sync.Mutex
	byService map[string]origin.History
	// version is the version of their row, and readAt when it was requested; zero means that
	// it has not been read.
	version revision.Number
	readAt  time.Time
	// mayBeLost says that the store has come back from a copy since the row was last read, and
	// vouches that this process has restored what a copy lacked.
	mayBeLost, vouches bool
	// incomplete says that the store has come back from a copy that may lack software, and that
	// nobody who knows it from before has written it again.
	incomplete bool
	// firstSeen is when this entry first saw software that is not recorded.
	firstSeen map[serviceSoftware]time.Time
	// next is the read that the next caller joins. reading says that one is in progress.
	next    *historiesRead
	reading bool
}

type serviceSoftware struct {
	service  string
	software instance.Software
}

// historiesRead is a read of the histories that several callers share.
type historiesRead struct {
	done      chan struct{}
	byService map[string]origin.History
	// version is that of the row that was read. lacking says that byService has more than the
	// row, since the store has lost it.
	version revision.Number
	lacking bool
	// era is that in which the histories lacked nothing, as the store says, if eraStored is set.
	// incomplete is as in histories.
	era        uint64
	eraStored  bool
	incomplete bool
	err        error
}

// historyRow is the history of one service in the store.
type historyRow struct {
	Software string `json:"software"`
	// GoneMs is when the last target of the software left, in milliseconds since 1970.
	GoneMs int64 `json:"goneMs,omitempty"`
}

func encodeHistories(all map[string]origin.History) ([]byte, error) {
	out := make(map[string][]historyRow, len(all))

	for service, h := range all {
		for _, s := range h.Spans {
			row := historyRow{Software: string(s.Software)}
			if !s.GoneAt.IsZero() {
				row.GoneMs = s.GoneAt.UnixMilli()
			}

			out[service] = append(out[service], row)
		}
	}

	return json.Marshal(out)
}

func decodeHistories(data []byte) (map[string]origin.History, error) {
	var rows map[string][]historyRow
	if len(data) > 0 {
		if err := json.Unmarshal(data, &rows); err != nil {
			return nil, err
		}
	}

	out := make(map[string]origin.History, len(rows))

	for service, spans := range rows {
		var h origin.History

		for _, row := range spans {
			s := origin.Span{Software: instance.Software(row.Software)}
			if row.GoneMs != 0 {
				s.GoneAt = time.UnixMilli(row.GoneMs)
			}

			h.Spans = append(h.Spans, s)
		}

		out[service] = h
	}

	return out, nil
}

// alone returns the software that alone can have begun a stream of the service, as far as
// this entry knows. Its targets have the software listed.
func (h *histories) alone(service string, listed []instance.Software) origin.Origin {
	h.mu.Lock()
	defer h.mu.Unlock()

	if h.incomplete {
		return origin.Unknown()
	}

	return h.byService[service].OnlyOf(listed)
}

func (h *histories) several(service string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.incomplete || h.byService[service].Several()
}

// heldUntil returns until when targets of the software get no requests because it is not
// recorded. It returns false if they get some now.
func (h *histories) heldUntil(key serviceSoftware, now time.Time) (time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()

	// While nothing is recorded for the service, nothing can be taken for the only software.
	history := h.byService[key.service]
	if len(history.Spans) == 0 || history.Lists(key.software) {
		delete(h.firstSeen, key)

		return time.Time{}, false
	}

	first, seen := h.firstSeen[key]
	if !seen {
		if h.firstSeen == nil {
			h.firstSeen = make(map[serviceSoftware]time.Time)
		}

		first = now
		h.firstSeen[key] = first
	}

	until := first.Add(unrecordedHold)

	return until, now.Before(until)
}

// readHistories reads the histories as of a time after the call. Calls at the same time
// share a read.
func (o *origins) readHistories(ctx context.Context) (*historiesRead, error) {
	h := &o.histories
	h.mu.Lock()

	if h.next == nil {
		h.next = &historiesRead{done: make(chan struct{})}
	}

	r := h.next

	if !h.reading {
		h.reading = true

		go o.readAll()
	}

	h.mu.Unlock()

	select {
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	case <-r.done:
		return r, r.err
	}
}

// readAll carries out the reads that are waited for, one after the other.
func (o *origins) readAll() {
	h := &o.histories

	for {
		h.mu.Lock()
		r := h.next
		h.next, h.reading = nil, r != nil
		h.mu.Unlock()

		if r == nil {
			return
		}

		ctx, cancel := context.WithTimeout(o.node.workCtx, findTimeout)
		r.err = o.readOnce(ctx, r)

		cancel()
		close(r.done)
	}
}

// readOnce reads the histories from the store into r.
func (o *origins) readOnce(ctx context.Context, r *historiesRead) error {
	began := time.Now()

	rows, err := o.node.cfg.Table.Read(ctx, historiesKey, historiesEraKey)
	if err != nil {
		return err
	}

	r.version = rows[0].Version

	if r.byService, err = decodeHistories(rows[0].Value); err != nil {
		return err
	}

	r.era, r.eraStored = decodeEra(rows[1].Value), rows[1].Version != 0
	r.lacking = o.histories.restore(r.byService)
	r.incomplete = r.version != 0 && r.era < table.Era(o.node.cfg.Table) && !o.vouches()
	o.applyHistories(r, began)

	return nil
}

// decodeEra returns the era in a row; zero if there is none.
func decodeEra(data []byte) uint64 {
	era, err := strconv.ParseUint(string(data), 10, 64)
	if err != nil {
		return 0
	}

	return era
}

// vouches reports whether this process knows all software that may have begun streams, whatever a
// copy of the store lacks: it knew that before the store came back, or has run for longer than any
// stream can be resumed.
func (o *origins) vouches() bool {
	o.histories.mu.Lock()
	defer o.histories.mu.Unlock()

	return o.histories.vouches || time.Since(o.node.started) > origin.MaxStreamAge
}

// restore adds to histories that were read what this entry knows and a copy of the store does not
// have. It reports whether there was anything.
func (h *histories) restore(read map[string]origin.History) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	if !h.mayBeLost {
		return false
	}

	h.mayBeLost = false
	h.vouches = !h.readAt.IsZero() && !h.incomplete
	lacking := false

	for service, known := range h.byService {
		merged, changed := read[service].Merge(known)
		read[service] = merged
		lacking = lacking || changed
	}

	return lacking
}

// applyHistories replaces the histories by those that were read at a time, or written.
func (o *origins) applyHistories(r *historiesRead, at time.Time) {
	h := &o.histories
	h.mu.Lock()

	changed := r.version != h.version || h.readAt.IsZero()
	if r.version >= h.version {
		h.byService, h.version, h.readAt, h.incomplete = r.byService, r.version, at, r.incomplete
	}

	h.mu.Unlock()

	if changed {
		signal(o.node.routingChanged)
		signal(o.shareSoon)
		signal(o.storeSoon)
	}
}

// maintainHistories keeps the histories in the store up to date with the list of targets.
func (o *origins) maintainHistories(ctx context.Context) {
	for ctx.Err() == nil {
		if listed := o.listed(); len(listed) > 0 && o.outdated(listed) {
			o.updateHistories(ctx, listed)
		}

		select {
		case <-ctx.Done():
		case <-o.listChanged:
			_ = clock.Sleep(ctx, shareSpacing) // Changes of the list come in bursts.
		case <-time.After(historiesInterval):
		}
	}
}

// outdated reports whether the histories lack software on the list, whether this lease holder
// has to record that software is gone, or whether the entry should read them anew.
func (o *origins) outdated(listed map[string][]instance.Software) bool {
	// The holder's lock is held while the list is read, and the list's while the histories are.
	holding := o.node.holder.Holding()

	h := &o.histories
	h.mu.Lock()
	defer h.mu.Unlock()

	several := h.incomplete
	for _, history := range h.byService {
		several = several || history.Several()
	}

	if h.mayBeLost || h.readAt.IsZero() || several && time.Since(h.readAt) > historiesMaxAge {
		return true
	}

	_, changed := updated(h.byService, listed, holding, time.Now())

	return changed
}

// updated returns the histories for the software on the list. Only the lease holder drops
// software that is gone.
func updated(all map[string]origin.History, listed map[string][]instance.Software, holding bool, now time.Time) (map[string]origin.History, bool) {
	out := maps.Clone(all)
	if out == nil {
		out = make(map[string]origin.History)
	}

	changed := false

	for service, software := range listed {
		h, c := out[service].Update(software, holding, now)
		out[service] = h
		changed = changed || c
	}

	return out, changed
}

// updateHistories reads the histories and, if they lack something, writes them. Entries other
// than the lease holder leave it a while to do so.
func (o *origins) updateHistories(ctx context.Context, listed map[string][]instance.Software) {
	o.histories.mu.Lock()
	first := o.histories.readAt.IsZero()
	o.histories.mu.Unlock()

	holding := o.node.holder.Holding()
	if !holding && !first {
		_ = clock.Sleep(ctx, time.Duration(rand.Int64N(int64(recordDelay)))) //nolint:gosec // No secret.
	}

	ctx, cancel := context.WithTimeout(ctx, recordDelay)
	defer cancel()

	read, err := o.readHistories(ctx)
	if err != nil || first && !holding {
		return
	}

	next, changed := updated(read.byService, listed, holding, time.Now())
	era := table.Era(o.node.cfg.Table)
	confirms := !read.incomplete && (!read.eraStored || read.era < era)

	if !changed && !read.lacking && !confirms {
		return
	}

	data, err := encodeHistories(next)
	if err != nil {
		o.node.cfg.Log.Warn().Err(err).Msg("cannot encode histories of software")

		return
	}

	tx := table.Transaction{
		Conditions: []table.Condition{{Key: historiesKey, Version: read.version}},
		Writes:     []table.Write{{Key: historiesKey, Value: data}},
	}
	if confirms {
		tx.Writes = append(tx.Writes, table.Write{Key: historiesEraKey, Value: strconv.AppendUint(nil, era, 10)}) //nolint:mnd // Decimal.
	}

	version, err := o.node.cfg.Table.Commit(ctx, tx)
	if err != nil {
		// Another entry was first, or the next comparison tries again.
		o.node.cfg.Log.Info().Err(err).Msg("software not recorded")

		return
	}

	o.node.cfg.Log.Info().RawJSON("software", data).Bool("incomplete", read.incomplete).Msg("software recorded")
	o.applyHistories(&historiesRead{byService: next, version: version, incomplete: read.incomplete}, time.Now())
}
