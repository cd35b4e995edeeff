package news

import (
	"context"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/customer/quota"
	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/serving/ratelimit"
)

// Permit is an owner's decision on a request to a target that states a rate limit.
type Permit struct {
	quota.Decision

	// Process is the owner's process.
	Process string
	// Released says that the owner is stopping and uses no delegations.
	Released bool
	// Latest is what the owner knows of the target's limit.
	Latest ratelimit.Observation
}

// RateLimitMessage is a ratelimit.Observation on the wire. It states an age, so that
// no clocks are compared.
type RateLimitMessage struct {
	_ struct{} `cbor:",toarray"`

	Target    string
	Stated    bool
	PerSecond float64
	AgeMs     int64
}

// PermitRequestMessage is an entry's request for a permit on the wire.
type PermitRequestMessage struct {
	_ struct{} `cbor:",toarray"`

	Entry string
	Limit RateLimitMessage
}

// PermitMessage is a Permit on the wire.
type PermitMessage struct {
	_ struct{} `cbor:",toarray"`

	Granted  bool
	WaitMs   int64
	Part     float64
	Process  string
	Released bool
	Latest   RateLimitMessage
}

func fromObservation(o ratelimit.Observation, now time.Time) RateLimitMessage {
	return RateLimitMessage{
		Target: string(o.Target), Stated: o.Limit.Stated, PerSecond: o.Limit.PerSecond, AgeMs: max(0, now.Sub(o.At).Milliseconds()),
	}
}

func toObservation(m RateLimitMessage, now time.Time) ratelimit.Observation {
	return ratelimit.Observation{
		Target: instance.ID(m.Target), Limit: ratelimit.Limit{Stated: m.Stated, PerSecond: m.PerSecond},
		At: now.Add(-time.Duration(m.AgeMs) * time.Millisecond),
	}
}

func fromObservations(list []ratelimit.Observation, now time.Time) []RateLimitMessage {
	out := make([]RateLimitMessage, len(list))
	for i, o := range list {
		out[i] = fromObservation(o, now)
	}

	return out
}

func toObservations(list []RateLimitMessage, now time.Time) []ratelimit.Observation {
	out := make([]ratelimit.Observation, len(list))
	for i, m := range list {
		out[i] = toObservation(m, now)
	}

	return out
}

// Permit is the remote call.
func (s service) Permit(in PermitRequestMessage, out *PermitMessage) error {
	p := s.h.Permit(instance.ID(in.Entry), toObservation(in.Limit, clock.Now()))
	*out = PermitMessage{
		Granted: p.Granted, WaitMs: p.Wait.Milliseconds(), Part: p.Part, Process: p.Process, Released: p.Released,
		Latest: fromObservation(p.Latest, clock.Now()),
	}

	return nil
}

// RateLimits is the remote call.
func (s service) RateLimits(in []RateLimitMessage, out *[]RateLimitMessage) error {
	*out = fromObservations(s.h.RateLimits(toObservations(in, clock.Now())), clock.Now())

	return nil
}

// Permit asks the peer, as an owner, whether the entry may send a request to the
// target of the observation.
func (c *Client) Permit(ctx context.Context, entry instance.ID, o ratelimit.Observation) (Permit, error) {
	in := PermitRequestMessage{Entry: string(entry), Limit: fromObservation(o, clock.Now())}

	var out PermitMessage
	if err := c.Call(ctx, serviceName+".Permit", in, &out); err != nil {
		return Permit{}, err
	}

	return Permit{
		Decision: quota.Decision{Granted: out.Granted, Wait: time.Duration(out.WaitMs) * time.Millisecond, Part: out.Part},
		Process:  out.Process, Released: out.Released, Latest: toObservation(out.Latest, clock.Now()),
	}, nil
}

// RateLimits sends observations of targets' rate limits to the peer. It returns those
// of the same targets that are newer there.
func (c *Client) RateLimits(ctx context.Context, known []ratelimit.Observation) ([]ratelimit.Observation, error) {
	var out []RateLimitMessage
	if err := c.Call(ctx, serviceName+".RateLimits", fromObservations(known, clock.Now()), &out); err != nil {
		return nil, err
	}

	return toObservations(out, clock.Now()), nil
}
