package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/serving/relay"
	"github.com/fulmarcross/fulmarcross/internal/standin/site"
)

// The users' rules on streams that clients take up. At most maxMixed streams hold events of
// several versions of the software. Of minTaken or more that are taken up at entries that are
// not excused, at least minGoneOn of the share of new streams that begin go on.
const (
	maxMixed  = 2
	minTaken  = 12
	minGoneOn = 0.5
	// streamClients is the number of clients that take streams up, and streamTokens the
	// number of events of each stream.
	streamClients = 16
	streamTokens  = 60
	// maxTries is how often a client tries to get a whole stream.
	maxTries = 3
	// drain is how long an engine serves on after it has said that it leaves.
	drain = 2 * time.Second
	// breakOff is the share of streams whose client loses its connection.
	breakOff = 0.2
)

// versions are the software that engines have, in no order.
var versions = []instance.Software{"v1", "v1.1", "v1.2"}

// sideBySide returns an engine's options where two versions serve from the start.
func sideBySide(i int) site.EngineOptions {
	return site.EngineOptions{Software: versions[i%2], Holding: []string{site.Model(0), site.Model(1)}}
}

// release is the trouble in which an engine leaves and starts again, empty, with other
// software. An engine that is leaving does not leave once more.
func (s *soak) release(draw *rand.Rand, engine instance.ID) event {
	to := versions[draw.IntN(len(versions))]
	began := false

	return event{
		name: fmt.Sprintf("%s leaves for %s", engine, to), least: drain, most: drain,
		begin: func() {
			if began = !s.site.Workers[engine].Leaving(); began {
				s.site.Leave(engine)
			}
		},
		end: func() {
			if began {
				s.startNext(engine, to)
			}
		},
		excuses: string(engine),
	}
}

// startNext makes an engine a new process of the software, which holds nothing.
func (s *soak) startNext(engine instance.ID, to instance.Software) {
	s.targets[engine].set(Reset)
	s.site.Upgrade(engine, to)
	s.targets[engine].set(Calm)
}

// streams counts the streams of clients that take them up.
type streams struct {
	mu sync.Mutex
	// asked and begun count new streams, taken and goneOn those that were taken up.
	asked, begun, taken, goneOn int
	mixed                       []string
}

func (c *streams) count(n *int, when bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if when {
		*n++
	}
}

func (c *streams) addMixed(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.mixed = append(c.mixed, what)
}

// broken describes the broken rules.
func (c *streams) broken() []string {
	c.mu.Lock()
	defer c.mu.Unlock()

	var out []string
	if len(c.mixed) > maxMixed {
		out = append(out, fmt.Sprintf("%d streams hold events of several versions: %v", len(c.mixed), c.mixed[:maxMixed+1]))
	}

	fresh := float64(c.begun) / float64(max(1, c.asked))
	if share := float64(c.goneOn) / float64(max(1, c.taken)); c.taken >= minTaken && share < minGoneOn*fresh {
		out = append(out, fmt.Sprintf("%d of %d streams that were taken up went on, and %d of %d new ones began", c.goneOn, c.taken, c.begun, c.asked))
	}

	return out
}

// takeUp is one client that takes its streams up at any entry until it has them whole.
func (s *soak) takeUp(ctx context.Context, client int) {
	draw := rand.New(rand.NewPCG(s.Seed, uint64(1e6+client))) //nolint:gosec // No secret, and small.

	for n := 0; ctx.Err() == nil; n++ {
		s.wholeStream(draw, fmt.Sprintf("soak-%s-stream-%d-%d", free, client, n))
		time.Sleep(time.Duration(draw.Int64N(int64(callPause))))
	}
}

// wholeStream tries to get a stream whole.
func (s *soak) wholeStream(draw *rand.Rand, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*callFor)
	defer cancel()

	var events []site.Event

	for try := range maxTries {
		p := s.processes[draw.IntN(len(s.processes))]
		ask := relay.RequestInfo{ID: fmt.Sprintf("%s-%d", id, try), Timeout: callFor, Model: site.Model(0), TokensIn: 10, TokensOut: streamTokens, Credentials: credentials(free)}

		resumes := len(events) > 0
		if resumes {
			ask.FirstAttempt, ask.LastEvent = id, strconv.Itoa(events[len(events)-1].Number)
		} else {
			id = ask.ID
		}

		atMost := streamTokens + 1
		if draw.Float64() < breakOff {
			atMost = 1 + draw.IntN(streamTokens)
		}

		s.book.send(ask.ID, "/note/x")

		began := time.Now()
		r, _ := site.AskFor(ctx, &site.Entry{Callers: p.callers}, atMost, "/note/x", "text"+id, ask) // The events that arrived count.
		got := site.Events(r.Body)
		events = append(events, got...)

		calm := !s.excuses.overlap(p.name, began.Add(-contact), time.Now())

		if resumes {
			s.streams.count(&s.streams.taken, calm)
			s.streams.count(&s.streams.goneOn, calm && len(got) > 0)
		} else {
			s.streams.count(&s.streams.asked, calm)
			s.streams.count(&s.streams.begun, calm && len(got) > 0)
		}

		if len(events) > 0 && site.Mixed(events) {
			s.streams.addMixed(fmt.Sprintf("%s at try %d at %s: %v then %v", id, try, p.name, events[0].By, events[len(events)-1].By))

			return
		}

		if len(events) >= streamTokens || r.Status == http.StatusNotFound {
			return
		}
	}
}
