package holder

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/inventory"
	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
	"github.com/fulmarcross/fulmarcross/internal/placement/swap"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
)

// station is what the holder knows of one engine.
//
// Every order names the sequence that the engine must have, and what the
// station holds is what the engine held at that sequence. So an order that is
// decided on wrong knowledge, or that is carried out seconds late, is refused
// by the engine, and memory is never overcommitted.
type station struct {
	// origin is the target as it was when the station was made, to which
	// orders are addressed. It does not change.
	origin inventory.Target
	// target is the newest row of the list.
	target inventory.Target
	// process is when the process started that sequence and held are of; zero
	// means the target's on the list.
	process int64
	// known says that sequence and held are the engine's.
	known    bool
	sequence uint64
	held     map[string]*residence
	// atHand are the models whose weights are not in the weight store only.
	atHand  map[string]target.Tier
	weights weights
	// working says that a goroutine sends orders or asks for a report.
	working bool
	// reported is when an engine first reported reportedSequence, its newest.
	reported         time.Time
	reportedSequence uint64
	// down says that neither an entry nor this holder reaches the engine, and
	// suspected is when an entry last did not.
	down      bool
	suspected time.Time
	// doubted is when an entry last found something missing.
	doubted time.Time
	// busySince is since when the engine says that it has an order in hand of
	// which this holder does not know the end; zero means that it does not.
	busySince time.Time
	// loading is until when the last model load is expected to last.
	loading time.Time
	// ordering is a model whose load was decided and not accepted, as far as is
	// known, and takes for how long it lasts then.
	ordering string
	takes    time.Duration
	// storeLoad is the model of a load from the weight store that was decided and
	// has not ended yet, as far as is known, or empty. It is set before the load's
	// orders are sent: rounds follow each other faster than engines accept, and
	// each would begin as many loads as the store feeds at full speed.
	storeLoad string
	// loadBegan is when that load's order was accepted.
	loadBegan time.Time
}

// residence is a model on an engine.
type residence struct {
	ready    time.Time
	used     time.Time
	adapters map[string]*placed
}

// placed is an adapter on an engine.
type placed struct {
	ready time.Time
	used  time.Time
}

// sync takes in what the list of targets says. The caller holds the lock.
func (h *Holder) sync(now time.Time) {
	targets := h.cfg.Targets()

	h.drop(targets, now)

	routes := h.cfg.Routes()

	for id, t := range targets {
		if routes == nil || routes.Services[t.Service].Engine == nil {
			continue
		}

		s := h.stations[id]
		if s == nil || s.target.Born != t.Born && s.process != t.Born || s.target.Address != t.Address {
			s = &station{origin: t, target: t, held: make(map[string]*residence)}
			s.takeAtHand(t, now)
			h.stations[id] = s
			h.published = false
			// A new process has lost the load that the former one had in hand.
			h.feed(t.Service).drop(id, now)
		}

		if s.target.Version != t.Version {
			if t.Leaving && !s.target.Leaving {
				h.noteLeft(t.Service, now)
			}

			s.target = t
			h.feed(t.Service).see(t, now)
			s.takeAtHand(t, now)
			s.compare(t, now)
		}

		s.postpone(now)
	}
}

// drop forgets the targets that the list no longer has.
func (h *Holder) drop(targets map[instance.ID]inventory.Target, now time.Time) {
	for id, s := range h.stations {
		if _, listed := targets[id]; listed {
			continue
		}

		if !s.target.Leaving {
			h.noteLeft(s.target.Service, now)
		}

		h.feed(s.target.Service).drop(id, now)
		delete(h.stations, id)
		h.published = false
	}

	for _, f := range h.feeds {
		f.overdue(now)
	}
}

// feed returns what is known of the weight store's loads for a service.
func (h *Holder) feed(service string) *feed {
	if h.feeds == nil {
		h.feeds = make(map[string]*feed)
	}

	if h.feeds[service] == nil {
		h.feeds[service] = &feed{}
	}

	return h.feeds[service]
}

// noteLeft records that a target of the service leaves, or has gone.
func (h *Holder) noteLeft(service string, now time.Time) {
	if h.turnovers == nil {
		h.turnovers = make(map[string]*turnover)
	}

	if h.turnovers[service] == nil {
		h.turnovers[service] = &turnover{}
	}

	h.turnovers[service].note(now)
}

// risk returns how likely a target of the service is gone before a copy of
// what it holds is had elsewhere.
func (h *Holder) risk(service string, v *swap.Snapshot) float64 {
	t := h.turnovers[service]
	if t == nil {
		return crashRisk
	}

	serving := 0

	for i := range v.Targets {
		if v.Targets[i].Serving {
			serving++
		}
	}

	return t.risk(serving, copyLoads*slowestLoad(v.Engine), v.Now)
}

// copyLoads is how many loads from the weight store it takes until a copy of
// a model is had elsewhere, since others are before it.
const copyLoads = 3

func slowestLoad(e *route.Engine) time.Duration {
	slowest := time.Duration(0)
	for _, m := range e.Models {
		slowest = max(slowest, m.FromStore)
	}

	return slowest
}

// takeAtHand learns from where the engine would load models.
func (s *station) takeAtHand(t inventory.Target, now time.Time) {
	s.weights.list(t, now)
	s.atHand = s.weights.tiers()
}

// rowLag is how long after a load is expected to end the list must show it.
const rowLag = 1500 * time.Millisecond

// compare doubts the station when a new row of the list shows other models
// than are expected to be loaded by now.
func (s *station) compare(t inventory.Target, now time.Time) {
	if !s.known || s.working || now.Before(s.loading.Add(rowLag)) {
		return
	}

	listed := make([]string, 0, len(t.Held))
	for _, held := range t.Held {
		listed = append(listed, held.Model)
	}

	if len(listed) != len(s.held) || slices.ContainsFunc(listed, func(m string) bool { return s.held[m] == nil }) {
		s.known = false
	}
}

// take replaces what is known by the engine's own report.
func (s *station) take(r Report, now time.Time) {
	held := make(map[string]*residence, len(r.Held))

	for _, m := range r.Held {
		old := s.held[m.Model]
		if old == nil {
			old = &residence{}
		}

		res := &residence{used: old.used, adapters: make(map[string]*placed, len(m.Adapters))}

		for _, name := range m.Adapters {
			res.adapters[name] = &placed{used: usedOf(old.adapters[name])}
		}

		held[m.Model] = res
	}

	for _, text := range r.Pending {
		model, adapter, _ := strings.Cut(text, "/")
		adapter, _, _ = strings.Cut(adapter, "@")

		if res := held[model]; res != nil {
			res.adapters[adapter] = &placed{ready: now.Add(adapterTime)}
		}
	}

	s.held, s.sequence, s.known, s.ordering = held, r.Sequence, !r.Busy, ""

	switch {
	case !r.Busy:
		s.busySince = time.Time{}
	case s.busySince.IsZero():
		s.busySince = now
	}
}

// restarted takes in that a report is of another process than what is known,
// which holds and counts nothing of before. It reports whether it is.
//
// It guards against an engine that starts again under its id: its reports count
// from zero and look older than the last order, so that entries would send to
// what it held until the list shows the new process.
func (s *station) restarted(r Report) bool {
	known := s.process
	if known == 0 {
		known = s.target.Born
	}

	if r.Born == 0 || known == 0 || r.Born == known {
		return false
	}

	s.process, s.sequence = r.Born, 0
	s.reported, s.loading, s.busySince = time.Time{}, time.Time{}, time.Time{}
	s.held, s.ordering = make(map[string]*residence), ""
	s.known = false
	s.weights.memory = nil
	s.atHand = s.weights.tiers()

	return true
}

func usedOf(p *placed) time.Time {
	if p == nil {
		return time.Time{}
	}

	return p.used
}

// adopt starts a tenure with what the former holder last said. Orders name
// the sequence, so what is wrong of it is refused by the engines.
func (h *Holder) adopt() {
	h.stations = make(map[instance.ID]*station)
	now := clock.Now()

	for _, f := range h.feeds {
		f.loads = nil
	}

	h.sync(now)

	for _, n := range h.last.Stations {
		s := h.stations[n.Target]
		if s == nil || s.target.Born != n.Born {
			continue
		}

		for _, held := range n.Held {
			res := &residence{ready: held.Ready, adapters: make(map[string]*placed, len(held.Adapters))}
			for _, a := range held.Adapters {
				res.adapters[a.Name] = &placed{ready: a.Ready}
			}

			s.held[held.Model] = res
			// Its load may be in hand yet.
			s.loading = clock.Later(s.loading, held.Ready)
		}

		s.sequence = n.Sequence
	}
}

// doubt notes that an entry was told that a target does not hold a key. A
// load that ends a little later than foretold is no reason to ask.
func (h *Holder) doubt(m Missing) {
	s := h.stations[m.Target]
	if s == nil || s.working {
		return
	}

	now := clock.Now()
	if now.Before(s.loading.Add(lateLoad)) || now.Sub(s.doubted) < lateLoad {
		return
	}

	s.doubted, s.known = now, false
}

// serves reports whether entries send requests to the engine.
func (s *station) serves() bool { return !s.target.Leaving && !s.down }

// suspect notes that an entry does not reach a target.
//
// It guards against targets that crashed and stand on the list for seconds yet:
// their models would be loaded elsewhere only when they are gone from there. The
// holder's own word alone does not count, nor that of its entry, since both may
// be cut off.
func (h *Holder) suspect(id, entry instance.ID) {
	s := h.stations[id]
	if s == nil || entry == h.cfg.Self {
		return
	}

	s.suspected = clock.Now()
	s.known = false
}

// suspicion is for how long an entry's word that it does not reach a target
// counts.
const suspicion = 3 * time.Second

// unreached judges a station that gave no report. The caller holds the lock.
func (h *Holder) unreached(s *station, now time.Time) {
	if s.down || now.Sub(s.suspected) > suspicion {
		return
	}

	s.down, h.published = true, false
	h.cfg.Log.Warn().Str("target", string(s.origin.ID)).Int("models", len(s.held)).Msg("target down")
}

// lateLoad is how much later than foretold a load may end before the engine
// is asked what it holds.
const lateLoad = 700 * time.Millisecond

// leastLines is up to how many entries with requests in line are told as one
// number.
const leastLines = 8

// roundLines rounds a number of entries up to a power of two.
func roundLines(n int) int {
	rounded := leastLines
	for rounded < n {
		rounded *= 2
	}

	return rounded
}

// ModelOf returns the key of an adapter's model, and any other key as it is.
func ModelOf(key string) string {
	service, model, _ := splitKey(key)

	return service + "/" + model
}

// news returns the whole state for the entries. The caller holds the lock.
func (h *Holder) news() News {
	h.number++

	n := News{
		Holder: h.cfg.Self, Process: h.cfg.Process, Token: h.held.Token, Number: h.number, LeaseVersion: h.held.Version,
	}

	running := h.usage().running
	lines := h.asks.WaitingEntries(time.Now(), ModelOf)

	for id, s := range h.stations {
		st := Station{Target: id, Born: s.target.Born, Sequence: s.sequence, Running: running[id]}

		if s.down {
			// Entries must not go by the list, on which it stands yet.
			n.Stations = append(n.Stations, st)

			continue
		}

		if !s.known && len(s.held) == 0 {
			// Nothing is known yet, so entries go by the list.
			continue
		}

		for model, res := range s.held {
			held := Held{Model: model, Ready: res.ready}
			for name, a := range res.adapters {
				held.Adapters = append(held.Adapters, Adapter{Name: name, Ready: a.ready})
			}

			slices.SortFunc(held.Adapters, func(a, b Adapter) int { return cmp.Compare(a.Name, b.Name) })
			st.Held = append(st.Held, held)
			st.Lines = max(st.Lines, lines[s.target.Service+"/"+model])
		}

		st.Lines = roundLines(st.Lines)

		slices.SortFunc(st.Held, func(a, b Held) int { return cmp.Compare(a.Model, b.Model) })
		n.Stations = append(n.Stations, st)
	}

	n.Waits = h.waits

	return n
}
