package news

import (
	"context"
	"errors"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/serving/crash"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
)

// Inquiry asks an entry what it knows against a conviction.
type Inquiry struct {
	Fingerprints []request.Fingerprint
	Deaths       []crash.Death
}

// Findings is the answer to an Inquiry: the times at which requests with the fingerprints
// last ran soundly there, and at which the processes last wrote to it. Zero means that none
// is known.
type Findings struct {
	SoundAt []time.Time
	HeardAt []time.Time
}

// unknownAge stands for a time that is not known.
const unknownAge = -1

// ProcessMessage is a crash.Death on the wire.
type ProcessMessage struct {
	_ struct{} `cbor:",toarray"`

	Target, Incarnation string
}

// FingerprintMessage is a fingerprint on the wire, with the age of what is said of it.
type FingerprintMessage struct {
	_ struct{} `cbor:",toarray"`

	Fingerprint uint64
	AgeMs       int64
}

// TestimonyMessage is a crash.Testimony on the wire. It states ages, so that no clocks are
// compared.
type TestimonyMessage struct {
	_ struct{} `cbor:",toarray"`

	Process ProcessMessage
	// AtMs is unknownAge if it is not known, and UntilMs if the target is only silent.
	AtMs, UntilMs int64
	Exposed       []FingerprintMessage
}

// InquiryMessage is an Inquiry on the wire.
type InquiryMessage struct {
	_ struct{} `cbor:",toarray"`

	Fingerprints []uint64
	Deaths       []ProcessMessage
}

// FindingsMessage is Findings on the wire, as ages.
type FindingsMessage struct {
	_ struct{} `cbor:",toarray"`

	SoundMs, HeardMs []int64
}

// EndedProbeMessage says on the wire that a probe has not run.
type EndedProbeMessage struct {
	_ struct{} `cbor:",toarray"`

	Fingerprints []uint64
	Sent         bool
}

func fromDeath(d crash.Death) ProcessMessage {
	return ProcessMessage{Target: string(d.Target), Incarnation: d.Incarnation}
}

func toDeath(m ProcessMessage) crash.Death {
	return crash.Death{Target: instance.ID(m.Target), Incarnation: m.Incarnation}
}

func fromTestimony(t crash.Testimony, now time.Time) TestimonyMessage {
	ages := fromTimes([]time.Time{t.At, t.Until}, now)
	out := TestimonyMessage{Process: fromDeath(t.Death), AtMs: ages[0], UntilMs: ages[1]}

	for fp, sent := range t.Exposed {
		out.Exposed = append(out.Exposed, FingerprintMessage{Fingerprint: uint64(fp), AgeMs: now.Sub(sent).Milliseconds()})
	}

	return out
}

func toTestimony(m TestimonyMessage, now time.Time) crash.Testimony {
	times := toTimes([]int64{m.AtMs, m.UntilMs}, now)
	out := crash.Testimony{Death: toDeath(m.Process), At: times[0], Until: times[1], Exposed: make(map[request.Fingerprint]time.Time, len(m.Exposed))}

	for _, e := range m.Exposed {
		out.Exposed[request.Fingerprint(e.Fingerprint)] = before(now, e.AgeMs)
	}

	return out
}

// before returns the time that is an age before now.
func before(now time.Time, ageMs int64) time.Time {
	return now.Add(-time.Duration(ageMs) * time.Millisecond)
}

func fromTimes(times []time.Time, now time.Time) []int64 {
	out := make([]int64, len(times))

	for i, at := range times {
		out[i] = unknownAge
		if !at.IsZero() {
			out[i] = max(0, now.Sub(at).Milliseconds())
		}
	}

	return out
}

func toTimes(ages []int64, now time.Time) []time.Time {
	out := make([]time.Time, len(ages))

	for i, age := range ages {
		if age != unknownAge {
			out[i] = before(now, age)
		}
	}

	return out
}

func fromBlocks(blocks []crash.Block, now time.Time) []FingerprintMessage {
	out := make([]FingerprintMessage, len(blocks))
	for i, b := range blocks {
		out[i] = FingerprintMessage{Fingerprint: uint64(b.Fingerprint), AgeMs: now.Sub(b.LastDeath).Milliseconds()}
	}

	return out
}

// Testify is the remote call.
func (s service) Testify(in []TestimonyMessage, _ *Empty) error {
	for _, m := range in {
		s.h.Testify(toTestimony(m, clock.Now()))
	}

	return nil
}

// Inquire is the remote call.
func (s service) Inquire(in InquiryMessage, out *FindingsMessage) error {
	q := Inquiry{Fingerprints: toFingerprints(in.Fingerprints)}

	for _, m := range in.Deaths {
		q.Deaths = append(q.Deaths, toDeath(m))
	}

	e, now := s.h.Inquire(q), clock.Now()
	*out = FindingsMessage{SoundMs: fromTimes(e.SoundAt, now), HeardMs: fromTimes(e.HeardAt, now)}

	return nil
}

// SoundRunsMessage is crash.SoundRuns on the wire.
type SoundRunsMessage struct {
	_ struct{} `cbor:",toarray"`

	With, All int
}

// SoundSince is the remote call. The age is that of the time from which runs count.
func (s service) SoundSince(in FingerprintMessage, out *map[string]SoundRunsMessage) error {
	*out = make(map[string]SoundRunsMessage)

	for model, runs := range s.h.SoundSince(request.Fingerprint(in.Fingerprint), before(clock.Now(), in.AgeMs)) {
		(*out)[model] = SoundRunsMessage{With: runs.With, All: runs.All}
	}

	return nil
}

// Block is the remote call.
func (s service) Block(in []FingerprintMessage, out *[]int64) error {
	*out = s.block(in, crash.Block{})

	return nil
}

// Restrict is the remote call.
func (s service) Restrict(in []FingerprintMessage, out *[]int64) error {
	*out = s.block(in, crash.Block{Restricted: true})

	return nil
}

// BlockRecurring is the remote call.
func (s service) BlockRecurring(in []FingerprintMessage, out *[]int64) error {
	*out = s.block(in, crash.Block{Recurring: true})

	return nil
}

// block blocks what is given, each in the way of kind.
func (s service) block(in []FingerprintMessage, kind crash.Block) []int64 {
	now := clock.Now()
	blocks := make([]crash.Block, len(in))

	for i, m := range in {
		blocks[i] = kind
		blocks[i].Fingerprint, blocks[i].LastDeath = request.Fingerprint(m.Fingerprint), before(now, m.AgeMs)
	}

	return fromTimes(s.h.Block(blocks), clock.Now())
}

// Acquit is the remote call.
func (s service) Acquit(in FingerprintMessage, _ *Empty) error {
	s.h.Acquit(request.Fingerprint(in.Fingerprint), before(clock.Now(), in.AgeMs))

	return nil
}

// Lift is the remote call.
func (s service) Lift(in uint64, _ *Empty) error {
	s.h.Lift(request.Fingerprint(in))

	return nil
}

// Probe is the remote call.
func (s service) Probe(in []uint64, out *bool) error {
	*out = s.h.Probe(toFingerprints(in))

	return nil
}

// Probe asks whether one request with the fingerprints may run although it is blocked.
func (c *Client) Probe(ctx context.Context, fps []request.Fingerprint) (granted bool, err error) {
	err = c.Call(ctx, serviceName+".Probe", fromFingerprints(fps), &granted)

	return granted, err
}

// EndProbe is the remote call.
func (s service) EndProbe(in EndedProbeMessage, _ *Empty) error {
	s.h.EndProbe(toFingerprints(in.Fingerprints), in.Sent)

	return nil
}

// EndProbe says that a request that might run has not run, and whether it was sent to a target.
func (c *Client) EndProbe(ctx context.Context, fps []request.Fingerprint, sent bool) error {
	in := EndedProbeMessage{Fingerprints: fromFingerprints(fps), Sent: sent}

	return c.Call(ctx, serviceName+".EndProbe", in, &Empty{})
}

func fromFingerprints(fps []request.Fingerprint) []uint64 {
	out := make([]uint64, len(fps))
	for i, fp := range fps {
		out[i] = uint64(fp)
	}

	return out
}

func toFingerprints(in []uint64) []request.Fingerprint {
	out := make([]request.Fingerprint, len(in))
	for i, fp := range in {
		out[i] = request.Fingerprint(fp)
	}

	return out
}

// Lift ends a block that this entry has found and does not find any more.
func (c *Client) Lift(ctx context.Context, fp request.Fingerprint) error {
	return c.Call(ctx, serviceName+".Lift", uint64(fp), &Empty{})
}

// Testify tells an entry that judges what this one has observed of deaths.
func (c *Client) Testify(ctx context.Context, testimonies []crash.Testimony) error {
	now := clock.Now()
	in := make([]TestimonyMessage, len(testimonies))

	for i, t := range testimonies {
		in[i] = fromTestimony(t, now)
	}

	return c.Call(ctx, serviceName+".Testify", in, &Empty{})
}

// Inquire asks an entry what it knows against a conviction.
func (c *Client) Inquire(ctx context.Context, q Inquiry) (Findings, error) {
	in := InquiryMessage{Fingerprints: fromFingerprints(q.Fingerprints)}

	for _, d := range q.Deaths {
		in.Deaths = append(in.Deaths, fromDeath(d))
	}

	var out FindingsMessage
	if err := c.Call(ctx, serviceName+".Inquire", in, &out); err != nil {
		return Findings{}, err
	}

	now := clock.Now()

	return Findings{SoundAt: toTimes(out.SoundMs, now), HeardAt: toTimes(out.HeardMs, now)}, nil
}

// SoundSince returns how many sound runs of the peer began after a time, by their models.
func (c *Client) SoundSince(ctx context.Context, fp request.Fingerprint, at time.Time) (map[string]crash.SoundRuns, error) {
	in := FingerprintMessage{Fingerprint: uint64(fp), AgeMs: clock.Now().Sub(at).Milliseconds()}

	var byModel map[string]SoundRunsMessage
	if err := c.Call(ctx, serviceName+".SoundSince", in, &byModel); err != nil {
		return nil, err
	}

	out := make(map[string]crash.SoundRuns, len(byModel))
	for model, runs := range byModel {
		out[model] = crash.SoundRuns{With: runs.With, All: runs.All}
	}

	return out, nil
}

// blockMethods are the calls for blocks, and which blocks each of them is for.
var blockMethods = map[string]func(crash.Block) bool{
	".Block":          func(b crash.Block) bool { return !b.Restricted && !b.Recurring },
	".Restrict":       func(b crash.Block) bool { return b.Restricted },
	".BlockRecurring": func(b crash.Block) bool { return b.Recurring },
}

// Block blocks or restricts what crashes targets. It returns for each when a request with it has
// run soundly at the peer since, which then does not block it, or zero.
func (c *Client) Block(ctx context.Context, blocks []crash.Block) ([]time.Time, error) {
	var failed error

	out := make([]time.Time, len(blocks))

	for method, isOf := range blockMethods {
		var (
			some   []crash.Block
			places []int
		)

		for i, b := range blocks {
			if isOf(b) {
				some, places = append(some, b), append(places, i)
			}
		}

		if len(some) == 0 {
			continue
		}

		var ages []int64
		if err := c.Call(ctx, serviceName+method, fromBlocks(some, clock.Now()), &ages); err != nil {
			failed = errors.Join(failed, err)

			continue
		}

		for i, at := range toTimes(ages, clock.Now()) {
			if i < len(places) {
				out[places[i]] = at
			}
		}
	}

	return out, failed
}

// Acquit says that a request with the fingerprint ran soundly at a time.
func (c *Client) Acquit(ctx context.Context, fp request.Fingerprint, at time.Time) error {
	in := FingerprintMessage{Fingerprint: uint64(fp), AgeMs: clock.Now().Sub(at).Milliseconds()}

	return c.Call(ctx, serviceName+".Acquit", in, &Empty{})
}
