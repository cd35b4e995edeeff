package site

import (
	"context"
	"maps"
	"net/http"
	"reflect"
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/inventory"
	"github.com/fulmarcross/fulmarcross/internal/placement/holder"
	"github.com/fulmarcross/fulmarcross/internal/standin/worker"
	"github.com/fulmarcross/fulmarcross/platform"
)

// EngineOptions describe an engine at the start.
type EngineOptions struct {
	Software instance.Software
	Holding  []string
}

// defaultEngine returns an engine that holds two models.
func defaultEngine(i int) EngineOptions {
	return EngineOptions{Software: firstSoftware, Holding: []string{Model(2 * i), Model(2*i + 1)}}
}

// firstSoftware is the software of all targets at the start.
const firstSoftware instance.Software = "v1"

func (s *Site) target(id instance.ID, service string, slots int, w platform.Worker) error {
	l, at, err := s.listen()
	if err != nil {
		return err
	}

	srv := &http.Server{Handler: platform.WorkerHandler(id, reporting{w, s, id}), ReadHeaderTimeout: time.Second}
	s.closers = append(s.closers, srv)

	go func() { _ = srv.Serve(l) }() // It ends with the site.

	if s.front != nil {
		if at, err = s.front(id, at); err != nil {
			return err
		}
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	s.targets[id] = inventory.Target{ID: id, Service: service, Address: at, DataCentre: "dc", Slots: slots, Software: firstSoftware, StartedMs: 1}
	s.handler[id] = w

	return nil
}

// reporting is a target that states in its reports when its process started.
type reporting struct {
	platform.Worker

	site *Site
	id   instance.ID
}

func (r reporting) Report() holder.Report {
	out := r.Worker.Report()

	r.site.mu.Lock()
	defer r.site.mu.Unlock()

	out.Born = r.site.targets[r.id].StartedMs

	return out
}

// BeatEvery is how often targets write to the list.
const BeatEvery = 100 * time.Millisecond

// beat writes the rows of targets that have changed.
func (s *Site) beat(ctx context.Context) {
	for ctx.Err() == nil {
		s.register()

		select {
		case <-ctx.Done():
		case <-time.After(BeatEvery):
		}
	}
}

// register writes the rows of targets that differ from those written.
func (s *Site) register() {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.writeAgain(time.Now())

	for id, t := range s.targets {
		if s.unlisted[id] {
			delete(s.written, id)

			continue
		}

		if _, waits := s.again[id]; waits || s.down[id] {
			continue
		}

		if w, ok := s.handler[id].(*worker.Worker); ok {
			t = w.Describe(t)
		}

		if !reflect.DeepEqual(s.written[id], t) {
			s.written[id] = t
			s.Store.Put(platform.TargetsTable, string(id), platform.EncodeTarget(t))
		}
	}
}

// Leave makes a target report that it is draining, in the list and in its answers.
func (s *Site) Leave(id instance.ID) {
	s.Targets()[id].Leave()
	s.change(id, func(t *inventory.Target) { t.Leaving = true })
}

// Unlist removes a target's row from the list, and List writes it again.
func (s *Site) Unlist(id instance.ID) { s.setListed(id, false) }

// List writes the row of a target that Unlist has removed.
func (s *Site) List(id instance.ID) { s.setListed(id, true) }

func (s *Site) setListed(id instance.ID, listed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.unlisted[id] = !listed

	if !listed {
		s.Store.Remove(platform.TargetsTable, string(id))
	}
}

// Restart makes a target report as a new process that accepts requests.
func (s *Site) Restart(id instance.ID) {
	s.Targets()[id].Restart()
	s.change(id, func(t *inventory.Target) { t.Leaving, t.StartedMs = false, t.StartedMs+1 })
}

// Upgrade makes an engine a new process of other software, which holds nothing and accepts
// requests.
func (s *Site) Upgrade(id instance.ID, to instance.Software) {
	s.Workers[id].Upgrade(to)
	s.Restart(id)
}

func (s *Site) change(id instance.ID, f func(*inventory.Target)) {
	s.mu.Lock()
	defer s.mu.Unlock()

	t := s.targets[id]
	f(&t)
	s.targets[id] = t

	delete(s.again, id)
	delete(s.written, id)
}

// Broken describes violations that the engines recorded.
func (s *Site) Broken() []string {
	var out []string

	all := make([]*worker.Worker, 0, len(s.Workers))

	for id, w := range s.Workers {
		for _, b := range w.Broken() {
			out = append(out, string(id)+": "+b)
		}

		all = append(all, w)
	}

	return append(out, worker.Turns(turnPause, all...)...)
}

// Targets returns all targets.
func (s *Site) Targets() map[instance.ID]*worker.Worker {
	out := maps.Clone(s.Workers)
	for id, d := range s.Desks {
		out[id] = &d.Worker
	}

	return out
}

// Ran returns the runs on the plain targets, in order.
func (s *Site) Ran() []worker.Run {
	var out []worker.Run
	for _, d := range s.Desks {
		out = append(out, d.Ran()...)
	}

	slices.SortFunc(out, func(a, b worker.Run) int { return a.At.Compare(b.At) })

	return out
}

// Runs returns how often a request ran on all targets together.
func (s *Site) Runs(id string) int {
	n := 0
	for _, w := range s.Workers {
		n += w.Runs(id)
	}

	for _, d := range s.Desks {
		n += d.Runs(id)
	}

	return n
}
