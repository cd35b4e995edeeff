package holder

import (
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
	// changed and counted are the steps at which a station, or its counts alone,
	// changed last, and gone those at which targets went.
	changed, counted, gone map[instance.ID]uint64
	// editions are the last news, with their steps, the newest last.
	editions []editionStep
	// deltas are those to the newest news that were asked for, by the step of
	// their base.
	deltas map[uint64]Delta
}

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

func (h *History) take(latest News, now time.Time, runningStep int) {
	h.step++

	if h.changed == nil {
		h.changed, h.counted, h.gone = make(map[instance.ID]uint64), make(map[instance.ID]uint64), make(map[instance.ID]uint64)
	}

	stations := make([]Station, 0, len(latest.Stations))
	at := make(map[instance.ID]int, len(latest.Stations))

	for _, s := range latest.Stations {
		at[s.Target] = len(stations)
		stations = append(stations, h.note(s, now, runningStep))
	}

	for id := range h.at {
		if _, stays := at[id]; !stays {
			h.gone[id] = h.step
			delete(h.changed, id)
			delete(h.counted, id)
		}
	}

	h.news, h.at, h.deltas = latest, at, nil
	h.news.Stations = stations
	h.keep(latest.Edition())
}

// note returns a station as it is told from now on.
func (h *History) note(s Station, now time.Time, runningStep int) Station {
	i, known := h.at[s.Target]
	if !known {
		h.changed[s.Target] = h.step
		delete(h.gone, s.Target)

		return s
	}

	old := h.news.Stations[i]

	switch {
	case !old.holds(&s, now):
		h.changed[s.Target] = h.step

		return s
	case !old.counts(&s, runningStep):
		h.counted[s.Target] = h.step
		old.Running, old.Lines = s.Running, s.Lines
	}

	return old
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

	for _, s := range h.news.Stations {
		switch {
		case h.changed[s.Target] > e.step:
			d.Stations = append(d.Stations, s)
		case h.counted[s.Target] > e.step:
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
