// Package soak runs real entries, each as a process of its own, between stand-ins of
// the store and the targets. It injects faults that a seed determines, and checks the
// promises by what clients and targets record.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
	"github.com/fulmarcross/fulmarcross/internal/standin/arrivals"
	"github.com/fulmarcross/fulmarcross/internal/standin/site"
	"github.com/fulmarcross/fulmarcross/internal/standin/worker"
)

const (
	// grace is how long a graceful shutdown may take, and turnPause the time within
	// which orders of two holders must not alternate, as in package site.
	grace     = 6 * time.Second
	turnPause = 600 * time.Millisecond
	// restartAfter is the time between the end of a process and its restart.
	restartAfter = 150 * time.Millisecond
	// stepMost is the longest time between the starts of two faults, and troubleMost
	// the longest duration of a fault. Faults overlap.
	stepMost    = 900 * time.Millisecond
	troubleMost = 4 * time.Second
	// recovery is the time after the last fault within which every request must be
	// served again.
	recovery = 12 * time.Second
	// startTime limits the time until all processes have started.
	startTime = 20 * time.Second
	// callersEach is the number of clients of each entry.
	callersEach = 4
)

// Options configure a soak.
type Options struct {
	Seed    uint64
	Entries int
	// Length is the time during which faults begin.
	Length time.Duration
	// RateLimits adds targets that state rate limits to the troubles.
	RateLimits bool
	// Statements adds targets that leave by their answers alone, and that turn requests
	// away and ask for rest.
	Statements bool
	// Load adds floods by a team and for a model, and slow targets. The memory of every
	// second entry is bounded.
	Load bool
	// Reach adds entries that are cut off from all targets, and targets that are brittle or
	// silent for a second.
	Reach bool
	// Changes adds series of large configurations.
	Changes bool
	// Software has engines of several versions side by side, adds releases in no order, and
	// clients that take their streams up at any entry.
	Software bool
	// Crashes adds requests, and parts of prompts, that crash engines.
	Crashes bool
	// Returns has the store come back from copies, and targets leave by the list alone.
	Returns bool
	// Signals adds SIGHUP after SIGTERM, most entries that are killed at once, and all of them.
	Signals bool
	// Turns adds lease holders in turn.
	Turns bool
	// Heads adds answers that end within their heads.
	Heads bool
	// Answers adds answers with invalid heads, and long requests that are answered before they are read.
	Answers bool
	// Turned adds parts of prompts that have run soundly and then crash engines.
	Turned bool
	// Retries makes the limit on retries small.
	Retries bool
	// Told says that engines answer orders and requests for a report twice, report models that are
	// old, and start anew.
	Told bool
	// Endless adds answers without end, at full speed.
	Endless bool
	// LateBodies adds planned stops while requests arrive whose bodies come late.
	LateBodies bool
	// Memory checks what memory each process takes.
	Memory bool
	// Command starts an entry, with Env added to its environment.
	Command, Env []string
	// Dir is the directory for settings and logs.
	Dir string
	// Progress receives a line for each fault. It may be nil.
	Progress io.Writer
	// Traces receives, of the processes that do not serve, log lines and the stacks of all goroutines
	// after the last fault. It may be nil.
	Traces io.Writer
}

// soak is a running soak.
type soak struct {
	Options

	site *site.Site
	// mu guards processes while they are launched.
	mu        sync.Mutex
	processes []*process
	stores    []*proxy
	targets   map[instance.ID]*proxy
	book      book
	excuses   excuses
	cuts      cuts
	owners    owners
	series    series
	streams   streams
	crashes   crashes
	returns   returns
	// lateSeries numbers the planned stops beside late bodies.
	lateSeries int
	// uploadSeries numbers the troubles with long requests.
	uploadSeries int
	// ownBurst is the burst of the limit on retries, unless it is zero.
	ownBurst float64
	// harmed are the times in which processes were killed or frozen, and thawed those right after
	// they were thawed.
	harmed, thawed excuses
	// heal counts the faults that have not ended.
	heal  sync.WaitGroup
	began time.Time
	// ctx ends with the soak.
	ctx context.Context //nolint:containedctx // Events have none.
}

// Run runs a soak and returns its report.
func Run(ctx context.Context, opt Options) (Report, error) {
	s := &soak{Options: opt, ctx: ctx, targets: make(map[instance.ID]*proxy)}

	if err := os.MkdirAll(opt.Dir, 0o700); err != nil { //nolint:mnd // For this user.
		return Report{}, err
	}

	var err error
	if s.site, err = site.Start(ctx, s.siteOptions()); err != nil {
		return Report{}, err
	}
	defer s.site.Close()
	defer s.end()

	if err := s.launch(); err != nil {
		return Report{}, err
	}

	if err := s.ready(ctx, startTime); err != nil {
		return Report{}, err
	}

	if opt.Crashes || opt.Turned {
		s.crashEngines()
	}

	if opt.LateBodies {
		s.allowLateBodies()
	}

	if opt.Returns {
		go s.copyStore()
	}

	s.began = time.Now()
	calls, stop := context.WithCancel(ctx)

	callers := s.startCallers(calls)

	if s.Memory {
		callers.Go(func() { s.watchMemory(calls) })
	}

	s.trouble(ctx)
	s.heal.Wait()
	s.withdrawLimits()

	recovered := s.ready(ctx, recovery)
	s.writeTraces(recovered)

	stop()
	callers.Wait()

	r := s.book.report(s.site, recovered)
	r.Crashed, r.Lines = s.crashes.deaths(), s.lines()
	r.Broken = append(r.Broken, s.broken(r.Lines)...)
	r.Opened = s.opened()
	r.Taken, r.GoneOn, r.Mixed = s.streams.taken, s.streams.goneOn, s.streams.mixed

	return r, ctx.Err()
}

// opened returns the number of connections to the store by each entry, and to each target.
func (s *soak) opened() map[string]int64 {
	out := make(map[string]int64)

	for i, p := range s.stores {
		out[s.processes[i].name+" to the store"] = p.opened.Load()
	}

	for id, p := range s.targets {
		out["to "+string(id)] = p.opened.Load()
	}

	return out
}

// startCallers starts the clients, which end with ctx.
func (s *soak) startCallers(ctx context.Context) *sync.WaitGroup {
	var callers sync.WaitGroup

	for i, p := range s.processes {
		for j := range callersEach {
			callers.Go(func() { s.call(ctx, p, i*callersEach+j) })
		}

		if s.Turns {
			callers.Go(func() { s.callAdapters(ctx, p, i*callersEach+1) })
		}
	}

	if s.Software {
		for i := range streamClients {
			callers.Go(func() { s.takeUp(ctx, i) })
		}
	}

	return &callers
}

// broken describes what broke the rules, after all requests have ended.
func (s *soak) broken(lines []arrivals.Line) []string {
	return slices.Concat(
		s.exceeded(), s.unheard(), s.cuts.broken(&s.book, &s.excuses), s.series.found(), s.streams.broken(),
		describe(lines), s.reachedLeaving(), s.endedAlone(), s.lostAnswers(), s.tooMuchMemory(), s.turns(),
	)
}

func (s *soak) siteOptions() site.Options {
	o := site.Options{Log: io.Discard, Front: s.front, Teams: teams(), Keys: keys}

	if s.Crashes || s.Turned {
		o.Engine = holdingBusy
	}

	if s.Software {
		o.Engine = sideBySide
	}

	return o
}

// front starts a proxy in front of a target and returns its address.
func (s *soak) front(id instance.ID, own netip.AddrPort) (netip.AddrPort, error) {
	var owner func(net.Conn) string
	if s.Reach {
		owner = s.ownerOf
	}

	p, err := newProxy(own, owner)
	if err != nil {
		return own, err
	}

	p.smallBuffers.Store(s.Answers)
	s.targets[id] = p

	return p.address()
}

// launch starts the entries, each with its own link to the store.
func (s *soak) launch() error {
	var seed netip.AddrPort

	for i := range s.Entries {
		_, at, err := s.site.Door()
		if err != nil {
			return err
		}

		link, err := newProxy(at, nil)
		if err != nil {
			return err
		}

		s.stores = append(s.stores, link)

		store, err := link.address()
		if err != nil {
			return err
		}

		p, peers, err := newProcess(s.Dir, s.entryOptions(i), s.Command, s.Env, store, seed)
		if err != nil {
			return err
		}

		seed = peers

		s.mu.Lock()
		s.processes = append(s.processes, p)
		s.mu.Unlock()

		if err := p.start(); err != nil {
			return err
		}
	}

	return nil
}

func (s *soak) end() {
	var all sync.WaitGroup
	for _, p := range s.processes {
		all.Go(p.end)
	}

	all.Wait()

	for _, p := range s.stores {
		p.close()
	}

	for _, p := range s.targets {
		p.close()
	}
}

// trouble begins the faults that the seed determines. Each ends in a goroutine of its
// own.
func (s *soak) trouble(ctx context.Context) {
	draw := rand.New(rand.NewPCG(s.Seed, 0)) //nolint:gosec // No secret.

	for time.Since(s.began) < s.Length && ctx.Err() == nil {
		what, length := s.draw(draw), time.Duration(draw.Int64N(int64(troubleMost)))

		if s.Progress != nil {
			_, _ = fmt.Fprintf(s.Progress, "%6.2f s  %s for %v\n", time.Since(s.began).Seconds(), what.name, length.Round(time.Millisecond))
		}

		length = max(length, what.least)
		if what.most > 0 {
			length = min(length, what.most)
		}

		s.heal.Go(func() {
			began := time.Now()

			what.begin()
			time.Sleep(length)

			if what.end != nil {
				what.end()
			}

			if what.excuses != "" {
				s.excuses.add(what.excuses, began, time.Now().Add(what.after))
			}
		})
		time.Sleep(time.Duration(draw.Int64N(int64(stepMost))))
	}
}

// event is a fault, with functions that begin and end it. A nil end does nothing.
type event struct {
	name       string
	begin, end func()
	// excuses is the process or target that it excuses from the rules on what targets
	// state, if any, until after its end.
	excuses string
	after   time.Duration
	// least and most bound the duration, unless they are zero.
	least, most time.Duration
}

// linkTrouble is a fault of a link. If the link leads to a target and the fault cuts it
// off, the target is excused.
func linkTrouble(name string, p *proxy, link Trouble, target instance.ID) event {
	e := event{name: fmt.Sprintf("link %s is %s", name, link), begin: func() { p.set(link) }, end: func() { p.set(Calm) }}
	if link == Silent || link == OneWay {
		e.excuses = string(target)
	}

	return e
}

// storeTrouble is a fault of an entry's link to the store, which excuses the entry from the rules on
// what the store says.
func storeTrouble(name string, p *proxy, link Trouble) event {
	e := linkTrouble("of "+name+" to the store", p, link, "")
	e.excuses = storeOf(name)

	return e
}

var linkTroubles = []Trouble{Slow, Silent, OneWay, Reset}

// draw draws a fault.
func (s *soak) draw(draw *rand.Rand) event {
	p := s.processes[draw.IntN(len(s.processes))]
	store := draw.IntN(len(s.stores))
	engine := instance.ID(fmt.Sprintf("engine-%d", draw.IntN(len(s.site.Workers))))
	desk := instance.ID(fmt.Sprintf("desk-%d", draw.IntN(len(s.site.Desks))))
	link := linkTroubles[draw.IntN(len(linkTroubles))]

	all := []event{
		{name: p.name + " is killed", begin: func() { s.kill(p) }, excuses: p.name, after: backAfter},
		{name: p.name + " is stopped", begin: func() { p.signal(syscall.SIGTERM) }, excuses: p.name, after: stoppedAfter},
		{name: p.name + " is paused", begin: func() { s.freeze(p) }, end: func() { s.thaw(p) }, excuses: p.name},
		storeTrouble(s.processes[store].name, s.stores[store], link),
		linkTrouble("to "+string(engine), s.targets[engine], link, engine),
		linkTrouble("to "+string(desk), s.targets[desk], link, desk),
		{name: "orders of " + string(engine) + " are late", begin: func() {
			s.site.Workers[engine].SetFaults(worker.Faults{LateOrders: 2, Late: troubleMost / 2, LostOrders: 1}) //nolint:mnd // Some.
		}},
		{name: string(desk) + " leaves", begin: func() { s.site.Leave(desk) }, end: func() { s.restart(desk) }},
		{name: "the configuration changes", begin: func() {
			s.site.PutConfig(func(c *route.Config) { c.Routes[0].Attempts = 2 + int(c.Version%2) }) //nolint:mnd,gosec // Either.
		}},
	}

	all = append(all, s.drawOfTargets(draw, p, engine, desk)...)
	all = append(all, s.drawOfRecovery(draw, p, engine, desk)...)

	return all[draw.IntN(len(all))]
}

// drawOfTargets draws the optional faults of targets, of the load and of the configuration.
func (s *soak) drawOfTargets(draw *rand.Rand, p *process, engine, desk instance.ID) []event {
	var all []event

	if s.RateLimits {
		all = append(all, s.stateLimits(draw, engine, desk)...)
	}

	if s.Statements {
		all = append(all, s.makeStatements(draw, engine, desk)...)
	}

	if s.Load {
		all = append(all, s.makeLoad(draw, engine)...)
	}

	if s.Reach {
		all = append(all, s.makeReach(draw, p, engine, desk)...)
	}

	if s.Changes {
		all = append(all, s.makeSeries(), s.dropModels(draw))
	}

	if s.Software {
		all = append(all, s.release(draw, engine), s.release(draw, engine))
	}

	return all
}

// drawOfRecovery draws the optional faults that end processes, of the store and of answers.
func (s *soak) drawOfRecovery(draw *rand.Rand, p *process, engine, desk instance.ID) []event {
	var all []event

	if s.Crashes {
		all = append(all, s.makeCrashes(draw)...)
	}

	if s.Returns {
		all = append(all, s.makeReturns(draw, desk)...)
	}

	if s.Signals {
		all = append(all, s.makeSignals(draw, p)...)
	}

	if s.Turns {
		all = append(all, s.holdersInTurn(), s.holdersInTurn())
	}

	if s.Told {
		all = append(all, s.answerTwice(draw, engine), s.answerTwice(draw, engine), s.startAnew(engine))
	}

	if s.Endless {
		all = append(all, s.makeEndless(draw, engine)...)
	}

	if s.LateBodies {
		all = append(all, s.stopBesideLateBodies(draw, p), s.stopBesideLateBodies(draw, p))
	}

	if s.Heads {
		all = append(all, s.cutHeads(engine, desk), s.cutHeads(engine, desk))
	}

	if s.Answers {
		all = append(all, s.makeAnswers(draw, engine, desk)...)
	}

	if s.Turned {
		all = append(all, s.turnedPart(draw), s.turnedPart(draw))
	}

	return all
}
