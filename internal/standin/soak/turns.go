package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/standin/site"
	"github.com/fulmarcross/fulmarcross/internal/standin/worker"
)

const (
	// usersTurnPause is the time within which holders must not take turns on the users' sites.
	usersTurnPause = 3 * time.Second
	// thawTime is for how long after its sender was thawed, or its link healed, an order does not
	// count.
	thawTime = 300 * time.Millisecond
	// takeOver is the longest time that another entry takes to hold the lease.
	takeOver = 6 * time.Second
	// orderPoll is the time between two looks at the newest order.
	orderPoll = 10 * time.Millisecond
)

// holder returns the number of the process that holds the lease, or -1.
func (s *soak) holder() int {
	return slices.IndexFunc(s.processes, func(p *process) bool {
		ctx, cancel := context.WithTimeout(s.ctx, thawTime)
		defer cancel()

		holds, err := s.site.Holds(ctx, &site.Entry{Metrics: p.metrics})

		return err == nil && holds // One that has ended does not answer.
	})
}

// lastOrderer returns the number of the process that sent the newest order, or -1.
func (s *soak) lastOrderer() int {
	var newest worker.Ordered

	for _, w := range s.site.Workers {
		if orders := w.Orders(); len(orders) > 0 && orders[len(orders)-1].At.After(newest.At) {
			newest = orders[len(orders)-1]
		}
	}

	return slices.IndexFunc(s.processes, func(p *process) bool { return p.name == string(newest.Holder) })
}

// awaitOtherOrderer waits until another process than the first sends orders, for takeOver at most.
func (s *soak) awaitOtherOrderer(first int) (second int, ok bool) {
	for end := time.Now().Add(takeOver); time.Now().Before(end); time.Sleep(orderPoll) {
		if second = s.lastOrderer(); second >= 0 && second != first {
			return second, true
		}
	}

	return -1, false
}

// holdersInTurn is the trouble in which the lease holder loses the store until another entry sends
// orders, which is then stopped.
func (s *soak) holdersInTurn() event {
	return event{
		name: "the lease holder loses the store, and the next one is stopped",
		begin: func() {
			first := s.holder()
			if first < 0 {
				return
			}

			began := time.Now()

			s.stores[first].set(Silent)

			second, ok := s.awaitOtherOrderer(first)

			s.stores[first].set(Calm)
			s.excuses.add(storeOf(s.processes[first].name), began, time.Now())
			s.thawed.add(s.processes[first].name, time.Now(), time.Now().Add(thawTime))

			if ok {
				s.processes[second].signal(syscall.SIGTERM)
				s.excuses.add(s.processes[second].name, began, time.Now().Add(stoppedAfter))
			}
		},
	}
}

const (
	// adapterNumbers begins the numbers of requests for adapters, so that their ids differ from
	// others of the same client.
	adapterNumbers = 1_000_000
	// adapters is the number of adapters that clients ask for, and adapterPause the pause between
	// two requests.
	adapters     = 40
	adapterPause = 20 * time.Millisecond
)

// callAdapters is one client that asks for many adapters, which keeps orders coming.
func (s *soak) callAdapters(ctx context.Context, p *process, caller int) {
	draw := rand.New(rand.NewPCG(s.Seed, uint64(adapterNumbers+caller))) //nolint:gosec // No secret, and small.
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}

	defer c.CloseIdleConnections()

	for n := adapterNumbers; ctx.Err() == nil; n++ {
		model := fmt.Sprintf("%s/a%d", site.Model(draw.IntN(2)), draw.IntN(adapters)) //nolint:mnd // Busy ones.
		s.ask(ctx, c, p, free, fmt.Sprintf("soak-%s-%d-%d", free, caller, n), kind{path: "/note/x", body: "text", model: model, whole: stream})
		time.Sleep(adapterPause)
	}
}

// turns describes the orders of holders that take turns.
func (s *soak) turns() []string {
	if !s.Turns {
		return nil
	}

	var out []string

	for id, w := range s.site.Workers {
		orders := slices.DeleteFunc(w.Orders(), func(o worker.Ordered) bool {
			return o.Late || s.thawed.overlap(string(o.Holder), o.At, o.At.Add(1))
		})

		for _, text := range worker.TurnsIn(usersTurnPause, orders) {
			out = append(out, string(id)+": "+text)
		}
	}

	return out
}

// cutHeads is the trouble in which targets stop within the heads of some answers.
func (s *soak) cutHeads(engine, desk instance.ID) event {
	const answers = 20

	name := fmt.Sprintf("%s and %s stop within the heads of %d answers", engine, desk, answers)

	return s.faultyBoth(engine, desk, name, worker.Faults{CutHeads: answers})
}

// faultyBoth is the trouble in which an engine and a plain target have the same faults.
func (s *soak) faultyBoth(engine, desk instance.ID, name string, faults worker.Faults) event {
	set := func(f worker.Faults) {
		s.site.Workers[engine].SetFaults(f)
		s.site.Desks[desk].SetFaults(f)
	}

	return event{name: name, begin: func() { set(faults) }, end: func() { set(worker.Faults{}) }}
}
