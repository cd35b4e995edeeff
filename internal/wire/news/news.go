// Package news is the protocol between the entries on the users' platform. It has
// calls for gossip, the lease holder's snapshots, entries' reports, configurations and
// lists of targets, and limits.
package news

import (
	"context"
	"math"
	"net"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/membership"
	"github.com/fulmarcross/fulmarcross/internal/placement/demand"
	"github.com/fulmarcross/fulmarcross/internal/placement/holder"
	"github.com/fulmarcross/fulmarcross/internal/serving/crash"
	"github.com/fulmarcross/fulmarcross/internal/serving/origin"
	"github.com/fulmarcross/fulmarcross/internal/serving/ratelimit"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
	"github.com/fulmarcross/fulmarcross/internal/serving/statement"
	"github.com/fulmarcross/fulmarcross/internal/wire/frame"
	"github.com/fulmarcross/fulmarcross/internal/wire/peer"
)

// Greeting is a gossip message or the answer to one.
type Greeting struct {
	From membership.Member
	// Digest summarises the sender's list of members.
	Digest membership.Digest
	// Pulses are the heartbeats of the sender's list. Only answers contain them, and
	// only if the lists differ.
	Pulses []membership.ProcessHeartbeat
	// Want are the hashes of the processes that the sender requests, and Known the
	// members that the other entry requested.
	Want  []uint64
	Known []membership.Member
}

// Handler handles the calls of an entry's peers.
type Handler interface {
	// Greet applies a gossip message and returns the answer.
	Greet(g Greeting) Greeting
	// Hear applies a holder's delta if this entry has the version that it is based
	// on. It returns the version that this entry then has.
	Hear(d holder.Delta) holder.Version
	// Report records an entry's demand, and returns what this lease holder knows.
	Report(r demand.Report, missing []holder.Missing) (HolderKnowledge, error)
	// ConfigPart returns a part of a newer configuration than the peer's.
	ConfigPart(q ConfigQuery) ConfigPart
	// Reaches reports whether this entry reaches the engines.
	Reaches() bool
	// View returns what is newer here than what the peer has.
	View(have Versions) View
	// Resume tells the lease holder which models resumed streams wait for.
	Resume(resumed []demand.Resumed) error
	// Testify tells this entry what a peer has observed of a death.
	Testify(t crash.Testimony)
	// Inquire returns what this entry knows against a conviction.
	Inquire(q Inquiry) Findings
	// SoundSince returns how many sound runs of this entry began after a time, by their models.
	SoundSince(fp request.Fingerprint, at time.Time) map[string]crash.SoundRuns
	// Block blocks what crashes targets. It returns for each when a request with it has run
	// soundly here since, so that it is not blocked, or zero.
	Block(blocks []crash.Block) []time.Time
	// Lift ends a block that a peer has found and does not find any more.
	Lift(fp request.Fingerprint)
	// Probe reports whether one request with the fingerprints may run although it is blocked, to
	// find out whether what blocks it is sound. EndProbe says that it has not run, and whether
	// it was sent to a target.
	Probe(fps []request.Fingerprint) bool
	EndProbe(fps []request.Fingerprint, sent bool)
	// Acquit says that a request with the fingerprint ran soundly at a time.
	Acquit(fp request.Fingerprint, at time.Time)
	// Lend accepts a delegation of a peer's shares of limits.
	Lend(l Lending) Receipt
	// Draw decides whether a peer's request is within its team's limit.
	Draw(d Drawing) Drawn
	// Permit decides whether a peer may send a request to the target of the
	// observation.
	Permit(entry instance.ID, o ratelimit.Observation) Permit
	// Departures records which targets have said that they leave, as a peer knows, and
	// returns those that this entry knows and that are not on the list of targets yet.
	Departures(known []statement.Departure) []statement.Departure
	// RecordOrigins records which software began streams that a peer forwards.
	RecordOrigins(records []origin.Record)
	// FindOrigin returns what this entry knows of the software that began a stream.
	FindOrigin(service string, k origin.Key) OriginAnswer
	// RateLimits records a peer's observations of targets' rate limits and returns
	// those of the same targets that are newer here.
	RateLimits(known []ratelimit.Observation) []ratelimit.Observation
}

const serviceName = "Entry"

// Empty is the answer to calls that return nothing.
type Empty struct{}

type service struct{ h Handler }

// Greet is the remote call.
func (s service) Greet(in GreetingMessage, out *GreetingMessage) error {
	g, err := toGreeting(in)
	if err != nil {
		return err
	}

	*out = fromGreeting(s.h.Greet(g))

	return nil
}

// Hear is the remote call.
func (s service) Hear(in Message, out *EditionMessage) error {
	*out = fromEdition(s.h.Hear(toDelta(in, time.Now())))

	return nil
}

// ReportMessage is an entry's demand on the wire.
type ReportMessage struct {
	_ struct{} `cbor:",toarray"`

	Report  peer.Report
	Missing [][2]string
	Resting []RestMessage
}

// RestMessage is a demand.Rest on the wire.
type RestMessage struct {
	_ struct{} `cbor:",toarray"`

	Target string
	LeftMs int64
}

// Report is the remote call.
func (s service) Report(in ReportMessage, out *ReportReply) error {
	missing := make([]holder.Missing, len(in.Missing))
	for i, m := range in.Missing {
		missing[i] = holder.Missing{Target: instance.ID(m[0]), Key: m[1]}
	}

	r := peer.ToReport(in.Report, time.Now())
	for _, m := range in.Resting {
		r.Resting = append(r.Resting, demand.Rest{Target: instance.ID(m.Target), Left: time.Duration(m.LeftMs) * time.Millisecond})
	}

	k, err := s.h.Report(r, missing)
	*out = fromKnowledge(k, time.Now())

	return err
}

// View is the remote call.
func (s service) View(in VersionsMessage, out *ViewMessage) error {
	*out = fromView(s.h.View(Versions{Config: in.Config, List: toRevision(in.List)}))

	return nil
}

// Serve answers peers on l until l is closed.
func Serve(ctx context.Context, l net.Listener, h Handler) error {
	return frame.Serve(ctx, l, serviceName, service{h})
}

// Client calls one entry.
type Client struct{ frame.Caller }

// Greet exchanges gossip with the peer.
func (c *Client) Greet(ctx context.Context, g Greeting) (Greeting, error) {
	var out GreetingMessage

	if err := c.Call(ctx, serviceName+".Greet", fromGreeting(g), &out); err != nil {
		return Greeting{}, err
	}

	return toGreeting(out)
}

// Hear sends a delta. It returns the version that the peer then has.
func (c *Client) Hear(ctx context.Context, d holder.Delta) (holder.Version, error) {
	var has EditionMessage

	// After an error, a late answer may still be written to has.
	if err := c.Call(ctx, serviceName+".Hear", fromDelta(d, time.Now()), &has); err != nil {
		return holder.Version{}, err
	}

	return toEdition(has), nil
}

// Report sends an entry's demand, and returns what the lease holder knows.
func (c *Client) Report(ctx context.Context, r demand.Report, missing []holder.Missing) (HolderKnowledge, error) {
	in := ReportMessage{Report: peer.FromReport(r, time.Now())}
	for _, m := range missing {
		in.Missing = append(in.Missing, [2]string{string(m.Target), m.Key})
	}

	for _, rest := range r.Resting {
		in.Resting = append(in.Resting, RestMessage{Target: string(rest.Target), LeftMs: rest.Left.Milliseconds()})
	}

	var out ReportReply

	requested := time.Now()

	if err := c.Call(ctx, serviceName+".Report", in, &out); err != nil {
		return HolderKnowledge{}, err
	}

	return toKnowledge(out, requested), nil
}

// View fetches the configuration and the list if the peer's are newer.
func (c *Client) View(ctx context.Context, have Versions) (View, error) {
	var out ViewMessage

	in := VersionsMessage{Config: have.Config, List: fromRevision(have.List)}
	if err := c.Call(ctx, serviceName+".View", in, &out); err != nil {
		return View{}, err
	}

	return toView(out)
}

// Message is a holder.Delta on the wire.
type Message struct {
	_ struct{} `cbor:",toarray"`

	Holder, Process, Successor string
	Token, Number              uint64
	LeaseVersion               RevisionMessage
	Config                     uint64
	List                       RevisionMessage
	StoreAgeMs                 int64
	StoreFails                 bool
	Base                       EditionMessage
	Gone                       []string
	Stations                   []StationMessage
	Counts                     []CountMessage
	Waits                      []WaitMessage
	Backlogs                   []BacklogMessage
}

// BacklogMessage is a holder.Backlog on the wire.
type BacklogMessage struct {
	_ struct{} `cbor:",toarray"`

	Key             string
	Waiting         int
	StartsPerSecond float64
}

// EditionMessage is a holder.Version on the wire.
type EditionMessage struct {
	_ struct{} `cbor:",toarray"`

	Token, Process, Number uint64
}

// CountMessage is a holder.EngineCounts on the wire.
type CountMessage struct {
	_ struct{} `cbor:",toarray"`

	Target                 string
	Running, Lines, Tokens int
	// SpeedPercent is the speed in hundredths, which takes two bytes.
	SpeedPercent int
}

// WaitMessage is a holder.Prediction on the wire.
type WaitMessage struct {
	_ struct{} `cbor:",toarray"`

	Key    string
	LeftMs int64
}

// StationMessage is a holder.EngineState on the wire.
type StationMessage struct {
	_ struct{} `cbor:",toarray"`

	Target   string
	Born     int64
	Sequence uint64
	Running  int
	Lines    int
	Held     []HeldMessage
	Tokens   int
	// SpeedPercent is as in CountMessage.
	SpeedPercent int
}

// HeldMessage is a holder.ResidentModel on the wire. It states the time until the model
// is ready, so that no clocks are compared.
type HeldMessage struct {
	_ struct{} `cbor:",toarray"`

	Model    string
	LeftMs   int64
	Adapters []AdapterMessage
}

// AdapterMessage is a holder.ResidentAdapter on the wire.
type AdapterMessage struct {
	_ struct{} `cbor:",toarray"`

	Name   string
	LeftMs int64
}

func fromEdition(e holder.Version) EditionMessage {
	return EditionMessage{Token: e.Token, Process: e.Process, Number: e.Number}
}

func toEdition(e EditionMessage) holder.Version {
	return holder.Version{Token: e.Token, Process: e.Process, Number: e.Number}
}

// percent returns a speed in hundredths, and speed the reverse.
func percent(speed float64) int { return int(math.Round(speed * 100)) } //nolint:mnd // Hundredths.

func speed(percent int) float64 { return float64(percent) / 100 } //nolint:mnd // Hundredths.

func leftMs(t, now time.Time) int64 { return max(0, t.Sub(now).Milliseconds()) }

func fromDelta(n holder.Delta, now time.Time) Message {
	out := Message{
		Holder: string(n.Holder), Process: n.Process, Successor: string(n.Successor),
		Token: n.Token, Number: n.Number, LeaseVersion: fromRevision(n.LeaseVersion), Config: n.ConfigVersion, List: fromRevision(n.ListVersion),
		StoreAgeMs: n.StoreAge.Milliseconds(), StoreFails: n.StoreFails, Base: fromEdition(n.Base),
	}

	for _, id := range n.Removed {
		out.Gone = append(out.Gone, string(id))
	}

	for _, c := range n.Counts {
		out.Counts = append(out.Counts, CountMessage{Target: string(c.Target), Running: c.Running, Lines: c.WaitingEntries, Tokens: c.Tokens, SpeedPercent: percent(c.Speed)})
	}

	for _, w := range n.Predictions {
		out.Waits = append(out.Waits, WaitMessage{Key: w.Key, LeftMs: leftMs(w.Ready, now)})
	}

	for _, b := range n.Backlogs {
		out.Backlogs = append(out.Backlogs, BacklogMessage{Key: b.Key, Waiting: b.Waiting, StartsPerSecond: b.StartsPerSecond})
	}

	for _, s := range n.Engines {
		st := StationMessage{Target: string(s.Target), Born: s.Born, Sequence: s.Sequence, Running: s.Running, Lines: s.WaitingEntries, Tokens: s.Tokens, SpeedPercent: percent(s.Speed)}

		for _, held := range s.Resident {
			h := HeldMessage{Model: held.Model, LeftMs: leftMs(held.Ready, now)}
			for _, a := range held.Adapters {
				h.Adapters = append(h.Adapters, AdapterMessage{Name: a.Name, LeftMs: leftMs(a.Ready, now)})
			}

			st.Held = append(st.Held, h)
		}

		out.Stations = append(out.Stations, st)
	}

	return out
}

func toDelta(n Message, now time.Time) holder.Delta {
	at := func(ms int64) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	out := holder.Delta{Base: toEdition(n.Base), Snapshot: holder.Snapshot{
		Holder: instance.ID(n.Holder), Process: n.Process, Successor: instance.ID(n.Successor),
		Token: n.Token, Number: n.Number, LeaseVersion: toRevision(n.LeaseVersion), ConfigVersion: n.Config, ListVersion: toRevision(n.List),
		StoreAge: time.Duration(n.StoreAgeMs) * time.Millisecond, StoreFails: n.StoreFails,
	}}

	for _, id := range n.Gone {
		out.Removed = append(out.Removed, instance.ID(id))
	}

	for _, c := range n.Counts {
		out.Counts = append(out.Counts, holder.EngineCounts{Target: instance.ID(c.Target), Running: c.Running, WaitingEntries: c.Lines, Tokens: c.Tokens, Speed: speed(c.SpeedPercent)})
	}

	for _, w := range n.Waits {
		out.Predictions = append(out.Predictions, holder.Prediction{Key: w.Key, Ready: at(w.LeftMs)})
	}

	for _, b := range n.Backlogs {
		out.Backlogs = append(out.Backlogs, holder.Backlog{Key: b.Key, Waiting: b.Waiting, StartsPerSecond: b.StartsPerSecond})
	}

	for _, s := range n.Stations {
		st := holder.EngineState{Target: instance.ID(s.Target), Born: s.Born, Sequence: s.Sequence, Running: s.Running, WaitingEntries: s.Lines, Tokens: s.Tokens, Speed: speed(s.SpeedPercent)}

		for _, held := range s.Held {
			h := holder.ResidentModel{Model: held.Model, Ready: at(held.LeftMs)}
			for _, a := range held.Adapters {
				h.Adapters = append(h.Adapters, holder.ResidentAdapter{Name: a.Name, Ready: at(a.LeftMs)})
			}

			st.Resident = append(st.Resident, h)
		}

		out.Engines = append(out.Engines, st)
	}

	return out
}
