package peer

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/customer/key"
	"github.com/fulmarcross/fulmarcross/internal/customer/limit"
	"github.com/fulmarcross/fulmarcross/internal/customer/plan"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/peer"
	"github.com/fulmarcross/fulmarcross/internal/placement/demand"
	"github.com/fulmarcross/fulmarcross/internal/placement/ledger"
	"github.com/fulmarcross/fulmarcross/internal/placement/replica"
	"github.com/fulmarcross/fulmarcross/internal/placement/share"
	"github.com/fulmarcross/fulmarcross/internal/room/timeline"
	"github.com/fulmarcross/fulmarcross/internal/serving/crash"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
	"github.com/fulmarcross/fulmarcross/internal/serving/router"
	"github.com/fulmarcross/fulmarcross/internal/wire/frame"
)

// echo keeps what it gets and answers with what it was given.
type echo struct {
	mu       sync.Mutex
	status   peer.Status
	report   demand.Report
	snapshot *router.Snapshot
	notice   Notice
	ask      limit.Request
	edits    []plan.Edit
	events   []timeline.Event
	lists    plan.State
	silent   chan struct{}
}

func (e *echo) Heartbeat(s peer.Status) peer.Status {
	if e.silent != nil {
		<-e.silent
	}

	// A heartbeat that was silent may end while the next one is answered.
	e.mu.Lock()
	defer e.mu.Unlock()

	e.status = s

	return s
}

func (e *echo) Report(r demand.Report) error {
	e.report = r

	return &LapsedError{}
}

func (e *echo) Snapshot(s *router.Snapshot) bool {
	e.snapshot = s

	return true
}

func (e *echo) Notify(n Notice) { e.notice = n }
func (e *echo) Nudge(int)       {}

func (e *echo) Ask(a limit.Request) limit.Grant {
	e.ask = a

	return limit.Grant{Amount: a.Demand, TTL: time.Second}
}

func (e *echo) GrantShare(a share.Request) share.Loads          { return a.Wanted }
func (e *echo) Reserve(instance.ID, string, time.Duration) bool { return true }
func (e *echo) Unreserve(instance.ID, string)                   {}

func (e *echo) Edits(edits []plan.Edit) uint64 {
	e.edits = edits

	return 7
}

func (e *echo) EditsAfter(uint64) ([]plan.Edit, bool)   { return e.edits, true }
func (e *echo) Lists() plan.State                       { return e.lists }
func (e *echo) Events(timeline.Filter) []timeline.Event { return e.events }
func (e *echo) KeepEvents(events []timeline.Event)      { e.events = events }
func (e *echo) Board(uint64, []byte)                    {}

// LapsedError is an error that crosses the wire as text.
type LapsedError struct{}

func (*LapsedError) Error() string { return "lapsed" }

func serve(t *testing.T, h Handler) *Client {
	t.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)

	go func() { _ = Serve(t.Context(), l, h) }()

	t.Cleanup(func() { _ = l.Close() })

	c := &Client{Caller: frame.Caller{Address: netip.MustParseAddrPort(l.Addr().String())}}
	t.Cleanup(c.Close)

	return c
}

// TestRoundTrip sends each message with every field set and expects it to
// arrive as it was.
func TestRoundTrip(t *testing.T) {
	h := &echo{}
	c := serve(t, h)
	ctx := t.Context()
	ms := time.UnixMilli(1780000000123)

	status := peer.Status{
		ID: "a", DataCentre: "d", Process: "p", Started: ms, Draining: true, Ready: true, ListVersion: 9,
		Leases: []peer.Lease{{Cell: 1, Token: 2}}, OrdersInFlight: []int{3}, Leaving: []instance.ID{"t"},
		BlockedFingerprints: []request.Fingerprint{1 << 63}, Clock: 5,
		Plans: []peer.PlanCount{{
			Plan: "p", Running: 1, Waiting: 2, Answered: 3, Tokens: 4, Refused: map[request.Code]int64{request.Limited: 5},
		}},
	}
	got, err := c.Heartbeat(ctx, status)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, status)

	snapshot := &router.Snapshot{
		Cell: 1, Holder: "h", Token: 2, Number: 3, Base: 2, RemovedTargets: []instance.ID{"g"},
		Targets: []router.TargetInfo{{
			ID: "t", DataCentre: "d", Address: netip.MustParseAddrPort("10.0.0.1:7"), Speed: 1.5, Memory: 1, ReservedMemory: 2,
			Slots: 3, Running: 4, Waiting: 5, ReportAge: 6 * time.Millisecond, Leaving: true, Down: true, Incarnation: "i",
		}},
		Added: []router.Replica{{Target: "t", Model: "m"}}, Removed: []router.Replica{{Target: "u", Model: "n"}},
		Waits: []router.Wait{{Model: "w", Ready: time.Second, Reason: "r", RetryAfter: time.Minute, Waiting: 8}},
	}
	applied, err := c.Snapshot(ctx, snapshot)
	assert.NilError(t, err)
	assert.Assert(t, applied)
	assert.Equal(t, h.snapshot.Targets[0], snapshot.Targets[0])

	h.snapshot.Targets, snapshot.Targets = nil, nil
	assert.DeepEqual(t, h.snapshot, snapshot)

	n := Notice{
		Leaving: []instance.ID{"t"}, Poisoned: []request.Fingerprint{4},
		Dead: []crash.Death{{Target: "t", Incarnation: "i"}},
	}
	assert.NilError(t, c.Notify(ctx, n))
	assert.DeepEqual(t, h.notice, n)

	ask := limit.Request{Entry: "e", Plan: "p", Demand: limit.Amount{Rate: 1.5, Concurrency: 2, Tokens: 3}, Running: 4}
	grant, err := c.Ask(ctx, ask)
	assert.NilError(t, err)
	assert.DeepEqual(t, h.ask, ask)
	assert.DeepEqual(t, grant, limit.Grant{Amount: ask.Demand, TTL: time.Second})

	loads := share.Loads{Models: 2, Adapters: 3}
	granted, err := c.GrantShare(ctx, share.Request{Cell: 1, Wanted: loads})
	assert.NilError(t, err)
	assert.Equal(t, granted, loads)

	p := plan.Plan{
		Name: "p", Customer: "c", Keys: []key.Digest{key.DigestOf("k")}, RequestsPerSecond: 1, Concurrency: 2,
		TokensPerMinute: 3, Accelerators: 4, Priority: 5, RequestTimeout: time.Second, OnRemoval: plan.CancelRunning,
	}
	a := plan.Allowance{Plan: "p", Kind: plan.Model, Name: "m"}
	edits := []plan.Edit{{
		Version: 3, WriteID: "w", Author: "o", At: ms.UTC(),
		Changes: []plan.Change{plan.SetPlan{Plan: p}, plan.RemovePlan{Name: "q"}, plan.Allow{Allowance: a}, plan.Disallow{Allowance: a}},
	}}
	version, err := c.Edits(ctx, edits)
	assert.NilError(t, err)
	assert.Equal(t, version, uint64(7))

	back, complete, err := c.EditsAfter(ctx, 0)
	assert.NilError(t, err)
	assert.Assert(t, complete)
	assert.DeepEqual(t, back, edits)

	h.lists = plan.Restore(4, []plan.Plan{p}, []plan.Allowance{a})
	lists, err := c.Lists(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(plan.Diff(lists, h.lists)), 0)

	events := []timeline.Event{{
		At: 1, Instance: "i", Process: "p", Number: 2, Kind: timeline.Sent, Request: "r", Model: "m", Target: "t",
		Customer: "c", Detail: "d",
	}}
	assert.NilError(t, c.KeepEvents(ctx, events))

	fetched, err := c.Events(ctx, timeline.Filter{})
	assert.NilError(t, err)
	assert.DeepEqual(t, fetched, events)

	// An error of the other side comes back as such, and the connection lives.
	assert.ErrorContains(t, c.Report(ctx, demand.Report{
		Entry: "e", Process: "p", Cell: 1, Token: 2, Number: 3,
		Waiting: []replica.Demand{{Model: "m", Plan: "p", Waiting: 4, Priority: 5, Deadline: time.Now().Add(time.Minute)}},
		Uses:    []demand.Use{{Key: ledger.Key{Target: "t", Model: "m"}, Running: 6, Served: 7}},
	}), "lapsed")
	assert.Equal(t, h.report.Uses[0].Served, 7)
	assert.Assert(t, time.Until(h.report.Waiting[0].Deadline) > 50*time.Second)
}

// TestDeadlinesSurviveClocks is the story of two machines whose clocks are an
// hour apart: a deadline in ten seconds here is one in ten seconds there.
func TestDeadlinesSurviveClocks(t *testing.T) {
	here := time.Date(2026, 1, 1, 9, 0, 0, 0, time.UTC)
	there := here.Add(-time.Hour)
	r := demand.Report{Waiting: []replica.Demand{{Model: "m", Deadline: here.Add(10 * time.Second)}}}
	got := ToReport(FromReport(r, here), there)
	assert.Equal(t, got.Waiting[0].Deadline, there.Add(10*time.Second))
}

// TestSilentConnection is the story of a peer connection that has gone silent
// for good: the call ends in bounded time and the next one uses a new
// connection.
func TestSilentConnection(t *testing.T) {
	h := &echo{silent: make(chan struct{})}
	c := serve(t, h)

	_, err := c.Heartbeat(t.Context(), peer.Status{})

	var timeout *frame.TimeoutError

	assert.Assert(t, errors.As(err, &timeout))
	close(h.silent)

	_, err = c.Heartbeat(t.Context(), peer.Status{})
	assert.NilError(t, err)
}
