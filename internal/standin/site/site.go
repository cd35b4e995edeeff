// Package site is a small deployment on loopback in one process: stand-ins of the
// store, of model workers and of a plain service, and real entries.
package site

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/customer/team"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/inventory"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
	"github.com/fulmarcross/fulmarcross/internal/standin/network"
	"github.com/fulmarcross/fulmarcross/internal/standin/rows"
	"github.com/fulmarcross/fulmarcross/internal/standin/worker"
	"github.com/fulmarcross/fulmarcross/platform"
)

// Host is the host of the demo's routes.
const Host = "demo.example"

// The demo's services.
const (
	Drafting = "drafting"
	Desk     = "desk"
)

const (
	engines = 4
	desks   = 2
	// models is the number of models. Three fit on an engine.
	models  = 16
	modelMB = 60
	// cold is the duration of a load from an engine's disk.
	cold = 150 * time.Millisecond
	// goal is the latency objective of streams. Their clients wait four times as long.
	goal = 2 * time.Second
	// turnPause and grace are shorter than on the users' sites.
	turnPause = 600 * time.Millisecond
	grace     = 6 * time.Second
)

// Options configure a site.
type Options struct {
	// Entries is the number of entries, which run in this process.
	Entries int
	Log     io.Writer
	// Teams are in force from the start, with the keys of each by its name.
	Teams []team.Team
	Keys  map[string][]string
	// Network replaces the machine's network, for tests in simulated time. It may be nil.
	Network *network.Network
	// Front returns the address under which a target is listed, which must forward to
	// its own. If it is nil, targets are listed under their own addresses.
	Front func(id instance.ID, own netip.AddrPort) (netip.AddrPort, error)
	// MemoryMB bounds the memory of each entry, unless it is zero.
	MemoryMB float64
	// Engines is the number of model engines; zero means four. Desks is that of the plain targets;
	// zero means two.
	Engines, Desks int
	// Engine describes an engine. If it is nil, all engines have the same software and hold
	// two models each.
	Engine func(i int) EngineOptions
}

// Site is a running deployment.
type Site struct {
	Store   *rows.Store
	Workers map[instance.ID]*worker.Worker
	Desks   map[instance.ID]*worker.Plain
	Entries []*Entry

	mu     sync.Mutex
	config *route.Config
	// keys are the keys of each team.
	keys    map[string][]string
	targets map[instance.ID]inventory.Target
	// unlisted are the targets whose rows are not written, and down those that have crashed,
	// whose rows stay as they are.
	unlisted, down map[instance.ID]bool
	// written are the rows of targets as they were last written.
	written map[instance.ID]inventory.Target
	// again is when targets write their rows again after a return of the store, expired when
	// rows of others are removed, and configAgain when the operator writes again.
	again, expired map[instance.ID]time.Time
	configAgain    time.Time
	handler        map[instance.ID]platform.Worker
	front          func(instance.ID, netip.AddrPort) (netip.AddrPort, error)
	network        *network.Network
	memoryMB       float64
	cancel         context.CancelFunc
	wg             sync.WaitGroup
	closers        []io.Closer
}

// Model returns the name of a model.
func Model(i int) string { return fmt.Sprintf("model-%d", i) }

// Start starts a site. Close stops it.
func Start(ctx context.Context, opt Options) (*Site, error) {
	ctx, cancel := context.WithCancel(ctx)
	s := &Site{
		Store: &rows.Store{}, Workers: make(map[instance.ID]*worker.Worker), Desks: make(map[instance.ID]*worker.Plain),
		targets: make(map[instance.ID]inventory.Target), handler: make(map[instance.ID]platform.Worker), cancel: cancel,
		front: opt.Front, network: opt.Network, memoryMB: opt.MemoryMB, unlisted: make(map[instance.ID]bool), down: make(map[instance.ID]bool), written: make(map[instance.ID]inventory.Target),
		expired: make(map[instance.ID]time.Time),
	}
	s.config = demo()

	if err := s.PutTeams(opt.Teams, opt.Keys); err != nil {
		cancel()

		return nil, err
	}

	engineOf := opt.Engine
	if engineOf == nil {
		engineOf = defaultEngine
	}

	for i := range cmp.Or(opt.Engines, engines) {
		e := engineOf(i)
		w := &worker.Worker{Engine: s.config.Services[Drafting].Engine, Software: e.Software, Holding: e.Holding}

		for m := range models / 2 {
			w.OnDisk = append(w.OnDisk, Model((i+2*m)%models), Model((i+2*m+1)%models))
		}

		id := instance.ID(fmt.Sprintf("engine-%d", i))
		s.Workers[id] = w

		if err := s.target(id, Drafting, 8, w); err != nil {
			return nil, err
		}
	}

	for i := range cmp.Or(opt.Desks, desks) {
		id := instance.ID(fmt.Sprintf("desk-%d", i))
		s.Desks[id] = &worker.Plain{}

		if err := s.target(id, Desk, 6, s.Desks[id]); err != nil {
			return nil, err
		}
	}

	// All targets are listed before entries read the list. Otherwise a test that makes
	// the store fail at once would leave them with a part of it.
	s.register()
	s.wg.Go(func() { s.beat(ctx) })

	for i := range opt.Entries {
		if err := s.entry(ctx, i, opt.Log); err != nil {
			return nil, err
		}
	}

	return s, nil
}

// Close stops the site.
func (s *Site) Close() {
	var wg sync.WaitGroup
	for _, e := range s.Entries {
		wg.Go(e.Stop)
	}

	wg.Wait()
	s.cancel()
	s.wg.Wait()

	for _, c := range s.closers {
		_ = c.Close()
	}
}
