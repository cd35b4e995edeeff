// Package board builds the numbered system state shown on the screens that
// everyone in the room sees. One entry publishes it, and all entries serve the
// same bytes for a number. The package does no I/O and reads no clock.
package board

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/customer/plan"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/peer"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
	"github.com/fulmarcross/fulmarcross/internal/serving/router"
)

// Number orders boards. A board with a higher number replaces one with a lower
// number on every entry.
type Number uint64

const sequenceBits = 32

// NumberOf returns the number of the n-th board that a publisher builds under a
// fencing token. Only the lower 32 bits of the token are used.
func NumberOf(token uint64, n uint32) Number { return Number(token<<sequenceBits | uint64(n)) }

func (n Number) String() string {
	return fmt.Sprintf("%d.%d", uint64(n)>>sequenceBits, uint32(n)) //nolint:gosec // The lower half.
}

// Board is the state of the whole system at one time.
type Board struct {
	Number    Number
	At        time.Time
	Publisher instance.ID
	// ListVersion is the highest list version in force among the known
	// entries, and InForce counts the entries on which that version is in force.
	ListVersion uint64
	InForce     int
	Models      []Model
	Targets     []Target
	Plans       []Plan
	Instances   []Instance
	Promises    []Promise
}

// Model is a model or adapter that is loaded or that requests wait for.
type Model struct {
	Name    string
	Ready   []instance.ID
	Waiting int
	// Why says what the waiting requests wait for.
	Why string
}

// Target is a back end.
type Target struct {
	router.TargetInfo

	Models int
}

// Plan is a plan's limits and its usage, which is summed over the known entries.
type Plan struct {
	Name         string
	Customer     string
	Running      int
	Concurrency  int
	Waiting      int
	Answered     int64
	Tokens       int64
	Accelerators int
	// IdleTargets counts the targets that neither run nor queue requests and on
	// which at least one model that the plan may use is ready.
	IdleTargets int
	Refused     []Refused
}

// Refused counts refusals by cause.
type Refused struct {
	Code  request.Code
	Count int64
}

// Instance is an entry instance.
type Instance struct {
	ID          instance.ID
	DataCentre  instance.DataCentre
	Started     time.Time
	Ready       bool
	Draining    bool
	ListVersion uint64
	Cells       []int
}

// Promise is a guarantee of the system that can be checked on a board.
type Promise struct {
	Name   string
	Kept   bool
	Detail string
}

// View is the input of Build.
type View struct {
	Number    Number
	At        time.Time
	Publisher instance.ID
	Lists     plan.State
	Table     *router.Table
	// Statuses holds the status of every known entry, this one included.
	Statuses []peer.Status
}

// Build returns the board for the input v.
func Build(v View) Board {
	b := Board{Number: v.Number, At: v.At, Publisher: v.Publisher}

	for _, s := range v.Statuses {
		b.ListVersion = max(b.ListVersion, s.ListVersion)
	}

	for _, s := range v.Statuses {
		if s.ListVersion == b.ListVersion {
			b.InForce++
		}
	}

	b.Models = models(v)
	b.Targets = targets(v, b.Models)
	b.Plans = plans(v)
	b.Instances = instances(v)
	b.Promises = promises(&b)

	return b
}

func models(v View) []Model {
	byName := make(map[string]*Model)

	v.Table.Models(func(name string, ready []*router.Target) {
		m := &Model{Name: name}
		for _, t := range ready {
			m.Ready = append(m.Ready, t.ID)
		}

		slices.Sort(m.Ready)
		byName[name] = m
	})

	v.Table.Waits(func(w router.Wait) {
		m := byName[w.Model]
		if m == nil {
			m = &Model{Name: w.Model}
			byName[w.Model] = m
		}

		m.Waiting = w.Waiting
		m.Why = waitReason(w, len(m.Ready) > 0)
	})

	out := make([]Model, 0, len(byName))
	for _, m := range byName {
		out = append(out, *m)
	}

	slices.SortFunc(out, func(a, b Model) int {
		return cmp.Or(-cmp.Compare(a.Waiting, b.Waiting), strings.Compare(a.Name, b.Name))
	})

	return out
}

// waitReason returns what the waiting requests of a model wait for. loaded
// reports whether the model is ready on a target.
func waitReason(w router.Wait, loaded bool) string {
	switch {
	case w.Reason != "":
		return w.Reason
	case loaded:
		return "all slots are busy"
	case w.Ready > 0:
		return "loading, about " + w.Ready.Round(100*time.Millisecond).String()
	}

	return "loading"
}

func targets(v View, models []Model) []Target {
	loaded := make(map[instance.ID]int)

	for _, m := range models {
		for _, id := range m.Ready {
			loaded[id]++
		}
	}

	var out []Target
	for _, t := range v.Table.All() {
		out = append(out, Target{TargetInfo: t.Info(), Models: loaded[t.ID]})
	}

	slices.SortFunc(out, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })

	return out
}

func plans(v View) []Plan {
	var out []Plan

	for _, p := range v.Lists.Plans() {
		boardPlan := Plan{
			Name: p.Name, Customer: p.Customer, Concurrency: p.Concurrency, Accelerators: p.Accelerators,
		}
		refused := make(map[request.Code]int64)

		for _, s := range v.Statuses {
			for _, c := range s.Plans {
				if c.Plan == p.Name {
					addCounts(&boardPlan, c, refused)
				}
			}
		}

		for code, n := range refused {
			boardPlan.Refused = append(boardPlan.Refused, Refused{Code: code, Count: n})
		}

		slices.SortFunc(boardPlan.Refused, func(a, b Refused) int {
			return cmp.Or(-cmp.Compare(a.Count, b.Count), cmp.Compare(a.Code, b.Code))
		})

		boardPlan.IdleTargets = idleTargets(v, p.Name)
		out = append(out, boardPlan)
	}

	return out
}

func addCounts(boardPlan *Plan, c peer.PlanCount, refused map[request.Code]int64) {
	boardPlan.Running += c.Running
	boardPlan.Waiting += c.Waiting
	boardPlan.Answered += c.Answered
	boardPlan.Tokens += c.Tokens

	for code, n := range c.Refused {
		refused[code] += n
	}
}

// idleTargets counts the targets that neither run nor queue requests and on
// which at least one model that the plan may use is ready. Only allowances of
// kind plan.Model are considered. Other plans may use the same model, so one
// target may count for several plans.
func idleTargets(v View, name string) int {
	idle := make(map[instance.ID]bool)

	v.Table.Models(func(model string, ready []*router.Target) {
		if !v.Lists.Allows(name, plan.Model, model) {
			return
		}

		for _, t := range ready {
			if info := t.Info(); info.Running+info.Waiting == 0 {
				idle[t.ID] = true
			}
		}
	})

	return len(idle)
}

func instances(v View) []Instance {
	var out []Instance

	for _, s := range v.Statuses {
		in := Instance{
			ID:          s.ID,
			DataCentre:  s.DataCentre,
			Started:     s.Started,
			Ready:       s.Ready,
			Draining:    s.Draining,
			ListVersion: s.ListVersion,
		}
		for _, l := range s.Leases {
			in.Cells = append(in.Cells, l.Cell)
		}

		out = append(out, in)
	}

	slices.SortFunc(out, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })

	return out
}

// promises checks the guarantees that can be checked on the board alone.
func promises(b *Board) []Promise {
	return []Promise{memoryPromise(b), listPromise(b), leavingPromise(b)}
}

func memoryPromise(b *Board) Promise {
	p := Promise{Name: "memory is never overcommitted", Kept: true}

	for _, t := range b.Targets {
		if t.Memory > 0 && t.ReservedMemory > t.Memory {
			p.Kept = false
			p.Detail += string(t.ID) + " "
		}
	}

	return p
}

func listPromise(b *Board) Promise {
	return Promise{
		Name:   "the newest lists are in force everywhere",
		Kept:   b.InForce == len(b.Instances),
		Detail: fmt.Sprintf("%d of %d instances", b.InForce, len(b.Instances)),
	}
}

// leavingPromise returns the promise that leaving targets get no new work. It is
// broken if a leaving target is still listed as ready for a model.
func leavingPromise(b *Board) Promise {
	p := Promise{Name: "leaving targets get no new work", Kept: true}

	for _, t := range b.Targets {
		if t.Leaving && t.Models > 0 {
			p.Kept = false
			p.Detail += string(t.ID) + " "
		}
	}

	return p
}
