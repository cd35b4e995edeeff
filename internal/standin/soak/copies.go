package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
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

const (
	// copiesLead is the time of sound requests before the first copy, and copiesTail that after the
	// last one in which requests may still arrive.
	copiesLead = 3 * time.Second
	copiesTail = 6 * time.Second
	// copyFor is the timeout of a request to a plain target.
	copyFor = time.Second
	// dyingMoment is how old the connections are that a dying target still answers.
	dyingMoment = 20 * time.Millisecond
	// copiesSeries names the requests that crash targets.
	copiesSeries = "copies"
)

// CopiesOptions configure a play in which clients send copies of a request that crashes each plain
// target that runs it, and sound requests at a steady rate, whatever is answered.
type CopiesOptions struct {
	Seed             uint64
	Entries, Targets int
	// Copies are sent at once, at entries at random, every Gap for Length.
	Copies      int
	Gap, Length time.Duration
	// Retried says that the copies are idempotent.
	Retried bool
	// Down is how long a target that has crashed is down.
	Down time.Duration
	// Still is the share of the targets that stand still for StillFor from the first copy on: their
	// connections open and they read nothing.
	Still    float64
	StillFor time.Duration
	// AcceptTime is how long a target takes to accept a connection.
	AcceptTime time.Duration
	// Answers says that dying targets answer copies without content.
	Answers bool
	// Sound is the number of sound requests a second, of which all are the same if Same is set.
	Sound float64
	Same  bool
	// Part says that requests which have only a part of their prompts in common are sent in place of
	// copies, and Before how often they run soundly first.
	Part   bool
	Before int
	// Every says that only each so-manieth of the requests with the part crashes its target, and the
	// others run soundly. Zero means that each does.
	Every int
	// Burst is the operators' burst of retries.
	Burst float64
	// Command starts an entry, with Env added to its environment.
	Command, Env []string
	// Dir is the directory for settings and logs.
	Dir string
}

// CopiesReport is the result of such a play.
type CopiesReport struct {
	// Lines are those of the users' rule on retries.
	Lines  []arrivals.Line
	Deaths int
	// Sound counts the sound requests, and Served those that were answered. ServedAfter is the share
	// of the last third that was.
	Sound, Served int
	ServedAfter   float64
}

// copies is such a play.
type copies struct {
	CopiesOptions

	*soak

	mu       sync.Mutex
	requests map[string]arrivals.Request
	deaths   []arrivals.Death
	sound    []soundAnswer
	// armed is when copies began to crash targets, zero until then.
	armed time.Time
}

type soundAnswer struct {
	sent   time.Time
	served bool
}

// PlayCopies plays copies of a request that crashes targets and returns what reached the targets.
func PlayCopies(ctx context.Context, opt CopiesOptions) (CopiesReport, error) {
	s := &soak{Options: Options{Entries: opt.Entries, Command: opt.Command, Env: opt.Env, Dir: opt.Dir}, ctx: ctx, targets: make(map[instance.ID]*proxy)}
	c := &copies{CopiesOptions: opt, soak: s, requests: make(map[string]arrivals.Request)}

	if err := os.MkdirAll(opt.Dir, 0o700); err != nil { //nolint:mnd // For this user.
		return CopiesReport{}, err
	}

	var err error
	if s.site, err = site.Start(ctx, site.Options{Log: io.Discard, Front: c.front, Desks: opt.Targets}); err != nil {
		return CopiesReport{}, err
	}
	defer s.site.Close()
	defer s.end()

	s.ownBurst = opt.Burst

	if err := s.launch(); err != nil {
		return CopiesReport{}, err
	}

	if err := s.ready(ctx, startTime); err != nil {
		return CopiesReport{}, err
	}

	for id, d := range s.site.Desks {
		d.SetCrash(worker.Crash{On: c.crashes, Answers: opt.Answers, Ends: func(platform.Request) { c.crash(id) }})
	}

	c.play(ctx)

	return c.report(), ctx.Err()
}

// front does what soak.front does for targets that accept slowly.
func (c *copies) front(id instance.ID, own netip.AddrPort) (netip.AddrPort, error) {
	at, err := c.soak.front(id, own)
	if err == nil && strings.HasPrefix(string(id), site.Desk) {
		c.targets[id].acceptTime.Store(int64(c.AcceptTime))
	}

	return at, err
}

// crashes reports whether a request crashes its target now: a copy, or one with the part that is sent in
// place of copies.
func (c *copies) crashes(r platform.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return !c.armed.IsZero() && strings.HasPrefix(string(r.Body), crashingBody)
}

// crash ends a target, which is back after a while.
func (c *copies) crash(id instance.ID) {
	c.mu.Lock()
	c.deaths = append(c.deaths, arrivals.Death{Series: copiesSeries, At: time.Now()})
	c.mu.Unlock()

	link := c.targets[id]

	c.site.End(id)

	if c.Answers {
		link.endSparing(dyingMoment)
	} else {
		link.end()
	}

	c.startAfter(id, c.Down)
}

// play sends sound requests from the start, and copies from copiesLead on.
func (c *copies) play(ctx context.Context) {
	draw := rand.New(rand.NewPCG(c.Seed, 1)) //nolint:gosec // No secret.
	sound, stop := context.WithCancel(ctx)

	var clients sync.WaitGroup

	clients.Go(func() { c.sendSound(sound, &clients) })
	c.lead(&clients)
	c.standStill()

	c.mu.Lock()
	c.armed = time.Now()
	c.mu.Unlock()

	n := 0

	for end := time.Now().Add(c.Length); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(c.Gap) {
		for range c.Copies {
			entry, id := draw.IntN(c.Entries), fmt.Sprintf("copy-%d", draw.Uint64())

			if n++; n%max(1, c.Every) != 0 {
				clients.Go(func() { c.sendSpared(entry, "spared-"+id) })

				continue
			}

			clients.Go(func() { c.sendCopy(entry, id) })
		}
	}

	time.Sleep(copiesTail)
	stop()
	clients.Wait()
	c.heal.Wait()
}

// lead sends the copies that run soundly first.
func (c *copies) lead(clients *sync.WaitGroup) {
	if c.Before == 0 {
		time.Sleep(copiesLead)

		return
	}

	for i := range c.Before {
		clients.Go(func() { c.sendCopy(i%c.Entries, fmt.Sprintf("copy-before-%d", i)) })
		time.Sleep(2 * copiesLead / time.Duration(c.Before)) //nolint:mnd // Twice as long as without them.
	}

	time.Sleep(copiesLead)
}

// standStill makes some targets stand still for a while. What reaches them meanwhile is read later,
// also if its sender has closed the connection.
func (c *copies) standStill() {
	n := int(c.Still * float64(c.Targets))

	for i := range n {
		link := c.targets[instance.ID(fmt.Sprintf("desk-%d", i))]
		link.set(Silent)
		time.AfterFunc(c.StillFor, func() { link.set(Calm) })
	}
}

// sendSound sends sound requests at a steady rate until ctx ends.
func (c *copies) sendSound(ctx context.Context, clients *sync.WaitGroup) {
	if c.Sound <= 0 {
		return
	}

	every := time.NewTicker(time.Duration(float64(time.Second) / c.Sound))
	defer every.Stop()

	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-every.C:
		}

		body := "the same"
		if !c.Same {
			body = fmt.Sprint("lot ", n)
		}

		clients.Go(func() {
			sent := time.Now()
			r, err := c.send(n%c.Entries, "/look/x", body, relay.RequestInfo{ID: fmt.Sprint("sound-", n), Prompt: c.prompt("sound", n)}, 2) //nolint:mnd // As the demo's routes.
			served := err == nil && r.Status == http.StatusOK && r.Whole

			c.mu.Lock()
			defer c.mu.Unlock()

			c.sound = append(c.sound, soundAnswer{sent, served})
		})
	}
}

// sendCopy sends one copy. Its end is not judged: it is refused or fails.
func (c *copies) sendCopy(entry int, id string) {
	body, ask := crashingBody+"copy", relay.RequestInfo{ID: id}
	if c.Part {
		body, ask.Prompt = crashingBody+id, partPrompt(id)
	}

	if c.Retried {
		_, _ = c.send(entry, "/look/x", body, ask, 2) //nolint:mnd // As the demo's routes.
	} else {
		_, _ = c.send(entry, "/book/x", body, ask, 1)
	}
}

// sendSpared sends a request that has the part and runs soundly.
func (c *copies) sendSpared(entry int, id string) {
	_, _ = c.send(entry, "/look/x", id, relay.RequestInfo{ID: id, Prompt: partPrompt(id)}, 2) //nolint:mnd // As the demo's routes.
}

// partPrompt returns a prompt with the part.
func partPrompt(id string) string { return "first:80,bad:20," + id + ":5" }

// prompt returns the prompt of a sound request, which has the first part of crashing ones.
func (c *copies) prompt(name string, n int) string {
	if !c.Part {
		return ""
	}

	return fmt.Sprintf("first:80,%s%d:5", name, n)
}

func (c *copies) send(entry int, path, body string, ask relay.RequestInfo, attempts int) (site.Reply, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(c.ctx), copyFor+time.Second)
	defer cancel()

	c.mu.Lock()
	c.requests[ask.ID] = arrivals.Request{Service: site.Desk, Sent: time.Now(), Timeout: copyFor, Attempts: attempts}
	c.mu.Unlock()

	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

	ask.Timeout = copyFor

	return site.AskOn(ctx, client, c.processes[entry].callers, path, body, ask)
}

// deathsAllowed returns the deaths from which the copies are judged.
func (c *copies) deathsAllowed() int {
	if c.Part {
		return partDeaths
	}

	return requestDeaths
}

// report judges what reached the targets.
func (c *copies) report() CopiesReport {
	c.mu.Lock()
	defer c.mu.Unlock()

	log := arrivals.Log{
		Limits:   arrivals.Limits{Ratio: retryRatio, Burst: c.Burst, Window: retryWindow, Contact: contact},
		Requests: c.requests, Deaths: c.deaths, DeathsAllowed: func(string) int { return c.deathsAllowed() },
	}

	for id, d := range c.site.Desks {
		for _, a := range d.Arrivals() {
			arrival := arrivals.Arrival{ID: a.ID, Service: site.Desk, Target: id, At: a.At, Left: a.Timeout}
			if strings.HasPrefix(a.ID, "copy-") && a.At.After(c.armed) {
				arrival.Series = copiesSeries
			}

			log.Arrivals = append(log.Arrivals, arrival)
		}
	}

	out := CopiesReport{Lines: log.Judge(), Deaths: len(c.deaths), Sound: len(c.sound)}
	last, lastServed := 0, 0
	lastThird := time.Now().Add(-(c.Length + copiesTail) / 3) //nolint:mnd // As named.

	for _, s := range c.sound {
		if s.served {
			out.Served++
		}

		if s.sent.After(lastThird) {
			last++

			if s.served {
				lastServed++
			}
		}
	}

	out.ServedAfter = float64(lastServed) / float64(max(1, last))

	return out
}
