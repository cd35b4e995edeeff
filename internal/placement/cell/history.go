package cell

import (
	"context"
	"errors"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/placement/history"
	"github.com/fulmarcross/fulmarcross/internal/platform/object"
	"github.com/fulmarcross/fulmarcross/internal/wire/record"
)

// modelHistory is the history of the uses of the cell's models.
type modelHistory struct {
	uses history.Registry
	// restored says that the stored history was read, that there is none, or that
	// it could not be decoded. Only then do decisions use the history.
	restored bool
	// candidateModels are the models that may be worth loading ahead of use, as
	// of candidatesAt.
	candidateModels []string
	candidatesAt    time.Time
}

const (
	// candidatesEvery is the interval at which all models are searched for
	// candidates.
	candidatesEvery = 10 * time.Second
	// candidateHorizon is how far ahead uses are predicted in the search for
	// candidates. It covers the longest loads.
	candidateHorizon = 2 * time.Minute
	// historyWriteEvery is the interval at which the history is written to the
	// object store, as one object.
	historyWriteEvery = 5 * time.Minute
	// longestLoad and smallestAcceleratorShare, together with the policy's
	// WaitCost, determine the lowest rate of use that makes a model a candidate.
	// At any lower rate, even a model that takes longestLoad to load and occupies
	// only smallestAcceleratorShare of an accelerator is not worth loading ahead.
	longestLoad = 2 * time.Minute
	// smallestAcceleratorShare is a fraction of one accelerator.
	smallestAcceleratorShare = 0.01
)

// addUse records one use of the model at now if n, the number of the model's
// requests, is not zero.
func (h *modelHistory) addUse(model string, now time.Time, n int) {
	if n > 0 {
		h.uses.RecordUse(model, now)
	}
}

// candidates returns the models that may be worth loading ahead of use. WaitCost
// is that of replica.Weights.
func (h *modelHistory) candidates(now time.Time, waitCost float64) []string {
	if now.Sub(h.candidatesAt) >= candidatesEvery {
		least := smallestAcceleratorShare / (longestLoad.Seconds() * waitCost)
		h.candidateModels, h.candidatesAt = h.uses.Candidates(now, candidateHorizon, least), now
	}

	return h.candidateModels
}

// maintainHistory reads the history that former holders have written, and then
// writes it at intervals. A holder that crashes loses the uses since its last
// successful write.
func (t *leaseTerm) maintainHistory() {
	for !t.readHistory() {
		if !t.sleep(publishEvery) {
			return
		}
	}

	for t.sleep(historyWriteEvery) {
		t.writeHistory(t.ctx)
	}

	// Write once more when the term ends, so that only a crash or a failed write
	// loses uses.
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()

	t.writeHistory(ctx)
}

func (t *leaseTerm) readHistory() bool {
	data, err := t.cfg.Objects.Get(t.ctx, record.HistoryObject(t.cfg.Cell))

	var missing *object.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return false
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	if err == nil {
		if err := t.history.uses.Restore(data); err != nil {
			t.cfg.Logger.Error().Err(err).Int("cell", t.cfg.Cell).Msg("cannot decode model history")
		}
	}

	t.history.restored = true

	return true
}

func (t *leaseTerm) writeHistory(ctx context.Context) {
	t.mu.Lock()
	data := t.history.uses.Save()
	t.mu.Unlock()

	if err := t.cfg.Objects.Put(ctx, record.HistoryObject(t.cfg.Cell), data); err != nil {
		t.cfg.Logger.Warn().Err(err).Int("cell", t.cfg.Cell).Msg("cannot write model history")
	}
}
