package peer

import (
	"time"

	"github.com/fulmarcross/fulmarcross/internal/customer/limit"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/peer"
	"github.com/fulmarcross/fulmarcross/internal/placement/demand"
	"github.com/fulmarcross/fulmarcross/internal/placement/ledger"
	"github.com/fulmarcross/fulmarcross/internal/placement/replica"
	"github.com/fulmarcross/fulmarcross/internal/room/timeline"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
)

// Messages are encoded as arrays, so fields may only be added at the end, and
// only with a new Version.

// Empty is a message without content.
type Empty struct{}

// Lease is a peer.Lease on the wire.
type Lease struct {
	_ struct{} `cbor:",toarray"`

	Cell  int
	Token uint64
}

// PlanCount is a peer.PlanCount on the wire.
type PlanCount struct {
	_ struct{} `cbor:",toarray"`

	Plan     string
	Running  int
	Waiting  int
	Answered int64
	Tokens   int64
	Refused  map[string]int64
}

// Status is a peer.Status on the wire.
type Status struct {
	_ struct{} `cbor:",toarray"`

	ID           string
	DataCentre   string
	Process      string
	StartedMs    int64
	Draining     bool
	Ready        bool
	ListVersion  uint64
	Leases       []Lease
	OrdersInHand []int
	Leaving      []string
	Poisoned     []uint64
	Plans        []PlanCount
	Clock        uint64
}

// FromStatus maps a status to the wire.
func FromStatus(s peer.Status) Status {
	out := Status{
		ID:           string(s.ID),
		DataCentre:   string(s.DataCentre),
		Process:      s.Process,
		StartedMs:    s.Started.UnixMilli(),
		Draining:     s.Draining,
		Ready:        s.Ready,
		ListVersion:  s.ListVersion,
		OrdersInHand: s.OrdersInFlight,
		Leaving:      fromIDs(s.Leaving),
		Clock:        uint64(s.Clock),
	}

	for _, l := range s.Leases {
		out.Leases = append(out.Leases, Lease{Cell: l.Cell, Token: l.Token})
	}

	for _, fp := range s.BlockedFingerprints {
		out.Poisoned = append(out.Poisoned, uint64(fp))
	}

	for _, p := range s.Plans {
		out.Plans = append(out.Plans, fromPlanCount(p))
	}

	return out
}

func fromPlanCount(p peer.PlanCount) PlanCount {
	out := PlanCount{
		Plan:     p.Plan,
		Running:  p.Running,
		Waiting:  p.Waiting,
		Answered: p.Answered,
		Tokens:   p.Tokens,
		Refused:  make(map[string]int64, len(p.Refused)),
	}

	for code, n := range p.Refused {
		out.Refused[string(code)] = n
	}

	return out
}

// ToStatus maps a status from the wire.
func ToStatus(s Status) peer.Status {
	out := peer.Status{
		ID:             instance.ID(s.ID),
		DataCentre:     instance.DataCentre(s.DataCentre),
		Process:        s.Process,
		Started:        time.UnixMilli(s.StartedMs),
		Draining:       s.Draining,
		Ready:          s.Ready,
		ListVersion:    s.ListVersion,
		OrdersInFlight: s.OrdersInHand,
		Leaving:        toIDs(s.Leaving),
		Clock:          timeline.Stamp(s.Clock),
	}

	for _, l := range s.Leases {
		out.Leases = append(out.Leases, peer.Lease{Cell: l.Cell, Token: l.Token})
	}

	for _, fp := range s.Poisoned {
		out.BlockedFingerprints = append(out.BlockedFingerprints, request.Fingerprint(fp))
	}

	for _, p := range s.Plans {
		out.Plans = append(out.Plans, toPlanCount(p))
	}

	return out
}

func toPlanCount(p PlanCount) peer.PlanCount {
	out := peer.PlanCount{
		Plan:     p.Plan,
		Running:  p.Running,
		Waiting:  p.Waiting,
		Answered: p.Answered,
		Tokens:   p.Tokens,
		Refused:  make(map[request.Code]int64, len(p.Refused)),
	}

	for code, n := range p.Refused {
		out.Refused[request.Code(code)] = n
	}

	return out
}

func fromIDs(ids []instance.ID) []string {
	out := make([]string, len(ids))
	for i, id := range ids {
		out[i] = string(id)
	}

	return out
}

func toIDs(ids []string) []instance.ID {
	out := make([]instance.ID, len(ids))
	for i, id := range ids {
		out[i] = instance.ID(id)
	}

	return out
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// Demand is a replica.Demand on the wire.
type Demand struct {
	_ struct{} `cbor:",toarray"`

	Model      string
	Plan       string
	Waiting    int
	DeadlineMs int64
	Priority   int
	Arrived    int
	GoalMs     int64
	Refused    int
}

// Use is a demand.Use on the wire.
type Use struct {
	_ struct{} `cbor:",toarray"`

	Target  string
	Model   string
	Running int
	Served  int
	Tokens  int
	Events  int
	// EventMicros is demand.Use.EventTime in microseconds.
	EventMicros int64
}

// Report is a demand.Report on the wire.
type Report struct {
	_ struct{} `cbor:",toarray"`

	Entry   string
	Process string
	Cell    int
	Token   uint64
	Number  uint64
	Waiting []Demand
	Uses    []Use
	// SentMs is the sender's clock, so that deadlines survive clocks that
	// differ.
	SentMs int64
}

// FromReport maps a report to the wire.
func FromReport(r demand.Report, now time.Time) Report {
	out := Report{
		Entry:   string(r.Entry),
		Process: r.Process,
		Cell:    r.Cell,
		Token:   r.Token,
		Number:  r.Number,
		SentMs:  now.UnixMilli(),
	}

	for _, d := range r.Waiting {
		out.Waiting = append(out.Waiting, Demand{
			Model:      d.Model,
			Plan:       d.Plan,
			Waiting:    d.Waiting,
			DeadlineMs: deadlineMs(d.Deadline, now),
			Priority:   d.Priority,
			Arrived:    d.Arrived,
			GoalMs:     deadlineMs(d.Goal, now),
			Refused:    d.Refused,
		})
	}

	for _, u := range r.Uses {
		out.Uses = append(out.Uses, Use{
			Target: string(u.Target), Model: u.Model, Running: u.Running, Served: u.Served,
			Tokens: u.Tokens, Events: u.Events, EventMicros: u.EventTime.Microseconds(),
		})
	}

	return out
}

// deadlineMs is a deadline on the wire, zero for none. It is counted on the
// steady clock, so that a jump of the time of day between does not move it.
func deadlineMs(deadline, now time.Time) int64 {
	if deadline.IsZero() {
		return 0
	}

	return now.UnixMilli() + deadline.Sub(now).Milliseconds()
}

// toDeadline moves a deadline from the sender's clock to the receiver's.
func toDeadline(deadlineMs, sentMs int64, now time.Time) time.Time {
	if deadlineMs == 0 {
		return time.Time{}
	}

	return now.Add(milliseconds(deadlineMs - sentMs))
}

// ToReport maps a report from the wire. Deadlines are moved to the receiver's
// clock.
func ToReport(r Report, now time.Time) demand.Report {
	out := demand.Report{
		Entry:   instance.ID(r.Entry),
		Process: r.Process,
		Cell:    r.Cell,
		Token:   r.Token,
		Number:  r.Number,
	}

	for _, d := range r.Waiting {
		out.Waiting = append(out.Waiting, replica.Demand{
			Model:    d.Model,
			Plan:     d.Plan,
			Waiting:  d.Waiting,
			Deadline: toDeadline(d.DeadlineMs, r.SentMs, now),
			Priority: d.Priority,
			Arrived:  d.Arrived,
			Goal:     toDeadline(d.GoalMs, r.SentMs, now),
			Refused:  d.Refused,
		})
	}

	for _, u := range r.Uses {
		out.Uses = append(out.Uses, demand.Use{
			Key:       ledger.Key{Target: instance.ID(u.Target), Model: u.Model},
			Running:   u.Running,
			Served:    u.Served,
			Tokens:    u.Tokens,
			Events:    u.Events,
			EventTime: time.Duration(u.EventMicros) * time.Microsecond,
		})
	}

	return out
}

// Ask is a limit.Request on the wire.
type Ask struct {
	_ struct{} `cbor:",toarray"`

	Entry       string
	Plan        string
	Rate        float64
	Concurrency int
	Tokens      float64
	Running     int
}

// Grant is a limit.Grant on the wire.
type Grant struct {
	_ struct{} `cbor:",toarray"`

	Rate        float64
	Concurrency int
	Tokens      float64
	ForMs       int64
}

// FromAsk maps an ask to the wire.
func FromAsk(a limit.Request) Ask {
	return Ask{
		Entry:       string(a.Entry),
		Plan:        a.Plan,
		Rate:        a.Demand.Rate,
		Concurrency: a.Demand.Concurrency,
		Tokens:      a.Demand.Tokens,
		Running:     a.Running,
	}
}

// ToAsk maps an ask from the wire.
func ToAsk(a Ask) limit.Request {
	return limit.Request{
		Entry:   instance.ID(a.Entry),
		Plan:    a.Plan,
		Demand:  limit.Amount{Rate: a.Rate, Concurrency: a.Concurrency, Tokens: a.Tokens},
		Running: a.Running,
	}
}

// FromGrant maps a grant to the wire.
func FromGrant(g limit.Grant) Grant {
	return Grant{Rate: g.Rate, Concurrency: g.Concurrency, Tokens: g.Tokens, ForMs: g.TTL.Milliseconds()}
}

// ToGrant maps a grant from the wire.
func ToGrant(g Grant) limit.Grant {
	return limit.Grant{
		Amount: limit.Amount{Rate: g.Rate, Concurrency: g.Concurrency, Tokens: g.Tokens},
		TTL:    milliseconds(g.ForMs),
	}
}
