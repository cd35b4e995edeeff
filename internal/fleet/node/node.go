// Package node assembles one entry: it follows the configuration and the list
// of targets, serves clients, takes part in the control of the engines and
// communicates with the other entries.
package node

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/fulmarcross/fulmarcross/internal/customer/quota"
	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/fleet/freshness"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/inventory"
	"github.com/fulmarcross/fulmarcross/internal/fleet/membership"
	"github.com/fulmarcross/fulmarcross/internal/placement/holder"
	"github.com/fulmarcross/fulmarcross/internal/placement/lease"
	"github.com/fulmarcross/fulmarcross/internal/platform/revision"
	"github.com/fulmarcross/fulmarcross/internal/platform/table"
	"github.com/fulmarcross/fulmarcross/internal/room/metric"
	"github.com/fulmarcross/fulmarcross/internal/serving/dispatch"
	"github.com/fulmarcross/fulmarcross/internal/serving/memory"
	"github.com/fulmarcross/fulmarcross/internal/serving/ratelimit"
	"github.com/fulmarcross/fulmarcross/internal/serving/relay"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
	"github.com/fulmarcross/fulmarcross/internal/serving/router"
	"github.com/fulmarcross/fulmarcross/internal/serving/statement"
)

// Source provides the configuration and the list of targets. The methods that
// take a version wait for changes after it.
type Source interface {
	Configuration(ctx context.Context) (*route.Config, revision.Number, error)
	ConfigurationAfter(ctx context.Context, after revision.Number, wait time.Duration) (*route.Config, revision.Number, error)
	Targets(ctx context.Context) ([]inventory.Change, revision.Number, error)
	TargetsAfter(ctx context.Context, after revision.Number, wait time.Duration) ([]inventory.Change, revision.Number, error)
	// Decode parses a configuration's text.
	Decode(text []byte) (*route.Config, error)
}

// Config configures a Node.
type Config struct {
	Self       instance.ID
	DataCentre instance.DataCentre
	// Callers, Readiness, Peers and Metrics are the addresses to listen on.
	Callers, Readiness, Peers, Metrics netip.AddrPort
	// Listen and Dial replace TCP for callers, peers and targets if they are set.
	Listen func(ctx context.Context, address netip.AddrPort) (net.Listener, error)
	Dial   func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	// Seeds are the addresses of entries to contact first to discover the
	// others.
	Seeds []netip.AddrPort
	// ReadyPath is the path of the readiness check.
	ReadyPath string
	Source    Source
	Table     table.Service
	Engines   holder.Engines
	// Health asks a plain target at a path whether it is healthy. It fails if the target does not
	// answer. It may be nil.
	Health   func(ctx context.Context, t inventory.Target, path string) (healthy bool, err error)
	Protocol relay.Protocol
	// Strength is the share of a processor that this instance has.
	Strength float64
	// AssumedEntries is the number of entries assumed while no peer is alive,
	// and the minimum number assumed to share the retry budget.
	AssumedEntries int
	RetryLimit     relay.RetryLimit
	// BoundedMemory is set if targets fail when requests exceed their memory for prompts
	// and answers, and if what this process holds for clients is bounded.
	BoundedMemory bool
	// MemoryMB is the memory that the process may use; zero means unknown.
	MemoryMB float64
	// Slack is how far requests may exceed their teams' limits.
	Slack quota.Slack
	// GracePeriod is how long a graceful shutdown may take. TurnPause is the
	// time within which orders of two holders must not alternate.
	GracePeriod, TurnPause time.Duration
	Log                    zerolog.Logger
	// Dropped returns the number of log lines that were dropped; nil means
	// none.
	Dropped func() int64
}

// Node is one entry. Create it with New.
type Node struct {
	cfg        Config
	process    string
	started    time.Time
	relay      *relay.Server
	dispatcher *dispatch.Dispatcher
	routing    router.Table
	holder     *holder.Holder
	peers      peers
	// workCtx ends after the last request has been answered.
	workCtx     context.Context
	cancelWork  context.CancelFunc
	pool        relay.Pool
	reach       reachability
	budgets     relay.RetryBudgets
	metricsPage metric.Page
	metrics     tally.Scope
	calls       calls
	traffic     traffic
	quotas      quotas
	origins     origins
	crashes     crashes
	// rateLimits are the limits that targets state, departures the targets that have said
	// that they leave, and rests those that have asked this entry for rest. statementNews signals that one of them has begun or
	// ceased to say so.
	rateLimits    ratelimit.Registry
	departures    statement.Departures
	rests         statement.Rests
	statementNews chan struct{}
	// confirmation coordinates the checks for a newer configuration.
	confirmation confirmation
	// metricsCloser stops the reporting of metrics.
	metricsCloser io.Closer

	routes atomic.Pointer[route.Table]
	// listApplied reports that a list of targets has been applied.
	listApplied atomic.Bool
	stopping    atomic.Bool
	// eraHeard reports that the store has stated an era.
	eraHeard atomic.Bool
	// refreshList and refreshConfig request an immediate read of the store.
	refreshList, refreshConfig chan struct{}
	packedConfigs              packedConfigs
	configRead                 configRead
	// readingTargets reports that a call to the store for the list of targets is in
	// progress.
	readingTargets atomic.Bool
	// configAnnounced signals that this entry has heard of a newer configuration, and
	// listAnnounced that the holder has announced a newer list.
	configAnnounced, listAnnounced chan struct{}
	// routingChanged requests a rebuild of the routing, reportSoon a report to
	// the holder, and reportIdle a report that may be delayed by
	// idleReportDelay.
	routingChanged, reportSoon, reportIdle chan struct{}

	mu       sync.Mutex
	registry inventory.Registry
	// listVersion is the store's version at which the list of targets was last
	// read, by this entry or by the peer that sent it.
	listVersion revision.Number
	// removals are the targets that were removed from the list.
	removals removals
	// usableVersion is the version of the list at which the set of usable
	// targets last changed.
	usableVersion revision.Number
	// configReadsFail and targetReadsFail report that the store does not
	// answer.
	configReadsFail, targetReadsFail atomic.Bool
	// targetsByID is a copy of the registry's targets, as they stand on the list.
	// targets are the same with what they have said of themselves since. Both are
	// replaced, never modified.
	targetsByID, targets map[instance.ID]inventory.Target
	// software is that of the targets on the list, by service. It is replaced, never modified.
	software map[string][]instance.Software
	// holderState is the latest snapshot of holderHistory, and holderReceived
	// the time at which it was received.
	holderState    holder.Snapshot
	holderHistory  holder.History
	holderReceived time.Time
	// termHeardAt is when this entry first heard of the lease term of holderState.
	termHeardAt time.Time
	// configAsOf and targetsAsOf are times at which this entry had missed no change of the
	// configuration and of the list in the store.
	configAsOf, targetsAsOf time.Time
	// configReadVersion is the store's version at which the configuration was
	// last read, and storedConfig the version of the configuration read then.
	configReadVersion revision.Number
	storedConfig      uint64
	// knowledge is what this entry knows of the configuration, and transfer the part of a
	// newer one that has arrived.
	knowledge freshness.Knowledge
	transfer  transfer
	// holderAsOf is a time at which the holder had missed no change in the store. It is
	// dated from this entry's own reports, which the holder answers.
	holderAsOf time.Time
	// missing are the keys that targets reported that they do not hold.
	// unreportedMissing are those of them, and the unreachable targets, that
	// the next report sends to the holder.
	missing           map[holder.Missing]missingReport
	unreportedMissing []holder.Missing
	// unsharedRateLimits are the targets that have begun or ceased to state a limit
	// since this entry last informed others.
	unsharedRateLimits []instance.ID
	// unsharedDepartures are the targets that have said that they leave since this
	// entry last informed others.
	unsharedDepartures []statement.Departure
	snapshotNumber     uint64
	applied            appliedRouting
}

// New returns an entry. Run starts it.
func New(cfg Config) *Node {
	n := &Node{
		cfg: cfg, process: uuid.NewString(), started: time.Now(),
		refreshList: make(chan struct{}, 1), refreshConfig: make(chan struct{}, 1), configAnnounced: make(chan struct{}, 1), listAnnounced: make(chan struct{}, 1), statementNews: make(chan struct{}, 1),
		routingChanged: make(chan struct{}, 1), reportSoon: make(chan struct{}, 1), reportIdle: make(chan struct{}, 1),
		missing: make(map[holder.Missing]missingReport),
	}
	n.pool.Dial = cfg.Dial
	n.routing.Self = cfg.Self
	n.budgets.Limit = cfg.RetryLimit
	n.budgets.Started = time.Now()
	n.budgets.SetEntries(worstCaseEntries)
	n.workCtx, n.cancelWork = context.WithCancel(context.Background())
	n.peers.node = n
	n.reach.node = n
	n.origins.node = n
	n.origins.shareSoon, n.origins.storeSoon, n.origins.listChanged = make(chan struct{}, 1), make(chan struct{}, 1), make(chan struct{}, 1)
	n.crashes.node, n.crashes.untold = n, make(chan struct{}, 1)
	n.quotas.node, n.quotas.roundSoon = n, make(chan struct{}, 1)
	n.quotas.owner.Slack, n.quotas.delegator.Started = cfg.Slack, clock.Now()
	n.peers.members.Self = membership.Member{ID: cfg.Self, Address: cfg.Peers, Process: n.process, Started: time.Now(), Strength: cfg.Strength}

	n.metrics, n.metricsCloser = n.metricsPage.Scope()
	n.calls.metrics, n.traffic.metrics = n.metrics, n.metrics
	n.cfg.Table = countedTable{cfg.Table, n.countTableCall}
	n.dispatcher = dispatch.New(dispatch.Config{
		Table: &n.routing, Permit: n.quotas.permit, Placeable: n.placeable, ReloadTime: n.reloadTime, Entries: n.aliveEntries, CellOf: func(string) int { return 0 },
		Prerequisite: holder.ModelOf, Predictive: n.predictive,
		OnQueued: func(string) { signal(n.reportSoon) }, OnReplicaIdle: func() { signal(n.reportIdle) }, OnNotice: n.broadcastNotice, MaxWaiting: maxWaiting,
	})
	n.dispatcher.Crashes.OnDeath = n.crashes.observe
	n.dispatcher.Crashes.MayProbe = n.crashes.mayProbe
	n.dispatcher.Crashes.EndProbe = func(fps []request.Fingerprint, sent bool) { go n.crashes.endProbe(fps, sent) }
	n.dispatcher.Crashes.OnDue = func(fp request.Fingerprint) { go n.crashes.restrict(n.workCtx, fp) }
	n.dispatcher.Crashes.OnRefuted = n.crashes.forgetProbes
	n.dispatcher.Crashes.OnReversal = func(fp request.Fingerprint) { go n.crashes.reverse(fp) }
	n.dispatcher.Crashes.OnAcquittal = func(fp request.Fingerprint, at time.Time) { go n.crashes.acquit(fp, at) }
	n.relay = &relay.Server{
		Protocol: cfg.Protocol, Dispatcher: n.dispatcher, Pool: &n.pool, Budgets: &n.budgets,
		Table: n.routes.Load, TableKnown: n.configKnown, TableTooOld: n.configTooOld, RefreshTable: n.confirm, Limits: &n.quotas, Origins: &n.origins, OnModelAbsent: n.recordMissing, OnAddressMoved: n.markMoved, OnUnreachable: n.recordUnreachable, Process: n.reportedProcess, Answers: n.answers, OnStatement: n.hear, Reach: &n.reach, Log: cfg.Log, Metrics: n.metrics, BoundTokens: cfg.BoundedMemory,
	}

	if cfg.MemoryMB > 0 {
		n.relay.Memory = memory.New(cfg.MemoryMB)
	}

	if cfg.BoundedMemory {
		n.relay.CutOffStalled = true

		if cfg.Dial == nil {
			n.pool.Dial = relay.DialBounded
		}
	}

	n.dispatcher.Crashes.LivesOn = n.relay.LivesOn
	n.holder = holder.New(holder.Config{
		Self: cfg.Self, Strength: cfg.Strength, Process: n.process, Table: n.cfg.Table, Engines: cfg.Engines, Timing: leaseTiming, TurnPause: cfg.TurnPause,
		Targets: n.knownTargets, Routes: n.config, RateLimit: n.rateLimits.Limit,
		Peers:      func() []holder.Candidate { return candidates(n.peers.alive()) },
		Candidates: func() []holder.Candidate { return candidates(n.peers.aliveOrNew()) },
		Publish:    n.publish, CutOff: n.reach.cutOffEngines, Suspect: func(service string) { n.reach.begin(service) }, Log: cfg.Log,
	})

	return n
}

// SetRetryLimit replaces the limit on retries.
func (n *Node) SetRetryLimit(a relay.RetryLimit) { n.budgets.SetLimit(a) }

// maxWaiting bounds the requests queued for one model on this entry.
const maxWaiting = 256

// leaseTiming is the timing of the lease. A takeover after a death takes the
// duration and one poll, about three seconds. Two renewals fit into the
// duration, so one may fail before the lease expires.
var leaseTiming = lease.Timing{
	Duration: 2500 * time.Millisecond,
	Renew:    800 * time.Millisecond,
	Poll:     400 * time.Millisecond,
	Stagger:  200 * time.Millisecond,
}

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

func (n *Node) config() *route.Config {
	if t := n.routes.Load(); t != nil {
		return t.Config
	}

	return nil
}
