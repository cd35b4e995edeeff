// Package swap decides which model a target loads next and what it gives up
// for it. Its decisions are pure functions of values: it does no I/O and reads
// no clock.
//
// It answers the load in which most models are rarely asked for: more models
// than fit are wanted within a few seconds, each by a request or two, and every
// model's weights lie on the disks of a few targets. A load from there takes a
// second or two, which a caller can wait for, so a model is loaded as soon as
// somebody waits for it, and what was used least lately makes way.
package swap

import (
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
)

// Resident is a model on a target.
type Resident struct {
	Model string
	// Running is how many requests run on it, over all entries.
	Running int
	// Used is when a request last ran or waited there; zero means never.
	Used time.Time
	// Coming says that its load has not ended.
	Coming bool
}

// Target is a target as the holder sees it.
type Target struct {
	ID instance.ID
	// Free says that no order is in hand there and that it takes new ones.
	Free bool
	// FreeIn is how long the order in hand is expected to take yet.
	FreeIn time.Duration
	// Serving says that entries send requests there.
	Serving bool
	Held    []Resident
	// AtHand tells from where a model would be loaded; a model that is missing
	// comes from the weight store.
	AtHand map[string]target.Tier
	// Running is how many requests run on the target.
	Running int
}

// Want is what all entries together ask of one model.
type Want struct {
	Model            string
	Waiting, Running int
	// Deadline is the earliest deadline of the waiting requests.
	Deadline time.Time
	// Goal is the earliest time by which one of them should begin, of those that
	// can still be on time; zero means none.
	Goal     time.Time
	Priority int
}

// View is all that a plan depends on.
type View struct {
	Now    time.Time
	Engine *route.Engine
	// Targets are sorted by id.
	Targets []Target
	Wants   []Want
	// Rate is how many requests a second come for each model lately, those that
	// are refused among them.
	Rate map[string]float64
	// Habit is the same over a longer time, for loads that are to last.
	Habit map[string]float64
	// Promised is since when callers are told from when on they can have a model
	// that the weight store could not load yet.
	Promised map[string]time.Time
	// Risk is how likely a target is gone before a copy of what it holds is had
	// elsewhere.
	Risk float64
	// StoreLoads is how many loads from the weight store may start now, and
	// StoreEnds how long those in hand are expected to take yet.
	StoreLoads int
	StoreEnds  []time.Duration
	// StoreSlower is how many times as long as said a load from the weight store
	// takes beside those in hand; zero means as long.
	StoreSlower float64
}

// Move is a load and the unloads that make room for it.
type Move struct {
	Target instance.ID
	Unload []string
	Load   string
	// Takes is how long the load is expected to take once it is accepted.
	Takes time.Duration
	From  target.Tier
	// For says why the model is loaded.
	For Reason
}

// Round is what a round decides.
type Round struct {
	// Moves are the loads to begin now, the most urgent first.
	Moves []Move
	// Ready is how long it takes until models can be had for which requests
	// wait and which the weight store cannot load yet.
	Ready map[string]time.Duration
}

// Reason says why a model is loaded.
type Reason string

// The reasons for a load.
const (
	// ForWaiting means that requests wait for a model that is nowhere.
	ForWaiting Reason = "waiting"
	// ForLoad means that the model's replicas are crowded.
	ForLoad Reason = "crowded"
	// ForLater means that nobody waits yet, but that there is room.
	ForLater Reason = "later"
)

// planner gathers the moves of one round, which see each other.
type planner struct {
	*View

	moves []Move
	// busy are the targets that have a move in this round.
	busy map[instance.ID]bool
	// kept is for how long targets are taken by wants that wait for them.
	kept  map[instance.ID]time.Duration
	wants map[string]Want
	// copies is on how many serving targets a model is, or comes, and near on how
	// many its weights are at hand or loaded.
	copies, near map[string]int
	// usual is how many models a serving target has at hand in the mean.
	usual float64
	// sought is, for each target, by how many of the models that are nowhere its
	// disk is sought, each counted by its part among the disks that it is on.
	sought map[instance.ID][]part
	// room is a target's memory without what is kept for adapters.
	room  float64
	store int
	// ends is when the weight store's loads in hand end, from now.
	ends  []time.Duration
	ready map[string]time.Duration
}

// Plan returns what to do now.
func Plan(v *View) Round {
	p := &planner{
		View: v, busy: make(map[instance.ID]bool), kept: make(map[instance.ID]time.Duration), wants: make(map[string]Want, len(v.Wants)),
		copies: make(map[string]int), near: make(map[string]int), room: v.Engine.MemoryMB - Reserve(v.Engine), store: v.StoreLoads,
		ends: slices.Clone(v.StoreEnds), ready: make(map[string]time.Duration),
	}

	for _, w := range v.Wants {
		p.wants[w.Model] = w
	}

	p.count()
	p.seek()

	for _, w := range p.byUrgency() {
		p.meet(w)
	}

	p.loadFromStore()
	p.fill()

	return Round{Moves: p.moves, Ready: p.ready}
}

// count notes where models are.
func (p *planner) count() {
	total, serving := 0, 0

	for i := range p.Targets {
		t := &p.Targets[i]
		if !t.Serving {
			continue
		}

		total += len(t.AtHand)
		serving++

		for _, r := range t.Held {
			p.copies[r.Model]++

			if t.AtHand[r.Model] == 0 {
				p.near[r.Model]++
			}
		}

		for model := range t.AtHand {
			p.near[model]++
		}
	}

	p.usual = float64(total) / float64(max(1, serving))
}

// begin adds a move to the round.
func (p *planner) begin(m Move) {
	if m.From == target.TierRemote {
		p.store--
		p.ends = append(p.ends, m.Takes)
	}

	p.busy[m.Target] = true
	p.copies[m.Load]++
	p.moves = append(p.moves, m)

	for _, model := range m.Unload {
		p.copies[model]--
	}
}

// choice is a target with what a load there would cost.
type choice struct {
	move Move
	cost float64
	// free says that the target could begin now.
	free bool
}

// place finds the target on which the model would serve soonest at the least
// loss to others. Where that is one with an order in hand, nothing is begun
// yet.
//
// It guards against loads from the weight store while the targets that have
// the weights on disk are busy for a second: each takes six seconds, in which
// its target takes no other order, so that a few of them make the next models
// come from the store as well.
func (p *planner) place(m route.Model, w Want, why Reason, cl claim) {
	var best *choice

	for i := range p.Targets {
		t := &p.Targets[i]
		if !t.Serving || p.busy[t.ID] || holds(t, m.Name) || !t.Free && why == ForLoad {
			continue
		}

		if c, ok := p.consider(t, m, w, why, cl); ok && (best == nil || c.cost < best.cost) {
			best = &c
		}
	}

	if best == nil {
		return
	}

	if !best.free {
		p.kept[best.move.Target] += best.move.Takes

		return
	}

	p.begin(best.move)
}

func holds(t *Target, model string) bool {
	return slices.ContainsFunc(t.Held, func(r Resident) bool { return r.Model == model })
}

// lossWeight turns a model that is given up into seconds of delay: a request
// a second for the only copy of a model costs as much as two seconds.
const lossWeight = 2.0

// rivalWeight is the seconds of delay that a target is worth to the only model
// that needs it: a model that could be loaded elsewhere leaves it alone.
const rivalWeight = 0.5

// loadWeight is the seconds of delay that one more running request on a
// target is worth, because the batch shares its steps.
const loadWeight = 0.02

func (p *planner) consider(t *Target, m route.Model, w Want, why Reason, cl claim) (choice, bool) {
	tier, takes := p.tierOf(t, m)
	if tier == target.TierRemote && (p.store <= 0 || why == ForLoad && !p.isPressed(w)) {
		return choice{}, false
	}

	victims, loss, wait, ok := p.makeRoom(t, m, cl)

	switch {
	case ok:
	case tier == target.TierRemote:
		return choice{}, false
	default:
		// It has the weights, and room as soon as what it runs has ended.
		wait = runTime
	}

	if tier == target.TierRemote {
		wait += time.Duration(nearWeight * float64(len(t.AtHand)) * float64(time.Second))
	}

	kept := p.kept[t.ID]

	return choice{
		move: Move{Target: t.ID, Unload: victims, Load: m.Name, Takes: takes, From: tier, For: why},
		cost: (t.FreeIn + kept + takes + wait).Seconds() + lossWeight*loss + loadWeight*float64(t.Running) +
			rivalWeight*p.rivalry(t, m.Name),
		free: ok && t.Free && kept == 0,
	}, true
}

func (p *planner) tierOf(t *Target, m route.Model) (target.Tier, time.Duration) {
	switch t.AtHand[m.Name] {
	case target.TierMemory:
		return target.TierMemory, m.FromMemory
	case target.TierDisk:
		return target.TierDisk, m.FromDisk
	case target.TierRemote:
	}

	return target.TierRemote, p.fromStore(m)
}

// fromStore returns how long a load of the model from the weight store takes
// now.
func (p *planner) fromStore(m route.Model) time.Duration {
	return time.Duration(float64(m.FromStore) * max(1, p.StoreSlower))
}
