package relay

import (
	"cmp"
	"context"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/serving/origin"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
)

// Origins knows which software began streams, also those that other entries forwarded.
type Origins interface {
	// Find returns what is known of a stream that its client resumes. It takes a short time
	// at most.
	Find(ctx context.Context, service string, k origin.Key) origin.Finding
	// Begin records that software has begun a stream, or goes on with it.
	Begin(service string, r origin.Record)
	// End records that the client has received the whole stream.
	End(k origin.Key)
}

// headerSoftware names the software that began the stream, in requests and answers between
// two entries.
const headerSoftware = "Fulmarcross-Software"

// findOrigin finds out which software began the stream that the client resumes, if it does.
// It refuses a stream of which that cannot be known: it could go on at other software.
func (d *delivery) findOrigin(ctx context.Context) error {
	if d.Origins == nil || d.route.Kind != route.Stream {
		return nil
	}

	d.stream = origin.KeyOf(d.teamName(), d.req.Model, cmp.Or(d.info.FirstAttempt, d.info.ID))

	var found origin.Finding

	switch {
	case d.passed.origin.Begun():
		found = origin.Finding{Origin: d.passed.origin, Source: origin.SourceNeighbour}
	case d.info.LastEvent == "" && d.info.FirstAttempt == "", d.passing:
		return nil // The entry to which the request is passed on finds out.
	default:
		found = d.Origins.Find(ctx, d.service, d.stream)
	}

	d.req.Origin = found.Origin
	d.Log.Info().Str("id", d.info.ID).Str("firstAttempt", d.info.FirstAttempt).Str("after", d.info.LastEvent).Stringer("software", d.req.Origin).Str("source", string(found.Source)).Msg("stream resumed")

	if _, known := d.req.Origin.Known(); !known {
		return request.Refuse(request.UnknownOrigin, defaultRetryAfter, "it is not known which software began the stream")
	}

	return nil
}

// maxClientTimeout is how long a client may resume its stream if it states no timeout.
const maxClientTimeout = 2 * time.Minute

// beginStream records which software makes the stream, before its first event is sent.
func (d *delivery) beginStream(a *answer) {
	if d.recorded {
		return
	}

	d.recorded = true

	if !d.req.Origin.Begun() {
		d.req.Origin = a.origin
	}

	if s, known := d.req.Origin.Known(); known && d.Origins != nil {
		until := d.arrived.Add(cmp.Or(d.info.Timeout, maxClientTimeout))
		d.Origins.Begin(d.service, origin.Record{Key: d.stream, Software: s, Until: until})
	}
}

// endStreamRecord records that the client has received the whole stream.
func (d *delivery) endStreamRecord() {
	if d.recorded && d.Origins != nil {
		d.Origins.End(d.stream)
	}
}

// originOfPassed returns the origin that a neighbour states in its answer, and removes the
// header, which is not for clients.
func originOfPassed(a *answer) origin.Origin {
	defer a.Header.Del(headerSoftware)

	if values := a.Header.Values(headerSoftware); len(values) == 1 {
		return origin.Of(instance.Software(values[0]))
	}

	return origin.Unknown()
}
