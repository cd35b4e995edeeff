package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/standin/site"
)

const (
	// floodClients is the number of clients of a flood, and floodPause the pause between
	// two requests of each.
	floodClients = 24
	floodPause   = 10 * time.Millisecond
	// boundedMemoryMB is the memory that is stated to entries whose memory is bounded. It
	// is the smallest of the users' sites.
	boundedMemoryMB = 144
)

// floods counts the floods, so that their requests have ids of their own.
var floods atomic.Int64

// makeLoad are the troubles in which a team, or one model, gets far more requests than
// there is room for, and a target that is slow.
func (s *soak) makeLoad(draw *rand.Rand, engine instance.ID) []event {
	p := s.processes[draw.IntN(len(s.processes))]
	rare := site.Model(5 + draw.IntN(4)) //nolint:mnd // Neither the busy ones nor those that ready asks for.

	return []event{
		s.flood("the team with a limit floods", tight, kind{path: "/look/x", whole: func(string) bool { return true }}, s.processes),
		s.flood(fmt.Sprintf("model %s is crowded at %s", rare, p.name), free, kind{path: "/dossier/x", body: "text", model: rare, once: true, whole: stream}, []*process{p}),
		s.flood(fmt.Sprintf("model %s is crowded at all entries", rare), free, kind{path: "/dossier/x", body: "text", model: rare, once: true, whole: stream}, s.processes),
		linkTrouble("to "+string(engine), s.targets[engine], Slow, engine),
	}
}

// flood is a trouble in which clients of a team send requests of one kind to the
// processes without regard to their answers. It ends when all of them are answered.
func (s *soak) flood(name, team string, k kind, to []*process) event {
	var (
		clients sync.WaitGroup
		stop    context.CancelFunc
	)

	begin := func() {
		var ctx context.Context

		ctx, stop = context.WithCancel(context.Background())
		number := floods.Add(1)

		for i := range floodClients {
			clients.Go(func() {
				c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
				defer c.CloseIdleConnections()

				for n := 0; ctx.Err() == nil; n++ {
					s.ask(ctx, c, to[i%len(to)], team, fmt.Sprintf("soak-%s-flood%d-%d-%d", team, number, i, n), k)
					time.Sleep(floodPause)
				}
			})
		}
	}

	return event{name: name, begin: begin, end: func() {
		stop()
		clients.Wait()
	}}
}
