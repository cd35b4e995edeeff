package worker

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/fulmarcross/fulmarcross/platform"
)

const (
	// step is the time between two events of a stream, and events the number of events
	// of a stream whose request states none.
	step   = 10 * time.Millisecond
	events = 10
)

// Serve implements platform.Worker.
func (w *Worker) Serve(r platform.Request, a *platform.Answer) {
	arrived := w.arrive(r, a)

	process := w.arriveCrashing(r)

	if w.turnAway(arrived, a) || !w.enter(a) {
		return
	}
	defer w.leave()

	if !w.Begin(r.ID, r.Base, r.Adapter) {
		a.Absent()

		return
	}
	defer w.End(r.Base, r.Adapter)

	if w.TakeFault() {
		a.Lose()
	}

	if w.crashOn(r, a, step, process) {
		return
	}

	if w.takeCutHead() {
		a.CutHead()
	}

	if w.takeOddHead() {
		a.OddHead()
	}

	first, _ := strconv.Atoi(r.LastEvent) // A stream that is not resumed begins at the first event.

	last := events
	if r.TokensOut > 0 {
		last = r.TokensOut
	}

	by := w.madeBy()

	for id := first + 1; id <= last; id++ {
		select {
		case <-r.Gone:
			return
		case <-time.After(step):
		}

		if w.crashAmid(r, a, id-first-1, process) || a.Event(id, by) != nil {
			return
		}

		w.answered(arrived)
	}
}

// Plain is a stand-in of a target of a plain service. It records its runs.
type Plain struct {
	Worker

	// ran are its runs, in order.
	ran []Run
}

// Run is one run of a request.
type Run struct {
	ID   string
	Team string
	// Keyed says that it contained a client's key.
	Keyed bool
	At    time.Time
}

// Ran returns the runs in order.
func (p *Plain) Ran() []Run {
	p.mu.Lock()
	defer p.mu.Unlock()

	return slices.Clone(p.ran)
}

// plainWork is the time that a plain service takes for a request.
const plainWork = 15 * time.Millisecond

// Serve implements platform.Worker.
func (p *Plain) Serve(r platform.Request, a *platform.Answer) {
	arrived := p.arrive(r, a)

	process := p.arriveCrashing(r)

	if p.turnAway(arrived, a) || !p.enter(a) {
		return
	}
	defer p.leave()

	p.mu.Lock()
	p.start()
	p.runs[r.ID]++
	p.ran = append(p.ran, Run{ID: r.ID, Team: r.Team, Keyed: len(r.Credentials) > 0, At: time.Now()})
	p.mu.Unlock()

	if p.crashOn(r, a, plainWork, process) {
		return
	}

	time.Sleep(plainWork + p.extraWork())

	if p.TakeFault() {
		a.Lose()
	}

	if p.takeCutHead() {
		a.CutHead()
	}

	if p.takeOddHead() {
		a.OddHead()
	}

	switch {
	case p.takeEndless():
		a.Endless(r.Gone)

		return
	case p.takeOne(&p.faults.Gushes):
		a.Gush()

		return
	case p.takeOne(&p.faults.GushedHeads):
		a.GushHead()

		return
	}

	a.Whole(http.StatusOK, append([]byte("done: "), r.Body...))
	p.answered(arrived)
}
