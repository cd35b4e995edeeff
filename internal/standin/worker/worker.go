// Package worker is a small stand-in of a model worker of the users' platform. It
// accepts orders with the right sequence, loads from three tiers and runs requests. It
// records what it received, for checks by tests.
package worker

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/inventory"
	"github.com/fulmarcross/fulmarcross/internal/placement/holder"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
)

// Worker is one model worker. Set the exported fields before use.
type Worker struct {
	Engine *route.Engine
	// Holding are the models that are loaded at the start.
	Holding []string
	// OnDisk are the models whose weights are on disk.
	OnDisk []string
	// Software is the version of the program at the start.
	Software instance.Software

	mu       sync.Mutex
	once     sync.Once
	sequence uint64
	// process counts the processes that the worker has been.
	process int
	held    map[string]*model
	disk    map[string]bool
	memory  map[string]bool
	busy    bool
	orders  []Ordered
	runs    map[string]int
	broken  []string
	faults  Faults
	limits  limitRecord
	states  statements
	brittle brittleState
	crash   crashState
	// former are the models that were held, as they were last looked at.
	former []formerModels
}

// formerModels are the models that were held at a time.
type formerModels struct {
	at     time.Time
	models []inventory.ResidentModel
}

// model is a model that is loaded or being loaded.
type model struct {
	ready    bool
	running  int
	adapters map[string]*adapter
}

// adapter is an adapter of a model. It keeps its slot until its runs have ended.
type adapter struct {
	running int
	// unloading says that the adapter is dropped once its runs have ended.
	unloading bool
}

// Ordered is an order that has arrived.
type Ordered struct {
	holder.Order

	At      time.Time
	Outcome holder.Outcome
	// Late says that it was to be carried out later than At.
	Late bool
}

// Faults are the faults of the stand-in.
type Faults struct {
	// LateOrders is the number of next orders that are not answered and are carried out
	// after Late.
	LateOrders int
	Late       time.Duration
	// LostOrders is the number of next orders that are carried out and not answered.
	LostOrders int
	// LostAnswers is the number of next requests that run and are not answered.
	LostAnswers int
	// EndlessAnswers is the number of next requests that are answered by bytes without end.
	EndlessAnswers int
	// Gushes, GushedHeads and GushedReports are the numbers of next requests, and of next orders and
	// requests for a report, that are answered by a body or a head without end, at full speed.
	Gushes, GushedHeads, GushedReports int
	// Work is how much longer a plain target works on each request.
	Work time.Duration
	// TwiceAnswered is the number of next orders and requests for a report that are answered twice.
	TwiceAnswered int
	// OldModels is how much older the models in reports are than the rest.
	OldModels time.Duration
	// CutHeads is the number of next requests that run and whose answers end within their heads.
	CutHeads int
	// OddHeads is the number of next requests that run and whose answers have invalid heads.
	OddHeads int
	// EarlyAnswers is the number of next long requests that are answered before they are read, by a part
	// of a body without a length. Their connections are reset after ResetAfter.
	EarlyAnswers int
	ResetAfter   time.Duration
}

// SetFaults replaces the faults.
func (w *Worker) SetFaults(f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.faults = f
}

func (w *Worker) start() {
	w.once.Do(func() {
		w.held = make(map[string]*model)
		w.disk, w.memory, w.runs = make(map[string]bool), make(map[string]bool), make(map[string]int)

		for _, name := range w.Holding {
			w.held[name] = &model{ready: true, adapters: make(map[string]*adapter)}
			w.disk[name] = true
		}

		for _, name := range w.OnDisk {
			w.disk[name] = true
		}
	})
}

// Order handles an order. It returns false if there must be no answer.
func (w *Worker) Order(o holder.Order) (holder.Outcome, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.start()

	switch {
	case w.faults.LateOrders > 0:
		w.faults.LateOrders--
		w.orders = append(w.orders, Ordered{Order: o, At: time.Now(), Late: true})

		time.AfterFunc(w.faults.Late, func() {
			w.mu.Lock()
			defer w.mu.Unlock()

			w.decide(o)
		})

		return holder.Rejected, false
	case w.faults.LostOrders > 0:
		w.faults.LostOrders--
		w.take(o)

		return holder.Rejected, false
	}

	return w.take(o), true
}

func (w *Worker) take(o holder.Order) holder.Outcome {
	out := w.decide(o)
	w.orders = append(w.orders, Ordered{Order: o, At: time.Now(), Outcome: out})

	return out
}

func (w *Worker) decide(o holder.Order) holder.Outcome {
	m := w.held[o.Model]

	switch {
	case o.Sequence != w.sequence || w.busy:
		return holder.Busy
	case o.Adapter != "":
		return w.orderAdapter(o, m)
	case o.Unload && m == nil, !o.Unload && m != nil:
		return holder.AlreadyDone
	case o.Unload:
		w.unload(o.Model, m)
	default:
		w.load(o.Model)
	}

	w.sequence++

	return holder.Accepted
}

func (w *Worker) orderAdapter(o holder.Order, m *model) holder.Outcome {
	if m == nil || !m.ready {
		return holder.Rejected
	}

	a := m.adapters[o.Adapter]

	switch {
	case (a == nil || a.unloading) == o.Unload:
		return holder.AlreadyDone
	case !o.Unload && a != nil:
		return holder.Busy
	}

	w.sequence++

	if o.Unload {
		return m.unloadAdapter(o.Adapter)
	}

	m.adapters[o.Adapter] = &adapter{}

	if n := w.adapters(); n > w.Engine.AdapterSlots {
		w.broken = append(w.broken, "too many adapters")
	}

	w.checkMemory(o.Model + "/" + o.Adapter)

	return holder.Accepted
}

// unloadAdapter drops an adapter at once, or when its runs have ended.
func (m *model) unloadAdapter(name string) holder.Outcome {
	if m.adapters[name].running > 0 {
		m.adapters[name].unloading = true

		return holder.Accepted
	}

	delete(m.adapters, name)

	return holder.AlreadyDone
}

// checkMemory records that what was loaded last does not fit beside the rest.
func (w *Worker) checkMemory(last string) {
	total := 0.0

	for name, m := range w.held {
		e := w.Engine.Models[name]
		total += e.MB + float64(len(m.adapters))*e.AdapterMB
	}

	if total > w.Engine.MemoryMB {
		w.broken = append(w.broken, "memory overcommitted by "+last)
	}
}

func (w *Worker) adapters() int {
	n := 0
	for _, m := range w.held {
		n += len(m.adapters)
	}

	return n
}

func (w *Worker) load(name string) {
	takes := w.Engine.Models[name].FromStore

	switch {
	case w.memory[name]:
		takes = w.Engine.Models[name].FromMemory
	case w.disk[name]:
		takes = w.Engine.Models[name].FromDisk
	}

	m := &model{adapters: make(map[string]*adapter)}
	w.held[name], w.busy = m, true
	w.checkMemory(name)

	process := w.process

	time.AfterFunc(takes, func() {
		w.mu.Lock()
		defer w.mu.Unlock()

		if w.process != process {
			return
		}

		m.ready, w.busy = true, false
		w.disk[name], w.memory[name] = true, true
	})
}

// unloadCheck is the interval at which an unload checks whether its model's runs have
// ended.
const unloadCheck = 20 * time.Millisecond

func (w *Worker) unload(name string, m *model) {
	m.ready, w.busy = false, true
	process := w.process

	var end func()

	end = func() {
		w.mu.Lock()
		defer w.mu.Unlock()

		if w.process != process {
			return
		}

		if m.running > 0 {
			time.AfterFunc(unloadCheck, end)

			return
		}

		delete(w.held, name)
		w.busy = false
	}

	time.AfterFunc(unloadCheck, end)
}

// Report returns what the worker holds.
func (w *Worker) Report() holder.Report {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.start()

	return holder.Report{Busy: w.busy, Sequence: w.sequence, Resident: w.reported()}
}

// formerKept is the number of former lists that are kept.
const formerKept = 64

// remember records the models that are held.
func (w *Worker) remember() {
	w.former = append(w.former, formerModels{time.Now(), w.list()})
	w.former = w.former[max(0, len(w.former)-formerKept):]
}

// reported returns the models that a report names, which may be older than the rest of it.
func (w *Worker) reported() []inventory.ResidentModel {
	w.remember()

	now := time.Now()

	for _, f := range slices.Backward(w.former) {
		if now.Sub(f.at) >= w.faults.OldModels {
			return f.models
		}
	}

	return w.former[0].models
}

func (w *Worker) list() []inventory.ResidentModel {
	var out []inventory.ResidentModel

	for name, m := range w.held {
		if !m.ready {
			continue
		}

		h := inventory.ResidentModel{Model: name, Version: 1}
		for a := range m.adapters {
			h.Adapters = append(h.Adapters, a)
		}

		slices.Sort(h.Adapters)
		out = append(out, h)
	}

	slices.SortFunc(out, func(a, b inventory.ResidentModel) int {
		if a.Model < b.Model {
			return -1
		}

		return 1
	})

	return out
}

// Describe returns the worker's row of the list of targets.
func (w *Worker) Describe(t inventory.Target) inventory.Target {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.start()

	w.remember()

	t.Resident, t.Sequence, t.Software = w.list(), w.sequence, w.Software

	for name := range w.disk {
		t.OnDisk = append(t.OnDisk, name)
	}

	for name := range w.memory {
		t.InMemory = append(t.InMemory, name)
	}

	slices.Sort(t.OnDisk)
	slices.Sort(t.InMemory)

	return t
}

// Begin starts a run. It returns false if the worker does not hold the model or
// adapter.
func (w *Worker) Begin(id, name, adapter string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.start()

	m := w.held[name]
	if m == nil || !m.ready {
		return false
	}

	if adapter != "" {
		a := m.adapters[adapter]
		if a == nil || a.unloading {
			return false
		}

		a.running++
	}

	m.running++
	w.runs[id]++

	return true
}

// End ends a run.
func (w *Worker) End(name, adapter string) {
	w.mu.Lock()
	defer w.mu.Unlock()

	m := w.held[name]
	if m == nil {
		return
	}

	m.running--

	a := m.adapters[adapter]
	if a == nil {
		return
	}

	a.running--

	if a.unloading && a.running == 0 {
		delete(m.adapters, adapter)
	}
}

// StartAnew makes the worker a new process under the same id: it holds nothing and counts
// orders from zero. Orders that its former process left for later still arrive.
func (w *Worker) StartAnew() {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.start()

	w.process++
	w.sequence, w.busy = 0, false
	w.held, w.memory, w.former = make(map[string]*model), make(map[string]bool), nil
}

// Upgrade makes the worker a new process of other software, which holds nothing.
func (w *Worker) Upgrade(to instance.Software) {
	w.StartAnew()

	w.mu.Lock()
	defer w.mu.Unlock()

	w.Software = to
}

// madeBy returns the software that makes the events of a stream that begins now.
func (w *Worker) madeBy() instance.Software {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.Software
}

// TakeFault reports whether the answer must be lost, and counts it.
func (w *Worker) TakeFault() bool { return w.takeOne(&w.faults.LostAnswers) }

// AnswersTwice implements platform.Worker.
func (w *Worker) AnswersTwice() bool { return w.takeOne(&w.faults.TwiceAnswered) }

// AnswersWithoutEnd implements platform.Worker.
func (w *Worker) AnswersWithoutEnd() bool { return w.takeOne(&w.faults.GushedReports) }

// AnswersEarly implements platform.Worker.
func (w *Worker) AnswersEarly() (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()

	if w.faults.EarlyAnswers == 0 {
		return 0, false
	}

	w.faults.EarlyAnswers--

	return w.faults.ResetAfter, true
}

// extraWork is how much longer the worker works on a request.
func (w *Worker) extraWork() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.faults.Work
}

// takeEndless reports whether the answer must have no end, and counts it.
func (w *Worker) takeEndless() bool { return w.takeOne(&w.faults.EndlessAnswers) }

// takeCutHead reports whether the answer must end within its head, and counts it.
func (w *Worker) takeCutHead() bool { return w.takeOne(&w.faults.CutHeads) }

// takeOddHead reports whether the answer must have an invalid head, and counts it.
func (w *Worker) takeOddHead() bool { return w.takeOne(&w.faults.OddHeads) }

// takeOne counts one of the faults that are left of a kind. It reports false if none is.
func (w *Worker) takeOne(left *int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	if *left == 0 {
		return false
	}

	*left--

	return true
}

// Orders returns the orders that have arrived, in order.
func (w *Worker) Orders() []Ordered {
	w.mu.Lock()
	defer w.mu.Unlock()

	return slices.Clone(w.orders)
}

// Runs returns how often the request ran.
func (w *Worker) Runs(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.runs[id]
}

// Broken describes the orders that overcommitted the worker.
func (w *Worker) Broken() []string {
	w.mu.Lock()
	defer w.mu.Unlock()

	return slices.Clone(w.broken)
}

// Changes returns the changes between holders that follow an order of the
// former one within span, and every order with an older token.
func Changes(span time.Duration, workers ...*Worker) []string {
	var out []string

	for _, w := range workers {
		orders := w.Orders()
		for i := 1; i < len(orders); i++ {
			a, b := orders[i-1], orders[i]

			if a.Holder != b.Holder && b.At.Sub(a.At) < span || b.Token < a.Token {
				out = append(out, string(a.Holder+" then "+b.Holder)+" for "+b.Model)
			}
		}
	}

	return out
}

// Turns returns the turns in the orders of each of the workers.
func Turns(span time.Duration, workers ...*Worker) []string {
	var out []string
	for _, w := range workers {
		out = append(out, TurnsIn(span, w.Orders())...)
	}

	return out
}

// TurnsIn describes the orders of holders that follow within span an order of another
// holder, which itself follows an earlier order of theirs.
func TurnsIn(span time.Duration, orders []Ordered) []string {
	var out []string

	for i, last := range orders {
		between := instance.ID("")

		for j := i - 1; j >= 0 && last.At.Sub(orders[j].At) < span; j-- {
			if orders[j].Holder != last.Holder {
				between = orders[j].Holder
			} else if between != "" {
				out = append(out, fmt.Sprintf("%s, %s and %s again within %v, tokens %d and %d", last.Holder, between, last.Holder, last.At.Sub(orders[j].At), orders[j].Token, last.Token))

				break
			}
		}
	}

	return out
}
