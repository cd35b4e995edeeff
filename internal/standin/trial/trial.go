// Package trial runs the whole system in one process on loopback: stand-ins of the
// platform, engines and services, entries, demo lists, a bounded load and optional
// faults. Its report comes from the records of its clients and stand-ins, not from the
// system's own counters.
package trial

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/fulmarcross/fulmarcross/internal/cli/settings"
	"github.com/fulmarcross/fulmarcross/internal/customer/key"
	"github.com/fulmarcross/fulmarcross/internal/fleet/entry"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/placement/lease"
	"github.com/fulmarcross/fulmarcross/internal/room/timeline"
	"github.com/fulmarcross/fulmarcross/internal/standin/engine"
	"github.com/fulmarcross/fulmarcross/internal/standin/pause"
	"github.com/fulmarcross/fulmarcross/internal/standin/platform"
	"github.com/fulmarcross/fulmarcross/internal/standin/service"
)

// Options configure a trial.
type Options struct {
	Seed   uint64
	For    time.Duration
	Faults bool
	// Entries is the number of entries. Zero means three.
	Entries int
	// Cells is the number of cells of targets. Zero means one.
	Cells int
	// Progress receives occasional lines. It may be nil.
	Progress io.Writer
	Logger   zerolog.Logger
}

// The size of the demo.
const (
	engines     = 5
	services    = 2
	modelCount  = 12
	adapters    = 8
	gib         = int64(1) << 30
	modelBytes  = 4 * gib
	loadSpeed   = 16 * gib
	serviceName = "stamps"
	nightKey    = "demo-key-night"
	// OperatorKey is the operators' key of the demo.
	OperatorKey = "demo-operator"
	// CallerKey is the key of the demo's first plan.
	CallerKey = "demo-key"
	// Model and Service are what the demo's plans may use, among others.
	Model   = "draft-00"
	Service = serviceName
)

// node is a running entry.
type node struct {
	*entry.Entry

	gate   *pause.Gate
	cancel context.CancelFunc
	done   chan struct{}
	dead   atomic.Bool
}

// Trial is a running trial.
type Trial struct {
	opt      Options
	rng      *rand.Rand
	platform *platform.Platform
	weights  *engine.Weights
	engines  []*engine.Engine
	services []*service.Service
	address  netip.AddrPort
	servers  []*http.Server
	// addresses are the addresses of engines, in the same order.
	addresses []netip.AddrPort

	mu    sync.Mutex
	nodes []*node

	books books
}

// Start starts a trial and returns when its entries are ready. Stop ends it.
func Start(ctx context.Context, opt Options) (*Trial, error) {
	opt.Cells = max(1, opt.Cells)

	if opt.Entries == 0 {
		opt.Entries = 3
	}

	t := &Trial{
		opt:      opt,
		rng:      rand.New(rand.NewPCG(opt.Seed, opt.Seed)), //nolint:gosec // A reproducible load.
		platform: &platform.Platform{},
		weights:  &engine.Weights{BytesPerSecond: loadSpeed, Concurrent: 4}, //nolint:mnd // As the brief says.
	}

	err := t.start(ctx)
	if err == nil {
		err = t.awaitReady(ctx)
	}

	if err != nil {
		t.Stop()

		return nil, err
	}

	return t, nil
}

// Entries returns the entries in the order in which they were started.
func (t *Trial) Entries() []*entry.Entry {
	t.mu.Lock()
	defer t.mu.Unlock()

	out := make([]*entry.Entry, len(t.nodes))
	for i, n := range t.nodes {
		out[i] = n.Entry
	}

	return out
}

// Platform returns the platform's stand-in.
func (t *Trial) Platform() *platform.Platform { return t.platform }

// Services returns the services' stand-ins.
func (t *Trial) Services() []*service.Service { return t.services }

// Kill ends an entry at once and removes it from the list.
func (t *Trial) Kill(e *entry.Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()

	for _, n := range t.nodes {
		if n.Entry == e {
			n.dead.Store(true)
			n.Kill()
			n.gate.Close()
			t.platform.Remove(n.ID())
		}
	}
}

// Run runs a trial and returns its report.
func Run(ctx context.Context, opt Options) (Report, error) {
	t, err := Start(ctx, opt)
	if err != nil {
		return Report{}, err
	}
	defer t.Stop()

	t.load(ctx)

	story := t.story(ctx)
	added := t.measureAdded(ctx)
	r := t.report(added)
	r.Slowest = story

	return r, nil
}

// story returns the events of the entries' time line that concern the slowest request,
// and other events of that time that concern no request.
func (t *Trial) story(ctx context.Context) []timeline.Event {
	nodes := t.ready()
	if len(nodes) == 0 {
		return nil
	}

	t.books.mu.Lock()
	id := requestID(t.books.slowest)
	t.books.mu.Unlock()

	own := nodes[0].Timeline(ctx, timeline.Filter{Request: id}).Events
	if len(own) == 0 {
		return nil
	}

	all := nodes[0].Timeline(ctx, timeline.Filter{Since: own[0].At}).Events
	last := own[len(own)-1].At
	others := slices.DeleteFunc(all, func(e timeline.Event) bool { return e.Request != "" || e.At > last })

	return timeline.Merge(own, others)
}

func requestID(number int) string { return fmt.Sprintf("trial-%d", number) }

func (t *Trial) start(ctx context.Context) error {
	addr, err := t.listen(platform.Handler(t.platform))
	if err != nil {
		return err
	}

	t.address = addr

	if err := t.startTargets(); err != nil {
		return err
	}

	t.fillWeights()

	if err := t.fillLists(ctx); err != nil {
		return err
	}

	for i := range t.opt.Entries {
		if _, err := t.StartEntry(ctx, i); err != nil {
			return err
		}
	}

	return nil
}

// listen serves h on a free loopback port.
func (t *Trial) listen(h http.Handler) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}

	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	t.servers = append(t.servers, server)

	go func() { _ = server.Serve(l) }()

	addr, _ := l.Addr().(*net.TCPAddr)

	return addr.AddrPort(), nil
}

// StartEntry starts one more entry.
func (t *Trial) StartEntry(ctx context.Context, i int) (*entry.Entry, error) {
	free := netip.MustParseAddrPort("127.0.0.1:0")
	gate := &pause.Gate{}

	e, err := entry.New(&settings.Settings{
		ID:              instance.ID(fmt.Sprintf("entry-%d", i)),
		DataCentre:      centre(i),
		Callers:         free,
		Operators:       free,
		Peers:           free,
		MaxBody:         1 << 20,
		MaxConns:        1024,
		OperatorKey:     key.DigestOf(OperatorKey),
		Platform:        t.address,
		ListLag:         3 * time.Second,
		Cells:           t.opt.Cells,
		CheckTokens:     true,
		TokenExceptions: []instance.ID{"engine-0"},
		Loads:           4,
		AdapterLoads:    32,
		BytesPerSecond:  float64(loadSpeed),
		ColdStartWeight: 0.5,
		Lease: lease.Timing{
			Duration: 1500 * time.Millisecond, Renew: 400 * time.Millisecond,
			Poll: 200 * time.Millisecond, Stagger: 150 * time.Millisecond,
		},
		Shutdown: 10 * time.Second,
	}, t.opt.Logger, entry.WithGate(gate))
	if err != nil {
		return nil, err
	}

	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	n := &node{Entry: e, gate: gate, cancel: cancel, done: make(chan struct{})}

	t.platform.Announce(instance.Instance{
		ID: e.ID(), DataCentre: centre(i), Role: instance.Entry, Address: e.Peers(), State: instance.Live,
	})

	go func() {
		defer close(n.done)

		_ = e.Run(ctx)
	}()

	t.mu.Lock()
	t.nodes = append(t.nodes, n)
	t.mu.Unlock()

	return e, nil
}

// Shutdown makes an entry shut down gracefully.
func (t *Trial) Shutdown(e *entry.Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()

	for _, n := range t.nodes {
		if n.Entry == e {
			n.cancel()
		}
	}
}

// NotReadyError reports that the entries did not become ready.
type NotReadyError struct{}

func (*NotReadyError) Error() string { return "trial: the entries did not become ready" }

func (t *Trial) awaitReady(ctx context.Context) error {
	const patience = 10 * time.Second

	for end := time.Now().Add(patience); time.Now().Before(end) && ctx.Err() == nil; {
		if len(t.ready()) == t.opt.Entries && t.holder() != nil {
			return nil
		}

		time.Sleep(20 * time.Millisecond)
	}

	return &NotReadyError{}
}

// ready returns the entries to which a balancer sends requests.
func (t *Trial) ready() []*node {
	t.mu.Lock()
	defer t.mu.Unlock()

	var out []*node

	for _, n := range t.nodes {
		if !n.dead.Load() && n.Ready() {
			out = append(out, n)
		}
	}

	return out
}

// holder returns the entry that holds the cell's lease.
func (t *Trial) holder() *node {
	t.mu.Lock()
	defer t.mu.Unlock()

	for _, n := range t.nodes {
		if !n.dead.Load() && n.Holds(0) {
			return n
		}
	}

	return nil
}

// Stop ends everything that the trial started.
func (t *Trial) Stop() {
	t.mu.Lock()
	nodes := t.nodes
	t.mu.Unlock()

	for _, n := range nodes {
		n.gate.Open()
		n.cancel()
	}

	for _, n := range nodes {
		select {
		case <-n.done:
		case <-time.After(12 * time.Second):
		}
	}

	for _, s := range t.servers {
		_ = s.Close()
	}
}
