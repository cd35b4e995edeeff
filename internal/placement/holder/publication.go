package holder

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
)

// minWaitingEntries is the smallest published number of waiting entries of an
// engine that is not down. Changes below it are not published.
const minWaitingEntries = 8

// roundWaitingEntries rounds n up to a power of two, at least
// minWaitingEntries.
func roundWaitingEntries(n int) int {
	rounded := minWaitingEntries
	for rounded < n {
		rounded *= 2
	}

	return rounded
}

// ModelOf returns the key of an adapter's model, and any other key unchanged.
func ModelOf(key string) string {
	service, rest, found := strings.Cut(key, "/")
	if !found {
		return key + "/"
	}

	model, _, _ := strings.Cut(rest, "/")

	// A part of the key needs no memory, and this is called for each use of each report.
	return key[:len(service)+1+len(model)]
}

// buildSnapshot returns the state to publish to the entries. The caller holds
// the lock.
func (h *Holder) buildSnapshot() Snapshot {
	h.number++

	snapshot := Snapshot{
		Holder: h.cfg.Self, Process: h.cfg.Process, Token: h.lease.Token, Number: h.number, LeaseVersion: h.lease.Version,
	}

	usage, speeds := h.usage(), h.speedsByService(clock.Now())
	waiting := h.demand.WaitingEntries(time.Now(), ModelOf)

	for id, eng := range h.engines {
		state := EngineState{Target: id, Born: eng.target.StartedMs, Sequence: eng.sequence, Running: usage.running[id], Tokens: usage.tokens[id], Speed: eng.publishedSpeed(speeds)}

		if eng.down {
			// Without an empty state entries would use the target list, which
			// still has the models.
			snapshot.Engines = append(snapshot.Engines, state)

			continue
		}

		if !eng.synced && len(eng.models) == 0 {
			// The models are unknown yet, so entries use the target list.
			continue
		}

		for model, resident := range eng.models {
			held := ResidentModel{Model: model, Ready: resident.ready}
			for name, a := range resident.adapters {
				if a.unloading {
					continue
				}

				held.Adapters = append(held.Adapters, ResidentAdapter{Name: name, Ready: a.ready})
			}

			slices.SortFunc(held.Adapters, func(a, b ResidentAdapter) int { return cmp.Compare(a.Name, b.Name) })
			state.Resident = append(state.Resident, held)
			state.WaitingEntries = max(state.WaitingEntries, waiting[eng.target.Service+"/"+model])
		}

		state.WaitingEntries = roundWaitingEntries(state.WaitingEntries)

		slices.SortFunc(state.Resident, func(a, b ResidentModel) int { return cmp.Compare(a.Model, b.Model) })
		snapshot.Engines = append(snapshot.Engines, state)
	}

	snapshot.Predictions, snapshot.Backlogs = h.predictions, h.backlogs

	return snapshot
}
