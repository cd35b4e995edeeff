package cell

import (
	"context"
	"errors"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/placement/history"
	"github.com/fulmarcross/fulmarcross/internal/platform/object"
	"github.com/fulmarcross/fulmarcross/internal/wire/record"
)

// past is what the holder knows of its models' uses.
type past struct {
	book history.Book
	// known says that the past was read, or that there is none.
	known bool
	// expected are the models that are worth a look, as of lookedAt.
	expected []string
	lookedAt time.Time
}

const (
	// lookEvery is how often all models are looked at for loads ahead of use.
	lookEvery = 10 * time.Second
	// lookAhead is how far the look goes. It covers the longest loads.
	lookAhead = 2 * time.Minute
	// saveEvery is how often the past is written, as one object.
	saveEvery = 5 * time.Minute
	// slowestLoad bounds from below the rates that are worth a look.
	slowestLoad = 2 * time.Minute
	// smallestShare of an accelerator bounds them as well.
	smallestShare = 0.01
)

func (p *past) used(model string, now time.Time, n int) {
	if n > 0 {
		p.book.Used(model, now)
	}
}

func (p *past) candidates(now time.Time, worth float64) []string {
	if now.Sub(p.lookedAt) >= lookEvery {
		least := smallestShare / (slowestLoad.Seconds() * worth)
		p.expected, p.lookedAt = p.book.Candidates(now, lookAhead, least), now
	}

	return p.expected
}

// keepPast reads the past that former holders have left and then writes it at
// intervals. What is lost with a holder is at most one interval.
func (t *tenure) keepPast() {
	for !t.readPast() {
		if !t.sleep(publishEvery) {
			return
		}
	}

	for t.sleep(saveEvery) {
		t.writePast(t.ctx)
	}

	// A planned end leaves nothing behind.
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()

	t.writePast(ctx)
}

func (t *tenure) readPast() bool {
	data, err := t.cfg.Objects.Get(t.ctx, record.HistoryObject(t.cfg.Cell))

	var missing *object.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return false
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	if err == nil {
		if err := t.past.book.Restore(data); err != nil {
			t.cfg.Logger.Error().Err(err).Int("cell", t.cfg.Cell).Msg("history cannot be read")
		}
	}

	t.past.known = true

	return true
}

func (t *tenure) writePast(ctx context.Context) {
	t.mu.Lock()
	data := t.past.book.Save()
	t.mu.Unlock()

	if err := t.cfg.Objects.Put(ctx, record.HistoryObject(t.cfg.Cell), data); err != nil {
		t.cfg.Logger.Warn().Err(err).Int("cell", t.cfg.Cell).Msg("history not written")
	}
}
