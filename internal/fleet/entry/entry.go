// Package entry is one entry instance: it puts together the callers' side,
// the control of cells, the membership, the lists and the room's screens, and
// runs and stops them.
package entry

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"golang.org/x/net/netutil"

	"github.com/fulmarcross/fulmarcross/internal/cli/settings"
	"github.com/fulmarcross/fulmarcross/internal/customer/limit"
	"github.com/fulmarcross/fulmarcross/internal/customer/list"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/peer"
	"github.com/fulmarcross/fulmarcross/internal/placement/cell"
	"github.com/fulmarcross/fulmarcross/internal/placement/replica"
	"github.com/fulmarcross/fulmarcross/internal/placement/share"
	"github.com/fulmarcross/fulmarcross/internal/platform/object"
	"github.com/fulmarcross/fulmarcross/internal/platform/roster"
	"github.com/fulmarcross/fulmarcross/internal/platform/table"
	"github.com/fulmarcross/fulmarcross/internal/platform/weight"
	"github.com/fulmarcross/fulmarcross/internal/room/timeline"
	"github.com/fulmarcross/fulmarcross/internal/serving/claim"
	"github.com/fulmarcross/fulmarcross/internal/serving/dispatch"
	"github.com/fulmarcross/fulmarcross/internal/serving/gateway"
	"github.com/fulmarcross/fulmarcross/internal/serving/router"
	"github.com/fulmarcross/fulmarcross/internal/wire/credential"
	"github.com/fulmarcross/fulmarcross/internal/wire/message"
	"github.com/fulmarcross/fulmarcross/internal/wire/platform"
)

// Platform is the platform's services as one entry uses them.
type Platform interface {
	table.Service
	object.Store
	weight.Store
	roster.Service
}

// Entry is one entry instance. Create it with New and start it with Run.
type Entry struct {
	cfg      *settings.Settings
	process  string
	started  time.Time
	logger   zerolog.Logger
	metrics  tally.Scope
	exporter http.Handler

	platform Platform
	fleet    *peer.Set
	peers    clients
	targets  targets
	gate     Gate

	log      timeline.Log
	lists    list.Cache
	store    list.Lists
	table    router.Table
	cells    []*cell.Cell
	dispatch *dispatch.Dispatcher
	gateway  *gateway.Gateway
	shares   limit.Shares
	home     homes
	kept     reservations
	reports  reports
	boards   boards

	// freshAt is when the lists in force were last known to be the newest,
	// in nanoseconds since 1970.
	freshAt  atomic.Int64
	draining atomic.Bool

	callers, operators, peerSide net.Listener
	servers                      []*http.Server
	// stopPeers ends the peer side, which outlives the callers' side.
	stopPeers context.CancelFunc
	wg        sync.WaitGroup
}

// Gate delays everything that an entry sends. It lets a fault bench pause a
// process in the middle of what it does.
type Gate interface {
	// Wait returns when the gate is open, or with the context's error.
	Wait(ctx context.Context) error
}

// open is the gate of an entry that nobody pauses.
type open struct{}

func (open) Wait(context.Context) error { return nil }

// Option changes how an entry is made.
type Option func(*Entry)

// WithGate makes everything that the entry sends wait for g.
func WithGate(g Gate) Option { return func(e *Entry) { e.gate = g } }

// New makes an entry and opens its listeners, so that its addresses are known
// before it runs.
func New(cfg *settings.Settings, logger zerolog.Logger, opts ...Option) (*Entry, error) {
	e := &Entry{
		cfg:     cfg,
		process: uuid.NewString(),
		started: time.Now(),
		logger:  logger.With().Str("instance", string(cfg.ID)).Logger(),
		gate:    open{},
	}

	for _, opt := range opts {
		opt(e)
	}

	e.metrics, e.exporter = newMetrics()
	e.log.Instance, e.log.Process = cfg.ID, e.process
	e.platform = &platform.Client{Address: cfg.Platform, HTTP: e.httpClient(platformConns)}
	e.store = list.Lists{Table: e.platform}
	e.fleet = &peer.Set{Self: cfg.ID, Timing: peer.DefaultTiming()}
	e.fleet.Timing.ListLag = cfg.ListLag

	if err := e.listen(); err != nil {
		e.closeListeners()

		return nil, err
	}

	e.assemble()

	return e, nil
}

// platformConns bounds the idle connections to the platform.
const platformConns = 32

// httpClient returns a client whose every call passes the gate.
func (e *Entry) httpClient(conns int) *http.Client {
	return &http.Client{Transport: &gated{
		gate: e.gate,
		base: &message.Transport{Base: &http.Transport{
			MaxIdleConnsPerHost: conns,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		}},
	}}
}

// gated passes requests through a gate.
type gated struct {
	gate Gate
	base *message.Transport
}

// RoundTrip implements http.RoundTripper.
func (t *gated) RoundTrip(r *http.Request) (*http.Response, error) {
	if err := t.gate.Wait(r.Context()); err != nil {
		return nil, err
	}

	return t.base.RoundTrip(r)
}

// CloseIdleConnections lets http.Client close idle connections.
func (t *gated) CloseIdleConnections() { t.base.CloseIdleConnections() }

func (e *Entry) listen() error {
	var err error
	if e.callers, err = listenOn(e.cfg.Callers, e.cfg.CallersTLS); err != nil {
		return err
	}

	e.callers = netutil.LimitListener(e.callers, e.cfg.MaxConns)

	if e.operators, err = listenOn(e.cfg.Operators, e.cfg.OperatorsTLS); err != nil {
		return err
	}

	if e.peerSide, err = listenOn(e.cfg.Peers, e.cfg.PeersTLS); err != nil {
		return err
	}

	e.peers.tls, err = credential.Client(e.cfg.PeersTLS)

	return err
}

func listenOn(addr netip.AddrPort, files credential.Files) (net.Listener, error) {
	cfg, err := credential.Server(files)
	if err != nil {
		return nil, err
	}

	l, err := net.Listen("tcp", addr.String())
	if err != nil || cfg == nil {
		return l, err
	}

	return tls.NewListener(l, cfg), nil
}

func (e *Entry) closeListeners() {
	for _, l := range []net.Listener{e.callers, e.operators, e.peerSide} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// assemble connects the parts.
func (e *Entry) assemble() {
	entries := func() int { return len(e.fleet.Entries()) }

	e.targets.client = e.httpClient
	e.dispatch = dispatch.New(dispatch.Config{
		Table:      &e.table,
		Engine:     e.targets.engine,
		Probe:      e.targets.probe,
		Refresh:    e.targets.refresh,
		Reserve:    e.reserve,
		Entries:    entries,
		CellOf:     e.cellOf,
		OnQueued:   func(model string) { e.reports.wake(e.cellOf(model)) },
		OnNotice:   e.noticed,
		Log:        &e.log,
		Metrics:    e.metrics,
		MaxWaiting: maxWaiting,
	})

	e.shares.RequestGrant = e.askHome
	e.shares.Entries = entries

	e.gateway = gateway.New(gateway.Config{
		Lists:          &e.lists,
		Shares:         &e.shares,
		Dispatch:       e.dispatch,
		Claims:         &claim.Registry{Table: e.platform, Objects: e.platform, Entry: e.cfg.ID, Process: e.process},
		Fleet:          e.fleet,
		Log:            &e.log,
		Metrics:        e.metrics,
		MaxBody:        e.cfg.MaxBody,
		Draining:       e.draining.Load,
		ClaimAbandoned: e.claimSettled,
	})

	e.reports.init(e.cfg.Cells)

	for c := range e.cfg.Cells {
		e.cells = append(e.cells, cell.New(e.cellConfig(c)))
	}
}

// maxWaiting bounds the requests that wait for one model on one entry.
const maxWaiting = 512

func (e *Entry) cellConfig(number int) cell.Config {
	// One cell has all loads; several ask the holder of the first for theirs.
	ask := e.askShare
	if e.cfg.Cells == 1 {
		ask = nil
	}

	return cell.Config{
		Cell:            number,
		Cells:           e.cfg.Cells,
		Self:            e.cfg.ID,
		Process:         e.process,
		Table:           e.platform,
		Weights:         e.platform,
		Fleet:           e.fleet,
		Dial:            e.targets.dial,
		ChecksTokens:    e.cfg.ChecksTokens,
		Leaving:         e.leaving,
		Send:            e.sendSnapshot,
		NotifySuccessor: e.nudge,
		Lists:           e.lists.Current,
		Objects:         e.platform,
		Log:             &e.log,
		Logger:          e.logger,
		Timing:          e.cfg.Lease,
		Policy:          replica.WeightsFor(e.cfg.ColdStartWeight),
		LoadLimit:       share.Loads{Models: e.cfg.Loads, Adapters: e.cfg.AdapterLoads},
		RequestShare:    ask,
		BytesPerSecond:  e.cfg.BytesPerSecond,
	}
}

func (e *Entry) cellOf(model string) int { return cell.Of(model, e.cfg.Cells) }

// Callers returns the address of the callers' listener.
func (e *Entry) Callers() netip.AddrPort { return addrOf(e.callers) }

// Operators returns the address of the operators' listener.
func (e *Entry) Operators() netip.AddrPort { return addrOf(e.operators) }

// Peers returns the address of the peers' listener.
func (e *Entry) Peers() netip.AddrPort { return addrOf(e.peerSide) }

func addrOf(l net.Listener) netip.AddrPort {
	addr, _ := l.Addr().(*net.TCPAddr)

	return addr.AddrPort()
}

// Run serves until ctx ends and then shuts down gracefully.
func (e *Entry) Run(ctx context.Context) error {
	// The peer side and the loops outlive ctx, because a graceful shutdown
	// needs them.
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()

	e.stopPeers = cancel
	e.log.Add(timeline.Event{Kind: timeline.ProcessStarted})
	e.logger.Info().Str("callers", e.Callers().String()).Str("operators", e.Operators().String()).
		Str("peers", e.Peers().String()).Msg("started")

	failed := make(chan error, 1)
	e.serve(inner, failed)
	e.loops(inner)

	var err error

	select {
	case <-ctx.Done():
	case err = <-failed:
	}

	e.shutdown(inner)
	cancel()
	e.wg.Wait()
	e.peers.close()
	e.logger.Info().Msg("stopped")

	return err
}

// loops starts everything that runs at intervals.
func (e *Entry) loops(ctx context.Context) {
	for _, c := range e.cells {
		e.wg.Go(func() { c.Run(ctx) })
	}

	for _, loop := range []func(context.Context){
		e.watchRoster, e.beat, e.readLists, e.watchLists, e.renewGrants, e.sendReports,
		e.shipEvents, e.publishBoards, e.sweepClaims,
	} {
		e.wg.Go(func() { loop(ctx) })
	}
}

// every calls f at once and then at the interval, until ctx ends.
func every(ctx context.Context, d time.Duration, f func()) {
	t := time.NewTicker(d)
	defer t.Stop()

	for {
		f()

		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// ID returns the instance's id.
func (e *Entry) ID() instance.ID { return e.cfg.ID }

// Holds reports whether the entry believes to hold the cell's lease.
func (e *Entry) Holds(c int) bool {
	_, ok := e.cells[c].Lease()

	return ok
}
