// Package node is one entry on the users' platform, put together: it learns
// what is in force and which targets there are, answers callers, takes part in
// the control of the engines and speaks with the other entries.
package node

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/fulmarcross/fulmarcross/internal/customer/quota"
	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/inventory"
	"github.com/fulmarcross/fulmarcross/internal/fleet/membership"
	"github.com/fulmarcross/fulmarcross/internal/placement/holder"
	"github.com/fulmarcross/fulmarcross/internal/placement/lease"
	"github.com/fulmarcross/fulmarcross/internal/platform/table"
	"github.com/fulmarcross/fulmarcross/internal/room/metric"
	"github.com/fulmarcross/fulmarcross/internal/serving/dispatch"
	"github.com/fulmarcross/fulmarcross/internal/serving/relay"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
	"github.com/fulmarcross/fulmarcross/internal/serving/router"
	"github.com/fulmarcross/fulmarcross/internal/wire/news"
)

// Source is where an entry learns what is in force and which targets there
// are. Its calls with a version wait for changes.
type Source interface {
	Configuration(ctx context.Context) (*route.Config, uint64, error)
	ConfigurationAfter(ctx context.Context, after uint64, wait time.Duration) (*route.Config, uint64, error)
	Targets(ctx context.Context) ([]inventory.Change, uint64, error)
	TargetsAfter(ctx context.Context, after uint64, wait time.Duration) ([]inventory.Change, uint64, error)
	// Decode reads a configuration's text.
	Decode(text []byte) (*route.Config, error)
}

// Config is what an entry works with.
type Config struct {
	Self       instance.ID
	DataCentre instance.DataCentre
	// Callers, Readiness, Peers and Metrics are the addresses to listen on.
	Callers, Readiness, Peers, Metrics netip.AddrPort
	// Seeds are entries that may be asked for the others.
	Seeds []netip.AddrPort
	// ReadyPath is the path of the readiness check.
	ReadyPath string
	Source    Source
	Table     table.Service
	Engines   holder.Engines
	Protocol  relay.Protocol
	// Strength is the share of a processor that this instance has.
	Strength float64
	// Entries is how many entries there may be until the others are known.
	Entries   int
	Allowance relay.RetryLimit
	// Slack is what may pass beyond teams' limits.
	Slack quota.Slack
	// Grace is how long a process may take to stop, and TurnPause for how long
	// no two holders may take turns.
	Grace, TurnPause time.Duration
	Log              zerolog.Logger
	// Dropped returns how many log lines were not written; nil means none.
	Dropped func() int64
}

// Node is one entry. Create it with New.
type Node struct {
	cfg     Config
	process string
	started time.Time
	relay   *relay.Server
	lines   *dispatch.Dispatcher
	targets router.Table
	holder  *holder.Holder
	peers   peers
	// work ends after the last request was answered.
	work    context.Context
	finish  context.CancelFunc
	pool    relay.Pool
	budgets relay.RetryBudgets
	page    metric.Page
	metrics tally.Scope
	calls   calls
	traffic traffic
	quotas  quotas
	// confirmed is the last check that no newer configuration is in force.
	confirmed confirmation
	// unscope ends the metrics' reports.
	unscope io.Closer

	routes   atomic.Pointer[route.Table]
	listed   atomic.Bool
	stopping atomic.Bool
	// listBehind and configBehind ask for a look at the store at once.
	listBehind, configBehind chan struct{}
	packed                   packed
	// askingConfig and askingTargets say that a call to the store for the
	// configuration or the list of targets is under way.
	askingConfig, askingTargets atomic.Bool
	// configTold and listTold say that the holder has told of a newer one.
	configTold, listTold chan struct{}
	// changed asks for the routing to be built anew, asked for a report, and idled
	// for one that may wait a little.
	changed, asked, idled chan struct{}

	mu   sync.Mutex
	book inventory.Registry
	// list is the store's version at which the list of targets was last read,
	// here or by the peer that told of it.
	list uint64
	// removals are the targets that went from the list.
	removals removals
	// usable is the version of the list at the last change of which targets
	// may be used.
	usable uint64
	// lostConfig and lostTargets say that the store does not answer.
	lostConfig, lostTargets atomic.Bool
	// known is a copy of the book's targets that nobody changes.
	known map[instance.ID]inventory.Target
	// news are the newest of history.
	news    holder.Snapshot
	history holder.History
	heard   time.Time
	// lookedConfig and lookedTargets are up to when this entry knows what the
	// store held.
	lookedConfig, lookedTargets time.Time
	// configRead is the store's version at which the configuration was last read.
	configRead uint64
	// absent is what targets were found not to hold.
	absent  map[holder.Missing]absence
	missing []holder.Missing
	number  uint64
	routed  routed
}

// New returns an entry. Run starts it.
func New(cfg Config) *Node {
	n := &Node{
		cfg: cfg, process: uuid.NewString(), started: time.Now(),
		listBehind: make(chan struct{}, 1), configBehind: make(chan struct{}, 1), configTold: make(chan struct{}, 1), listTold: make(chan struct{}, 1),
		changed: make(chan struct{}, 1), asked: make(chan struct{}, 1), idled: make(chan struct{}, 1),
		absent: make(map[holder.Missing]absence),
	}
	n.budgets.Limit = cfg.Allowance
	n.budgets.Started = time.Now()
	n.budgets.SetEntries(sharersUnknown)
	n.work, n.finish = context.WithCancel(context.Background())
	n.peers.node = n
	n.quotas.node, n.quotas.soon = n, make(chan struct{}, 1)
	n.quotas.home.Slack, n.quotas.lender.Started = cfg.Slack, clock.Now()
	n.peers.roll.Self = membership.Member{ID: cfg.Self, Address: cfg.Peers, Process: n.process, Started: time.Now(), Strength: cfg.Strength}

	n.metrics, n.unscope = n.page.Scope()
	n.calls.metrics, n.traffic.metrics = n.metrics, n.metrics
	n.cfg.Table = countedTable{cfg.Table, n.noteTable}
	n.lines = dispatch.New(dispatch.Config{
		Table: &n.targets, Entries: n.entries, CellOf: func(string) int { return 0 },
		Prerequisite: holder.ModelOf,
		OnQueued:     func(string) { poke(n.asked) }, OnReplicaIdle: func() { poke(n.idled) }, OnNotice: n.noticed, MaxWaiting: maxWaiting,
	})
	n.relay = &relay.Server{
		Protocol: cfg.Protocol, Dispatcher: n.lines, Pool: &n.pool, Budgets: &n.budgets,
		Table: n.routes.Load, RefreshTable: n.confirm, Limits: &n.quotas, OnModelAbsent: n.foundAbsent, OnAddressMoved: n.foundMoved, OnUnreachable: n.foundUnreached, Log: cfg.Log, Metrics: n.metrics,
	}
	n.holder = holder.New(holder.Config{
		Self: cfg.Self, Strength: cfg.Strength, Process: n.process, Table: n.cfg.Table, Engines: cfg.Engines, Timing: terms, TurnPause: cfg.TurnPause,
		Targets: n.knownTargets, Routes: n.config,
		Peers:      func() []holder.Candidate { return candidates(n.peers.alive()) },
		Candidates: func() []holder.Candidate { return candidates(n.peers.likely()) },
		Publish:    n.publish, Log: cfg.Log,
	})

	return n
}

// Allow replaces the allowance for sending requests once more.
func (n *Node) Allow(a relay.RetryLimit) { n.budgets.SetLimit(a) }

// maxWaiting bounds the requests that wait for one model on this entry.
const maxWaiting = 256

// terms are the lease's times. A take-over after a death takes the duration
// and a look, about three seconds; a renewal has two tries before it lapses.
var terms = lease.Timing{
	Duration: 2500 * time.Millisecond,
	Renew:    800 * time.Millisecond,
	Poll:     400 * time.Millisecond,
	Stagger:  200 * time.Millisecond,
}

func poke(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// Run serves until ctx ends, then stops gracefully.
func (n *Node) Run(ctx context.Context) error {
	listen := net.ListenConfig{KeepAliveConfig: relay.KeepAliveConfig(), Control: relay.Control}

	callers, err := listen.Listen(ctx, "tcp", n.cfg.Callers.String())
	if err != nil {
		return err
	}

	checks, err := listen.Listen(ctx, "tcp", n.cfg.Readiness.String())
	if err != nil {
		return err
	}

	peerListener, err := listen.Listen(ctx, "tcp", n.cfg.Peers.String())
	if err != nil {
		return err
	}

	metricsListener, err := listen.Listen(ctx, "tcp", n.cfg.Metrics.String())
	if err != nil {
		return err
	}

	// Work goes on while requests are answered after ctx has ended.
	work, cancel := n.work, n.finish
	defer cancel()

	front := &http.Server{
		Handler: n.relay, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
		ConnContext: relay.WithConn,
		ErrorLog:    nil,
	}
	ready := &http.Server{Handler: n.checks(), ReadHeaderTimeout: headerTimeout}
	metrics := &http.Server{Handler: &n.page, ReadHeaderTimeout: headerTimeout}

	var wg sync.WaitGroup

	wg.Go(func() { n.served("callers", front.Serve(callers)) })
	wg.Go(func() { n.served("readiness", ready.Serve(checks)) })
	wg.Go(func() { n.served("metrics", metrics.Serve(metricsListener)) })
	wg.Go(func() { n.served("peers", news.Serve(work, peerListener, n)) })

	for _, loop := range []func(context.Context){n.watchConfig, n.followConfig, n.watchTargets, n.followList, n.askPeers, n.keepRouting, n.report, n.holder.Run, n.peers.run, n.quotas.run, n.sweep, n.logCalls} {
		wg.Go(func() { loop(work) })
	}

	n.cfg.Log.Info().Str("process", n.process).Str("dataCentre", string(n.cfg.DataCentre)).Stringer("callers", n.cfg.Callers).Msg("started")

	<-ctx.Done()
	n.stop(front)

	_ = ready.Close()
	_ = metrics.Close()
	_ = n.unscope.Close()
	_ = peerListener.Close()

	cancel()
	waitAtMost(&wg, stopMargin/2) //nolint:mnd // The rest is for the process to end.
	n.cfg.Log.Info().Msg("stopped")

	return nil
}

const (
	// headerTimeout and idleTimeout bound how long a caller may take for a
	// head and stay idle. The operators allow 3 s and 15 s; a connection must
	// not be closed before its caller gives it up.
	headerTimeout = 5 * time.Second
	idleTimeout   = 20 * time.Second
	// maxHeader bounds a request's head; the operators allow 16 KB.
	maxHeader = 32 << 10
)

func (n *Node) served(what string, err error) {
	if !n.stopping.Load() && !errors.Is(err, http.ErrServerClosed) {
		n.cfg.Log.Error().Err(err).Str("listener", what).Msg("listener ended")
	}
}

const (
	// crossing is how long after the stop's beginning idle connections stay
	// open: the platform needs two checks, one a second, to send no more
	// callers, and a request may be on its way.
	crossing = 2300 * time.Millisecond
	// streamTime is how long before the end of the grace a stream must have
	// begun, so that most have ended by then.
	streamTime = 4 * time.Second
	// stopMargin is how long before the end of the grace the process is done.
	stopMargin = 500 * time.Millisecond
)

// stop ends the entry: it reports not ready, gives up the lease, answers what
// it has and what still comes, and closes.
func (n *Node) stop(front *http.Server) {
	began := time.Now()

	n.stopping.Store(true)
	n.relay.EnterPhase(relay.Draining)
	n.quotas.release()
	n.cfg.Log.Info().Int("running", n.relay.Running()).Msg("stopping")

	ctx, cancel := context.WithTimeout(context.Background(), n.cfg.Grace-stopMargin)
	defer cancel()

	// Neither must hold up the stop: the store may be silent, and the lease
	// then lapses by itself.
	var leave sync.WaitGroup

	leave.Go(func() { n.holder.Release(ctx) })
	leave.Go(func() { n.peers.leave(ctx) })

	_ = clock.Sleep(ctx, crossing-time.Since(began)) // It ends early only at the end of the grace.

	n.relay.EnterPhase(relay.RefusingNewStreams)

	ending := time.AfterFunc(n.cfg.Grace-streamTime-time.Since(began), func() { n.relay.EnterPhase(relay.RefusingUnstartedStreams) })
	defer ending.Stop()

	if err := front.Shutdown(ctx); err != nil {
		n.cfg.Log.Warn().Err(err).Int("running", n.relay.Running()).Msg("requests broken off at the end of the grace time")
	}

	_ = front.Close()

	// What is left of it has had the whole grace time.
	waitAtMost(&leave, stopMargin/2) //nolint:mnd // See Run.
}

// waitAtMost waits for wg, but not for longer than d: a call to a silent store
// must not keep a process past its grace time.
func waitAtMost(wg *sync.WaitGroup, d time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()

	_ = clock.Wait(ctx, wg) // What is late ends with the process.
}

// checks answers the platform's readiness checks.
func (n *Node) checks() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+n.cfg.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !n.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})

	return mux
}

// ready reports whether callers may be sent here.
func (n *Node) ready() bool {
	return n.routes.Load() != nil && n.listed.Load() && !n.stopping.Load()
}

func (n *Node) config() *route.Config {
	if t := n.routes.Load(); t != nil {
		return t.Config
	}

	return nil
}

// entries returns how many entries share the targets.
func (n *Node) entries() int {
	if known := len(n.peers.alive()) + 1; known > 1 {
		return known
	}

	return n.cfg.Entries
}

// sharersUnknown is how many entries are taken to share the repeats until the
// others are known: the largest site that is planned for has 91, and after a
// loss of power all of its entries start at once. What requests earn themselves
// does not depend on it.
const sharersUnknown = 100

// sharers returns how many entries may share the repeats: all that are listed,
// also those that have not been heard yet or any more, so that the shares
// together are never more than there is.
func (n *Node) sharers() int {
	if known := n.peers.listed(); known > 0 {
		return max(known+1, n.cfg.Entries)
	}

	return sharersUnknown
}

// candidates returns the members as those that may hold the lease.
func candidates(members []membership.Member) []holder.Candidate {
	out := make([]holder.Candidate, len(members))

	for i, m := range members {
		out[i] = holder.Candidate{ID: m.ID, Strength: m.Strength}
	}

	return out
}

// gauge shows what this entry has and believes.
func (n *Node) gauge() {
	n.metrics.Gauge("running").Update(float64(n.relay.Running()))
	n.metrics.Gauge("peers").Update(float64(len(n.peers.alive())))
	n.metrics.Gauge("targets").Update(float64(len(n.knownTargets())))

	holds := 0.0
	if n.holder.Holding() {
		holds = 1
	}

	n.metrics.Gauge("holds_lease").Update(holds)

	if c := n.config(); c != nil {
		n.metrics.Gauge("config_version").Update(float64(c.Version))
	}

	if n.cfg.Dropped != nil {
		n.metrics.Gauge("log_lines_dropped").Update(float64(n.cfg.Dropped()))
	}
}

const sweepEvery = 500 * time.Millisecond

// sweep closes idle connections to targets and keeps the budgets' share.
func (n *Node) sweep(ctx context.Context) {
	for clock.Sleep(ctx, sweepEvery) == nil {
		n.pool.CloseExpired(time.Now())
		n.gauge()
		n.budgets.SetEntries(n.sharers())

		n.mu.Lock()

		expired := n.book.Expire(time.Now())
		if expired {
			n.known = n.book.Targets()
			// What expired is gone without a change of the list.
			n.removals = removals{base: n.list + 1}
		}
		n.mu.Unlock()

		if expired {
			poke(n.changed)
		}
	}
}
