package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/standin/worker"
)

const (
	// uploadLeast and uploadMost bound the lengths of long requests, in bytes.
	uploadLeast = 600 << 10
	uploadMost  = 3 << 20
	// uploads is the number of clients that send them, and resetMost the longest time from an early
	// answer to the reset of its connection.
	uploads   = 4
	resetMost = 100 * time.Millisecond
)

// makeAnswers are the troubles in which targets answer with invalid heads, and long requests before they
// have read them.
func (s *soak) makeAnswers(draw *rand.Rand, engine, desk instance.ID) []event {
	return []event{s.oddHeads(engine, desk), s.earlyAnswers(draw)}
}

// oddHeads is the trouble in which the heads of some answers are invalid.
func (s *soak) oddHeads(engine, desk instance.ID) event {
	const answers = 20

	name := fmt.Sprintf("the heads of %d answers of %s and %s are invalid", answers, engine, desk)

	return s.faultyBoth(engine, desk, name, worker.Faults{OddHeads: answers})
}

// earlyAnswers is the trouble in which clients send long requests and all plain targets answer some of
// them before they have read them.
func (s *soak) earlyAnswers(draw *rand.Rand) event {
	const answers = 20

	after := time.Duration(draw.Int64N(int64(resetMost)))
	body := strings.Repeat("lot ", (uploadLeast+draw.IntN(uploadMost-uploadLeast))/len("lot "))
	ctx, stop := context.WithCancel(s.ctx)

	s.uploadSeries++
	series := s.uploadSeries

	var clients sync.WaitGroup

	setAll := func(f worker.Faults) {
		for _, d := range s.site.Desks {
			d.SetFaults(f)
		}
	}

	return event{
		name: fmt.Sprintf("long requests of %d bytes are answered early, connections are reset after %v", len(body), after),
		begin: func() {
			setAll(worker.Faults{EarlyAnswers: answers, ResetAfter: after})

			for i := range uploads {
				clients.Go(func() { s.upload(ctx, fmt.Sprintf("up%d-%d", series, i), i, body) })
			}
		},
		end: func() {
			stop()
			clients.Wait()
			setAll(worker.Faults{})
		},
	}
}

// upload is one client that sends long requests until ctx ends.
func (s *soak) upload(ctx context.Context, name string, number int, body string) {
	whole := func(got string) bool { return got == "done: "+body }
	kinds := []kind{{path: "/book/x", body: body, once: true, whole: whole}, {path: "/look/x", body: body, whole: whole}}
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}

	defer c.CloseIdleConnections()

	for n := 0; ctx.Err() == nil; n++ {
		p := s.processes[(number+n)%len(s.processes)]

		s.ask(ctx, c, p, free, fmt.Sprintf("soak-%s-%s-%d-%d", free, name, s.callerOf(p), n), kinds[n%len(kinds)])
		time.Sleep(callPause / 4) //nolint:mnd // Short.
	}
}
