// Package holder controls all model engines from one entry at a time, the one
// that holds the lease. The lease holder collects the demand of all entries,
// plans loads with package swap, sends the orders to the engines and publishes
// to all entries which models are loaded where.
package holder

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/semaphore"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/inventory"
	"github.com/fulmarcross/fulmarcross/internal/placement/demand"
	"github.com/fulmarcross/fulmarcross/internal/placement/lease"
	"github.com/fulmarcross/fulmarcross/internal/placement/swap"
	"github.com/fulmarcross/fulmarcross/internal/platform/table"
	"github.com/fulmarcross/fulmarcross/internal/serving/ratelimit"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
)

const (
	// cell is the number of the only cell.
	cell = 0
	// allWork is more than the number of goroutines that work at a time.
	allWork = math.MaxInt64
)

// Config configures a Holder.
type Config struct {
	Self    instance.ID
	Process string
	Table   table.Service
	Engines Engines
	Timing  lease.Timing
	// TurnPause is the time within which orders of two holders must not
	// alternate: those that arrive first and last at an engine are so far apart if
	// another holder's arrive between them. See earliestOrder.
	TurnPause time.Duration
	// Targets returns the known targets. Routes returns the configuration in
	// force, or nil.
	Targets func() map[instance.ID]inventory.Target
	Routes  func() *route.Config
	// RateLimit returns the rate limit that a target states. It may be nil.
	RateLimit func(id instance.ID) ratelimit.Limit
	// Strength is the share of a processor that this entry has.
	Strength float64
	// Peers returns the other entries that are alive.
	Peers func() []Candidate
	// Candidates returns the entries of Peers and others that may be alive. This
	// entry's rank among them decides when it checks the lease. Nil means the
	// same as Peers.
	Candidates func() []Candidate
	// CutOff reports whether this entry reaches no engine. It then does not acquire the
	// lease, and its own failures to reach an engine say nothing. It may be nil.
	CutOff func() bool
	// Suspect is called with the service of an engine that gave no answer. It may be nil.
	Suspect func(service string)
	// Publish sends a snapshot to all entries, including this one.
	Publish func(Snapshot)
	Log     zerolog.Logger
}

// Holder watches the lease on behalf of one entry, and decides placement while
// the entry holds it. Create it with New.
type Holder struct {
	cfg     Config
	started time.Time
	wake    chan struct{}
	// work is held, one unit each, by the goroutines that send orders to engines or request their
	// reports, and whole by a release of the lease.
	work *semaphore.Weighted

	mu    sync.Mutex
	watch lease.Watch
	lease lease.Holding
	// termBegan is when this holder last acquired the lease. formerTerm says that the lease had
	// been held before.
	termBegan  time.Time
	formerTerm bool
	// ordersFrom is the time from which this holder may send orders. Until
	// inventoryBy it waits for engines that have not reported which models
	// they hold.
	ordersFrom, inventoryBy time.Time
	// ordersFromToken is the token of the term that ordersFrom belongs to.
	ordersFromToken uint64
	sentOrders      sentOrders
	formerHolders   formerHolders
	demand          demand.Reports
	resumed         demand.ResumedModels
	// shortRates and longRates are the request rates by model, smoothed over
	// shortRateSpan and longRateSpan.
	shortRates, longRates rates
	engines               map[instance.ID]*trackedEngine
	// churns measure how fast the targets of each service leave.
	churns map[string]*churn
	// paces are the models' own paces, by service/model.
	paces map[string]*pace
	// storeCapacities estimate how many concurrent loads the weight store
	// serves at full speed, by service.
	storeCapacities map[string]*storeCapacity
	// reservations are the loads that targets could not start, by service.
	reservations map[string]swap.Reservations
	// predictions are for the models that can only be loaded later, sorted by
	// key.
	predictions []Prediction
	// flows estimate how fast queued requests start, and backlogs are those to publish.
	flows      flows
	backlogs   []Backlog
	lateOrders lateOrders
	// snapshot is the newest snapshot that was received or published.
	// snapshotAt is when that was, with two exceptions: New sets it so that an
	// entry of the first group checks the lease after firstLeaseCheck, and
	// Receive sets it to zero on the successor, which checks the lease at once.
	snapshot   Snapshot
	snapshotAt time.Time
	number     uint64
	// published is false when the state has changed since the last snapshot
	// was published.
	published bool
	// nextLeaseCall is the earliest time of the next lease check or renewal.
	nextLeaseCall time.Time
	draining      bool
}

// NotHolderError reports that this entry does not hold the lease.
type NotHolderError struct{ Hint instance.ID }

func (e *NotHolderError) Error() string {
	return fmt.Sprintf("not the lease holder, try %q", string(e.Hint))
}

// New returns a Holder. Call Run to start it.
func New(cfg Config) *Holder {
	now := clock.Now()

	return &Holder{
		cfg: cfg, started: now, snapshotAt: now.Add(firstLeaseCheck - snapshotTimeout), wake: make(chan struct{}, 1),
		work: semaphore.NewWeighted(allWork), engines: make(map[instance.ID]*trackedEngine), shortRates: rates{span: shortRateSpan}, longRates: rates{span: longRateSpan},
	}
}

const (
	// holderInterval is the pause between rounds of the holder when nothing
	// wakes it, and followerInterval that of the other entries.
	holderInterval   = 50 * time.Millisecond
	followerInterval = 200 * time.Millisecond
	// restFactor times the duration of a round is the minimum pause before the
	// next, so that decisions use at most a fifth of a core.
	restFactor = 4
	// maxRest bounds that pause: a round may take long because it was blocked
	// rather than computing, and a holder that pauses for seconds loses its
	// lease.
	maxRest = 150 * time.Millisecond
	// MaxAnnounceDelay is the longest time from Announce to the publication, unless a round
	// takes longer than holderInterval.
	MaxAnnounceDelay = maxRest + 2*holderInterval
	// slowRound is the duration from which a round is logged.
	slowRound = 300 * time.Millisecond
	// publishInterval is the time between snapshots when nothing changes. An
	// entry that has missed three snapshots checks the lease.
	publishInterval = 400 * time.Millisecond
	// snapshotTimeout is the time without a snapshot after which an entry
	// checks the lease.
	snapshotTimeout = 1300 * time.Millisecond
	// leaseCheckInterval is the time between two such checks by an entry of the
	// first group. Later groups check less often, see watchGroup.
	leaseCheckInterval = 400 * time.Millisecond
	// firstLeaseCheck is how long after its start an entry that has received
	// no snapshot checks the lease. By then it has received the membership, so
	// that not all entries check at once.
	firstLeaseCheck = 300 * time.Millisecond
	// acquireDelay is how long after its start an entry may acquire the lease.
	// By then it has received the membership, which may contain a stronger
	// entry.
	acquireDelay = 900 * time.Millisecond
	// groupSize is the number of entries that check the lease first. The next
	// group of that size follows groupDelay later, and so on: usually an entry
	// of the first group acquires the lease.
	groupSize  = 5
	groupDelay = 400 * time.Millisecond
)

// Run watches or holds the lease until ctx ends.
func (h *Holder) Run(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		pause := h.step(ctx)

		took := time.Since(began)
		if took >= slowRound {
			h.cfg.Log.Warn().Dur("took", took).Bool("holds", h.Holding()).Msg("slow decision round")
		}

		// Wake does not shorten this pause, since reports of many entries wake
		// the holder hundreds of times a second.
		_ = clock.Sleep(ctx, min(restFactor*took, maxRest))

		t := time.NewTimer(pause)

		select {
		case <-ctx.Done():
		case <-h.wake:
		case <-t.C:
		}

		t.Stop()
	}
}

// Wake starts the next round of Run without waiting for its interval.
func (h *Holder) Wake() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// Announce makes the lease holder publish a snapshot in its next round, and
// starts that round without waiting for the interval. It is for changes that
// entries must receive without delay. An entry without the lease publishes
// nothing.
func (h *Holder) Announce() {
	h.mu.Lock()
	h.published = false
	h.mu.Unlock()
	h.Wake()
}

func (h *Holder) step(ctx context.Context) time.Duration {
	h.mu.Lock()
	held, draining := h.lease, h.draining
	sinceSnapshot := clock.Now().Sub(h.snapshotAt)
	due := !draining && !h.cutOff() && sinceSnapshot >= snapshotTimeout && !clock.Now().Before(h.nextLeaseCall)
	h.mu.Unlock()

	if due && held.Token == 0 {
		due = sinceSnapshot >= snapshotTimeout+time.Duration(h.watchGroup())*groupDelay
	}

	switch {
	case held.Token != 0:
		h.renewIfDue(ctx, held)
		h.decide(ctx)

		return holderInterval
	case due:
		h.checkLease(ctx)
	}

	return followerInterval
}

func (h *Holder) suspectReach(eng *trackedEngine) {
	if h.cfg.Suspect != nil {
		h.cfg.Suspect(eng.origin.Service)
	}
}

func (h *Holder) cutOff() bool { return h.cfg.CutOff != nil && h.cfg.CutOff() }

// Report records an entry's demand, and the targets that, as the entry found,
// lack a model or adapter or accept no connection. It returns a NotHolderError
// on an entry without the lease.
func (h *Holder) Report(r demand.Report, missing []Missing) error {
	h.mu.Lock()
	defer h.mu.Unlock()

	if h.lease.Token == 0 {
		return &NotHolderError{Hint: h.snapshot.Holder}
	}

	h.demand.Record(r, time.Now())
	h.recordUses(r, clock.Now())
	h.flows.record(r)
	h.recordPauses(r.Uses, clock.Now())

	for _, rest := range r.Resting {
		h.recordRest(rest, clock.Now())
	}

	for _, m := range missing {
		if m.Key == "" {
			h.suspect(m.Target, r.Entry)
		} else {
			h.recordMissing(m)
		}
	}

	h.Wake()

	return nil
}

// Resume records the models that an entry's resumed streams wait for. It returns a
// NotHolderError on an entry without the lease.
func (h *Holder) Resume(resumed []demand.Resumed) error {
	h.mu.Lock()
	defer h.mu.Unlock()

	if h.lease.Token == 0 {
		return &NotHolderError{Hint: h.snapshot.Holder}
	}

	h.resumed.Record(resumed, clock.Now())
	h.Wake()

	return nil
}

// Receive applies a snapshot of another holder. It reports whether the snapshot
// is newer than the last one.
func (h *Holder) Receive(next Snapshot) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	if !next.newer(h.snapshot) {
		return false
	}

	now := clock.Now()
	h.snapshot, h.snapshotAt = next, now
	h.formerHolders.record(next.Holder, now)

	observed := lease.Record{Cell: cell, Holder: next.Holder, Process: next.Process, Token: next.Token, Released: next.Successor != "", Successor: next.Successor}
	h.watch.Observe(next.LeaseVersion, observed, now)

	if h.lease.Token != 0 && next.Token > h.lease.Token {
		h.cfg.Log.Warn().Uint64("token", h.lease.Token).Str("holder", string(next.Holder)).Msg("lease lost")
		h.lease = lease.Holding{}
	}

	if next.Successor == h.cfg.Self {
		h.snapshotAt, h.nextLeaseCall = time.Time{}, time.Time{}
		h.Wake()
	}

	return true
}

// Holding reports whether this entry holds the lease.
func (h *Holder) Holding() bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.lease.Token != 0
}

// LastHolder returns the lease holder named by the newest snapshot.
func (h *Holder) LastHolder() instance.ID {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.snapshot.Holder
}
