// Package site is a small deployment on loopback in one process: stand-ins of the
// store, of model workers and of a plain service, and real entries.
package site

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"reflect"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/fulmarcross/fulmarcross/internal/customer/key"
	"github.com/fulmarcross/fulmarcross/internal/customer/team"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/inventory"
	"github.com/fulmarcross/fulmarcross/internal/fleet/node"
	"github.com/fulmarcross/fulmarcross/internal/serving/relay"
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
	// Engine describes an engine. If it is nil, all engines have the same software and hold
	// two models each.
	Engine func(i int) EngineOptions
}

// EngineOptions describe an engine at the start.
type EngineOptions struct {
	Software instance.Software
	Holding  []string
}

// defaultEngine returns an engine that holds two models.
func defaultEngine(i int) EngineOptions {
	return EngineOptions{Software: firstSoftware, Holding: []string{Model(2 * i), Model(2*i + 1)}}
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
	handler        map[instance.ID]platform.Worker
	front          func(instance.ID, netip.AddrPort) (netip.AddrPort, error)
	network        *network.Network
	memoryMB       float64
	cancel         context.CancelFunc
	wg             sync.WaitGroup
	closers        []io.Closer
}

// Entry is one entry of a site.
type Entry struct {
	Name    instance.ID
	Callers netip.AddrPort
	Ready   netip.AddrPort
	Metrics netip.AddrPort
	// Peers is the address for other entries.
	Peers netip.AddrPort
	// Door is the entry's access to the store.
	Door   *rows.Door
	client *http.Client
	stop   context.CancelFunc
	// done is closed when the entry has ended. err is then its error.
	done chan struct{}
	err  error
}

// Model returns the name of a model.
func Model(i int) string { return fmt.Sprintf("model-%d", i) }

// Start starts a site. Close stops it.
func Start(ctx context.Context, opt Options) (*Site, error) {
	ctx, cancel := context.WithCancel(ctx)
	s := &Site{
		Store: &rows.Store{}, Workers: make(map[instance.ID]*worker.Worker), Desks: make(map[instance.ID]*worker.Plain),
		targets: make(map[instance.ID]inventory.Target), handler: make(map[instance.ID]platform.Worker), cancel: cancel,
		front: opt.Front, network: opt.Network, memoryMB: opt.MemoryMB, unlisted: make(map[instance.ID]bool), down: make(map[instance.ID]bool),
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

	for i := range engines {
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

	for i := range 2 {
		id := instance.ID(fmt.Sprintf("desk-%d", i))
		s.Desks[id] = &worker.Plain{}

		if err := s.target(id, Desk, 6, s.Desks[id]); err != nil {
			return nil, err
		}
	}

	// All targets are listed before entries read the list. Otherwise a test that makes
	// the store fail at once would leave them with a part of it.
	written := make(map[instance.ID]inventory.Target)
	s.register(written)
	s.wg.Go(func() { s.beat(ctx, written) })

	for i := range opt.Entries {
		if err := s.entry(ctx, i, opt.Log); err != nil {
			return nil, err
		}
	}

	return s, nil
}

func demo() *route.Config {
	e := &route.Engine{Slots: 8, MemoryMB: 200, AdapterSlots: 4, LoadsPerSecond: 4, Models: make(map[string]route.Model)}
	for i := range models {
		e.Models[Model(i)] = route.Model{
			Name: Model(i), MB: modelMB, AdapterMB: 1, FromStore: 4 * cold, FromDisk: cold, FromMemory: cold / 2, //nolint:mnd // The demo's tiers.
		}
	}

	to := func(s string) []route.Split { return []route.Split{{Service: s, Weight: 1}} }

	return &route.Config{
		Routes: []route.Route{
			{Name: "note", Host: Host, Prefix: "/note/", Kind: route.Stream, Resumable: true, Timeout: 8 * time.Second, Goal: goal, Attempts: 2, Splits: to(Drafting)},
			{Name: "dossier", Host: Host, Prefix: "/dossier/", Kind: route.Stream, Timeout: 8 * time.Second, Goal: goal, Attempts: 1, Splits: to(Drafting)},
			{Name: "book", Host: Host, Prefix: "/book/", Kind: route.NonIdempotent, Timeout: time.Second, Attempts: 1, Splits: to(Desk)},
			{Name: "look", Host: Host, Prefix: "/look/", Kind: route.Idempotent, Timeout: time.Second, Attempts: 2, Splits: to(Desk)},
		},
		Services: map[string]route.Service{Drafting: {Name: Drafting, Engine: e}, Desk: {Name: Desk}},
	}
}

// PutConfig puts a changed configuration in force, with the next version.
func (s *Site) PutConfig(change func(*route.Config)) {
	s.mu.Lock()
	defer s.mu.Unlock()

	next := *s.config
	next.Routes = slices.Clone(next.Routes)
	change(&next)
	next.Version++
	s.config = &next
	s.Store.Put(platform.OperatorsTable, platform.ConfigKey, platform.EncodeConfig(&next, s.keys))
}

// PutTeams puts teams in force, with the keys of each by its name.
func (s *Site) PutTeams(teams []team.Team, keys map[string][]string) error {
	for i := range teams {
		teams[i].Keys = nil
		for _, text := range keys[teams[i].Name] {
			teams[i].Keys = append(teams[i].Keys, key.DigestOf(text))
		}
	}

	set, err := team.NewSet(teams)
	if err != nil {
		return err
	}

	s.PutConfig(func(c *route.Config) { c.Teams, s.keys = set, keys })

	return nil
}

func (s *Site) listen() (net.Listener, netip.AddrPort, error) {
	if s.network != nil {
		at := s.network.Free()
		l, err := s.network.Listen(context.Background(), at)

		return l, at, err
	}

	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, netip.AddrPort{}, err
	}

	at, err := netip.ParseAddrPort(l.Addr().String())

	return l, at, err
}

// firstSoftware is the software of all targets at the start.
const firstSoftware instance.Software = "v1"

func (s *Site) target(id instance.ID, service string, slots int, w platform.Worker) error {
	l, at, err := s.listen()
	if err != nil {
		return err
	}

	srv := &http.Server{Handler: platform.WorkerHandler(id, w), ReadHeaderTimeout: time.Second}
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

// beatEvery is how often targets write to the list.
const beatEvery = 100 * time.Millisecond

// beat writes the rows of targets that have changed.
func (s *Site) beat(ctx context.Context, written map[instance.ID]inventory.Target) {
	for ctx.Err() == nil {
		s.register(written)

		select {
		case <-ctx.Done():
		case <-time.After(beatEvery):
		}
	}
}

// register writes the rows of targets that differ from those in written.
func (s *Site) register(written map[instance.ID]inventory.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()

	for id, t := range s.targets {
		if s.unlisted[id] {
			delete(written, id)

			continue
		}

		if s.down[id] {
			continue
		}

		if w, ok := s.handler[id].(*worker.Worker); ok {
			t = w.Describe(t)
		}

		if !reflect.DeepEqual(written[id], t) {
			written[id] = t
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

// Add starts one more entry.
func (s *Site) Add(ctx context.Context) (*Entry, error) {
	if err := s.entry(ctx, len(s.Entries), io.Discard); err != nil {
		return nil, err
	}

	return s.Entries[len(s.Entries)-1], nil
}

func (s *Site) change(id instance.ID, f func(*inventory.Target)) {
	s.mu.Lock()
	defer s.mu.Unlock()

	t := s.targets[id]
	f(&t)
	s.targets[id] = t
}

const (
	// firstPort and ports are a range below the ephemeral ports. An ephemeral port could
	// be used for a connection between its choice here and its use by an entry.
	firstPort = 20000
	ports     = 12000
	// blockPorts is the number of ports that a process reserves at a time.
	blockPorts = 100
)

// portBlock is a block of ports that this process has reserved. Processes that test at
// the same time have different blocks. Otherwise one could take the port of an entry that
// another restarts, and that entry could never start again.
var portBlock struct {
	mu sync.Mutex
	// reserved are the listeners on the first ports of the blocks, which reserve them
	// until the process ends.
	reserved []net.Listener
	// next is the next port to use, and end the first after the block.
	next, end int
}

// nextPort returns the next port of this process's blocks.
func nextPort() (int, error) {
	b := &portBlock
	b.mu.Lock()
	defer b.mu.Unlock()

	if b.next == b.end {
		l, first, err := reserveBlock()
		if err != nil {
			return 0, err
		}

		b.reserved = append(b.reserved, l)
		b.next, b.end = first+1, first+blockPorts
	}

	b.next++

	return b.next - 1, nil
}

// reserveBlock listens on the first port of a block that no process has reserved.
func reserveBlock() (l net.Listener, first int, err error) {
	const blocks = ports / blockPorts

	start := rand.IntN(blocks) //nolint:gosec // No secret.

	for i := range blocks {
		first = firstPort + blockPorts*((start+i)%blocks)

		l, err = net.Listen("tcp", loopback(first).String())
		if !errors.Is(err, syscall.EADDRINUSE) {
			return l, first, err
		}
	}

	return nil, 0, &NoPortsError{}
}

// NoPortsError reports that all blocks of ports are reserved.
type NoPortsError struct{}

func (*NoPortsError) Error() string { return "site: no block of ports is free" }

func loopback(port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port)) //nolint:gosec // Below 2^16.
}

func (s *Site) free() (netip.AddrPort, error) {
	if s.network != nil {
		return s.network.Free(), nil
	}

	return Free()
}

// client returns an HTTP client for a caller.
func (s *Site) client() *http.Client { return s.clientFrom(netip.AddrPort{}) }

// clientFrom returns an HTTP client for the entry with this address for other entries.
func (s *Site) clientFrom(entry netip.AddrPort) *http.Client {
	if s.network != nil {
		return s.network.ClientFrom(entry)
	}

	return &http.Client{}
}

// Free returns an unused address.
func Free() (netip.AddrPort, error) {
	for {
		port, err := nextPort()
		if err != nil {
			return netip.AddrPort{}, err
		}

		at := loopback(port)

		l, err := net.Listen("tcp", at.String())
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}

		if err != nil {
			return at, err
		}

		return at, l.Close()
	}
}

// Door returns an access to the store for one entry, with its address.
func (s *Site) Door() (*rows.Door, netip.AddrPort, error) {
	l, at, err := s.listen()
	if err != nil {
		return nil, at, err
	}

	door := &rows.Door{Store: s.Store}
	srv := &http.Server{Handler: platform.StoreHandler(door), ReadHeaderTimeout: time.Second}
	s.closers = append(s.closers, srv)

	go func() { _ = srv.Serve(l) }() // It ends with the site.

	return door, at, nil
}

func (s *Site) entry(ctx context.Context, i int, log io.Writer) error {
	door, storeAt, err := s.Door()
	if err != nil {
		return err
	}

	e := &Entry{Name: instance.ID(fmt.Sprintf("entry-%d", i)), Door: door, client: s.client(), done: make(chan struct{})}

	var at [4]netip.AddrPort

	for j := range at {
		if at[j], err = s.free(); err != nil {
			return err
		}
	}

	e.Callers, e.Ready, e.Metrics = at[0], at[1], at[3]
	e.Peers = at[2]
	store := &platform.Store{Address: storeAt, HTTP: s.clientFrom(e.Peers)}
	engines := &platform.Engines{HTTP: s.clientFrom(e.Peers)}

	cfg := node.Config{
		Self: e.Name, DataCentre: "dc", Callers: at[0], Readiness: at[1], Peers: at[2], Metrics: at[3], Seeds: s.seeds(), ReadyPath: platform.ReadyPath,
		Source: store, Table: store, Engines: engines, Protocol: platform.Headers{}, AssumedEntries: 2,
		RetryLimit: relay.RetryLimit{Ratio: 0.2, Burst: 54, Window: 10 * time.Second}, GracePeriod: grace, TurnPause: turnPause, //nolint:mnd // As on the users' sites.
		Log:      zerolog.New(log).With().Timestamp().Str("node", string(e.Name)).Logger(),
		MemoryMB: s.memoryMB, BoundedMemory: s.memoryMB > 0,
	}
	if s.network != nil {
		cfg.Listen = s.network.Listen
		cfg.Dial = func(ctx context.Context, at netip.AddrPort) (net.Conn, error) {
			return s.network.DialFrom(ctx, e.Peers, at)
		}
	}

	n := node.New(cfg)

	engines.OnStatement = n.HearEngine

	ctx, e.stop = context.WithCancel(ctx)

	go func() {
		defer close(e.done)

		e.err = n.Run(ctx)
	}()

	s.Entries = append(s.Entries, e)

	return nil
}

// maxSeeds is the number of entries whose addresses a new one is given, as on the users'
// platform.
const maxSeeds = 3

func (s *Site) seeds() []netip.AddrPort {
	var out []netip.AddrPort
	for _, e := range s.Entries[:min(maxSeeds, len(s.Entries))] {
		out = append(out, e.Peers)
	}

	return out
}

// Stop shuts an entry down gracefully and waits for its end.
func (e *Entry) Stop() {
	e.stop()
	<-e.done
}

// WaitReady waits until every entry reports ready.
func (s *Site) WaitReady(ctx context.Context) error {
	for _, e := range s.Entries {
		if err := s.WaitEntryReady(ctx, e); err != nil {
			return err
		}
	}

	return nil
}

// WaitEntryReady waits until an entry reports ready.
func (s *Site) WaitEntryReady(ctx context.Context, e *Entry) error {
	for {
		resp, err := s.client().Get("http://" + e.Ready.String() + platform.ReadyPath)
		if err == nil {
			resp.Body.Close()

			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}

		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-e.done:
			return e.err
		case <-time.After(beatEvery / 5): //nolint:mnd // Often enough.
		}
	}
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
