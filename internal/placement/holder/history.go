package holder

import (
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

// editionsKept bounds the news that others may have and still be told only what
// changed since: some seconds of a busy holder.
const editionsKept = 128

// History is the newest news that an entry heard or tells, and when what in them
// changed, so that others are told only what is new to them.
//
// It answers the load of many entries and targets: a holder tells hundreds of
// entries several times a second of changes to a few stations among thousands.
// An entry that takes the lease goes on with what it heard, so that the others
// need not be told the whole again.
//
// The zero value knows none. It is not safe for concurrent use.
type History struct {
	news News
	// at finds stations of the news by their target.
	at map[instance.ID]int
	// step counts the news taken in.
	step uint64
	// steps are when the stations of the news changed, in their order, and gone
	// when targets went.
	steps []stationSteps
	gone  map[instance.ID]uint64
	// editions are the last news, with their steps, the newest last.
	editions []editionStep
	// deltas are those to the newest news that were asked for, by the step of
	// their base.
	deltas map[uint64]Delta
}

// stationSteps are the steps at which a station, or its counts alone, changed
// last.
type stationSteps struct{ changed, counted uint64 }

type editionStep struct {
	Edition

	step uint64
}

// News returns the newest news. Their stations must not be changed.
func (h *History) News() News { return h.news }

// Tell takes in news that this entry tells. Counts that hardly differ stay as
// they were told.
func (h *History) Tell(latest News, now time.Time) { h.take(latest, now, runningStep) }

// Hear takes in news that this entry has heard.
func (h *History) Hear(latest News, now time.Time) { h.take(latest, now, 1) }

func (h *History) take(latest News, now time.Time, apart int) {
	h.step++

	if h.gone == nil {
		h.gone = make(map[instance.ID]uint64)
	}

	if !sameTargets(h.news.Stations, latest.Stations) {
		h.arrange(latest.Stations)
	}

	stations := make([]Station, len(latest.Stations))

	for i := range latest.Stations {
		stations[i] = h.note(i, &latest.Stations[i], now, apart)
	}

	h.news, h.deltas = latest, nil
	h.news.Stations = stations
	h.keep(latest.Edition())
}

// arrange brings what is known of stations into the order of newer news.
func (h *History) arrange(latest []Station) {
	at := make(map[instance.ID]int, len(latest))
	stations := make([]Station, len(latest))
	steps := make([]stationSteps, len(latest))

	for i := range latest {
		id := latest[i].Target
		at[id] = i

		if j, known := h.at[id]; known {
			stations[i], steps[i] = h.news.Stations[j], h.steps[j]
		} else {
			delete(h.gone, id)
		}
	}

	for id := range h.at {
		if _, stays := at[id]; !stays {
			h.gone[id] = h.step
		}
	}

	h.at, h.news.Stations, h.steps = at, stations, steps
}

// sameTargets reports whether stations are of the same targets in the same
// order.
func sameTargets(a, b []Station) bool {
	if len(a) != len(b) {
		return false
	}

	for i := range a {
		if a[i].Target != b[i].Target {
			return false
		}
	}

	return true
}

// note returns the station in some place as it is told from now on. Counts that
// are less than so much apart stay.
func (h *History) note(i int, s *Station, now time.Time, apart int) Station {
	old, steps := h.news.Stations[i], &h.steps[i]

	switch {
	case steps.changed == 0 || !old.holds(s, now):
		steps.changed = h.step

		return *s
	case !old.counts(s, apart):
		steps.counted = h.step
		old.Running, old.Lines = s.Running, s.Lines
	}

	return old
}

// Merge returns the news with a delta taken in, for Hear. It reports false when
// the delta builds on other news than these.
func (h *History) Merge(d Delta) (News, bool) {
	out := d.News
	if d.Base == (Edition{}) {
		return out, true
	}

	if h.news.Edition() != d.Base {
		return h.news, false
	}

	// The order stays, so that hardly anything need be found anew.
	out.Stations = slices.Clone(h.news.Stations)

	for _, s := range d.Stations {
		if i, known := h.at[s.Target]; known {
			out.Stations[i] = s
		} else {
			out.Stations = append(out.Stations, s)
		}
	}

	for _, c := range d.Counts {
		if i, known := h.at[c.Target]; known {
			out.Stations[i].Running, out.Stations[i].Lines = c.Running, c.Lines
		}
	}

	if len(d.Gone) > 0 {
		gone := make(map[instance.ID]bool, len(d.Gone))
		for _, id := range d.Gone {
			gone[id] = true
		}

		out.Stations = slices.DeleteFunc(out.Stations, func(s Station) bool { return gone[s.Target] })
	}

	return out, true
}

// keep notes an edition, and forgets what only older ones need.
func (h *History) keep(e Edition) {
	h.editions = append(h.editions, editionStep{e, h.step})

	if len(h.editions) <= editionsKept {
		return
	}

	h.editions = h.editions[1:]

	for id, step := range h.gone {
		if step <= h.editions[0].step {
			delete(h.gone, id)
		}
	}
}

// Since returns what changed since the news that another entry has.
func (h *History) Since(has Edition) Delta {
	for _, e := range h.editions {
		if e.Edition == has {
			return h.since(e)
		}
	}

	return Delta{News: h.news}
}

// Former returns the last news of the holder before, if they are known: most
// entries have them when a holder's first are told.
func (h *History) Former() Edition {
	own := h.news.Edition()

	for i := len(h.editions) - 1; i >= 0; i-- {
		if e := h.editions[i]; e.Token != own.Token || e.Process != own.Process {
			return e.Edition
		}
	}

	return Edition{}
}

func (h *History) since(e editionStep) Delta {
	if d, made := h.deltas[e.step]; made {
		return d
	}

	d := Delta{News: h.news, Base: e.Edition}
	d.Stations = nil

	for i, steps := range h.steps {
		s := &h.news.Stations[i]

		switch {
		case steps.changed > e.step:
			d.Stations = append(d.Stations, *s)
		case steps.counted > e.step:
			d.Counts = append(d.Counts, Count{Target: s.Target, Running: s.Running, Lines: s.Lines})
		}
	}

	for id, step := range h.gone {
		if step > e.step {
			d.Gone = append(d.Gone, id)
		}
	}

	if h.deltas == nil {
		h.deltas = make(map[uint64]Delta)
	}

	h.deltas[e.step] = d

	return d
}
