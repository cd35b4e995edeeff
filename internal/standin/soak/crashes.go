package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/serving/relay"
	"github.com/fulmarcross/fulmarcross/internal/standin/arrivals"
	"github.com/fulmarcross/fulmarcross/internal/standin/site"
	"github.com/fulmarcross/fulmarcross/internal/standin/worker"
	"github.com/fulmarcross/fulmarcross/platform"
)

// The users' rules on what crashes targets are judged from contact after so many deaths.
const (
	requestDeaths = 3
	partDeaths    = 5
	// crashLength is the least duration of such requests.
	crashLength = 2 * contact
	// crashPause is the longest pause between two of them, and leavesAfter how long an
	// impatient client waits.
	crashPause  = 600 * time.Millisecond
	leavesAfter = 20 * time.Millisecond
	// downLeast and downMost bound the time until an engine that has crashed is back.
	downLeast = 50 * time.Millisecond
	downMost  = 12 * time.Second
)

// crashingPart begins the name of a part of a prompt that crashes engines, and crashingBody
// the body of a request that does.
const (
	crashingPart = "bad"
	crashingBody = "crashing-"
)

// crashes records the requests that crash engines.
type crashes struct {
	mu       sync.Mutex
	arrivals []arrivals.Arrival
	died     []arrivals.Death
	// next numbers the series.
	next int
	// turned are the parts that have begun to crash engines.
	turned map[string]bool
}

// seriesOf returns the series of a request, empty if it crashes nothing.
func seriesOf(r platform.Request) string {
	if body := string(r.Body); strings.HasPrefix(body, crashingBody) {
		return body
	}

	for _, part := range r.SharedParts {
		if strings.HasPrefix(part, crashingPart) {
			return part
		}
	}

	return ""
}

// crash reports whether a request crashes engines now.
func (c *crashes) crash(r platform.Request) bool {
	series := seriesOf(r)
	if !strings.HasPrefix(series, turnedPart) {
		return series != ""
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	return c.turned[series]
}

// turn makes a part begin to crash engines.
func (c *crashes) turn(part string) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.turned == nil {
		c.turned = make(map[string]bool)
	}

	c.turned[part] = true
}

func (c *crashes) arrive(r platform.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.arrivals = append(c.arrivals, arrivals.Arrival{ID: r.ID, Series: seriesOf(r), At: time.Now()})
}

func (c *crashes) die(r platform.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.died = append(c.died, arrivals.Death{Series: seriesOf(r), At: time.Now()})
}

// deaths returns the number of engines that have crashed.
func (c *crashes) deaths() int {
	c.mu.Lock()
	defer c.mu.Unlock()

	return len(c.died)
}

// log returns what was recorded. Entries that are excused do not count.
func (c *crashes) log(excused func(sender string, from, to time.Time) bool) *arrivals.Log {
	c.mu.Lock()
	defer c.mu.Unlock()

	out := &arrivals.Log{Limits: arrivals.Limits{Contact: contact}, Arrivals: slices.Clone(c.arrivals), Deaths: slices.Clone(c.died), DeathsAllowed: deathsAllowed}
	for i, a := range out.Arrivals {
		out.Arrivals[i].SenderExcused = excused(senderOf(a.ID), a.At.Add(-contact), a.At)
	}

	return out
}

// deathsAllowed returns the deaths from which the requests of a series are judged.
func deathsAllowed(series string) int {
	if strings.HasPrefix(series, crashingPart) {
		return partDeaths
	}

	return requestDeaths
}

// holdingBusy describes engines that all hold the model that crashing requests ask for.
func holdingBusy(i int) site.EngineOptions {
	return site.EngineOptions{Software: "v1", Holding: []string{site.Model(0), site.Model(2*i + 1)}}
}

// crashEngines makes all engines crash on the requests that do so: they refuse connections,
// fall silent, or are back at once, and their rows stay or go.
func (s *soak) crashEngines() {
	for id, w := range s.site.Workers {
		w.SetCrash(worker.Crash{
			On:      s.crashes.crash,
			Arrives: s.crashes.arrive,
			Ends: func(r platform.Request) {
				s.crashes.die(r)
				s.crash(id)
			},
		})
	}
}

func (s *soak) crash(id instance.ID) {
	link := s.targets[id]
	down := site.LogUniform(rand.Float64(), downLeast, downMost) //nolint:gosec // No secret.

	s.site.End(id)

	if rand.IntN(2) == 0 { //nolint:gosec,mnd // Half of the rows.
		s.site.Expire(id)
	}

	switch rand.IntN(4) { //nolint:gosec,mnd // Mostly refused.
	case 0:
		link.set(Silent)
	case 1:
		down = 0
	default:
		link.end()
	}

	s.startAfter(id, down)
}

// startAfter starts the next process of a target that has crashed after a while.
func (s *soak) startAfter(id instance.ID, down time.Duration) {
	s.heal.Go(func() {
		time.Sleep(down)
		s.site.StartNext(id)

		if err := s.targets[id].startNext(); err != nil {
			s.book.mu.Lock()
			defer s.book.mu.Unlock()

			s.book.brokenf("%s does not start again: %v", id, err)
		}
	})
}

// soundPrompt returns the prompt of a sound request, whose first part crashing ones have too.
func (s *soak) soundPrompt(id string) string {
	if !s.Crashes && !s.Turned {
		return ""
	}

	return fmt.Sprintf("shared:10,good:10,%s:5", id)
}

// makeCrashes are the troubles in which clients send, at any entry, a request that crashes
// engines, or requests that have such a part in their prompts. Half of the clients leave at
// once.
func (s *soak) makeCrashes(draw *rand.Rand) []event {
	spacing := time.Duration(1 + draw.Int64N(int64(crashPause)))
	patience := callFor

	if draw.IntN(2) == 0 {
		patience = leavesAfter
	}

	s.crashes.next++
	number := s.crashes.next
	route := []string{"/note/x", "/dossier/x"}[draw.IntN(2)]
	body, part := fmt.Sprint(crashingBody, number), fmt.Sprint(crashingPart, number)

	return []event{
		s.answerWithoutEnd(draw),
		s.sendCrashing(crashingSeries{
			name: fmt.Sprintf("a request to %s crashes engines", route), least: crashLength, patience: patience, route: route, before: evenly(spacing),
			request: func(n int) (string, string) { return body, fmt.Sprintf("shared:10,new%d:5", n) },
		}),
		s.sendCrashing(crashingSeries{
			name: fmt.Sprintf("a part of prompts for %s crashes engines", route), least: crashLength, patience: patience, route: route, before: evenly(spacing),
			request: func(n int) (string, string) {
				return fmt.Sprint("part of ", number, " ", n), fmt.Sprintf("shared:10,%s:10,new%d:5", part, n)
			},
		}),
	}
}

// crashingSeries are requests that crash engines, numbered from zero.
type crashingSeries struct {
	name string
	// least is for how long they are sent at least, and patience how long their clients wait.
	least, patience time.Duration
	route           string
	// request returns what a request consists of.
	request func(n int) (body, prompt string)
	// before is called before a request is sent and returns the time until the next one.
	before func(n int) (pause time.Duration)
}

// evenly returns the same pause before all requests.
func evenly(pause time.Duration) func(int) time.Duration {
	return func(int) time.Duration { return pause }
}

// sendCrashing is a trouble in which clients send a series.
func (s *soak) sendCrashing(series crashingSeries) event {
	var clients sync.WaitGroup

	ctx, stop := context.WithCancel(s.ctx)

	begin := func() {
		clients.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				pause := series.before(n)

				clients.Go(func() { s.askCrashing(n, series) })
				time.Sleep(pause)
			}
		})
	}

	return event{name: series.name, least: series.least, begin: begin, end: func() {
		stop()
		clients.Wait()
	}}
}

func (s *soak) askCrashing(n int, series crashingSeries) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(s.ctx), series.patience)
	defer cancel()

	entry := rand.IntN(len(s.processes)) //nolint:gosec // No secret.
	body, prompt := series.request(n)

	id := fmt.Sprintf("soak-%s-%s-%d-%d", free, strings.ReplaceAll(body, " ", ""), entry*callersEach, n)

	if s.Turned {
		s.book.send(id, series.route) // They are most of what is sent, and allow as many retries.
	}

	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	// Its end is not judged: such requests are refused or fail.
	_, _ = site.AskOn(ctx, c, s.processes[entry].callers, series.route, body, relay.RequestInfo{
		ID: id, Timeout: callFor,
		Model: site.Model(0), Prompt: prompt, TokensIn: 10, TokensOut: tokens, Credentials: credentials(free),
	})
}
