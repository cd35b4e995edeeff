package relay

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarcross/fulmarcross/internal/customer/team"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/serving/origin"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
)

// delivery is one client's request from its arrival to its end.
type delivery struct {
	*Server

	w        http.ResponseWriter
	r        *http.Request
	route    *route.Route
	info     RequestInfo
	arrived  time.Time
	deadline time.Time
	// newConn says that the attempt opened its connection.
	newConn bool
	// version is the version of the configuration that the request is handled
	// under.
	version uint64
	// team is the client's team, or nil if none is needed. keysInUse is set if
	// clients authenticate with keys.
	team      *team.Team
	keysInUse bool
	// cost is what was charged to the team's limit.
	cost    float64
	service string
	// maxConns limits the connections of all entries to one target of the service.
	maxConns    int
	prioritised bool
	body        []byte
	req         *request.Request
	attemptLog  request.AttemptLog
	// runs counts the attempts that may have run the request.
	runs int
	// suspect is set if the request may have crashed a target.
	suspect bool
	// probe is set if the request runs to find out whether what blocks it is sound, and
	// probeSent once it was sent to a target.
	probe, probeSent bool
	// exclude lists the target of the last attempt.
	exclude []instance.ID
	// headSent is set once the answer's head was sent to the client; lastEvent
	// is then the id of the last event that was sent.
	headSent bool
	// begun is set with headSent, for others.
	begun     atomic.Bool
	lastEvent string
	coldStart bool
	firstByte time.Duration
	// waited is how long the request waited for a target, over all attempts.
	waited time.Duration
	// eventsSent counts the events that were sent to the client; the last one was
	// sent at lastEventAt.
	eventsSent  int
	lastEventAt time.Time
	// clientGone is set once the client has closed its connection.
	clientGone atomic.Bool
	// retryReserved is set if the retry budget was already debited for the next
	// attempt.
	retryReserved atomic.Bool
	// passed is what the entry says that passed the request on to this one. passing is set
	// once this entry passes it on itself, and charged once it has been charged to its
	// team's limit, here or there.
	passed           passed
	passing, charged bool
	// retryDebited is set from the debit of a retry until it is sent.
	retryDebited bool
	// fallback is the last answer of a target with status 500 or above. The
	// client gets it if no later attempt succeeds and no part of a stream was
	// sent.
	fallback *bufferedAnswer
	// stream is the key of the stream that the request begins or resumes. recorded is set
	// once its software has been recorded.
	stream   origin.Key
	recorded bool
	// held is what is held for the request where memory is bounded. readLate is set
	// there if the answer was not read while the last event was written.
	held     held
	readLate bool
}

func (d *delivery) readBody(limits route.Limits) error {
	if d.r.ContentLength == 0 {
		return nil
	}

	limit := limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}

	rc := http.NewResponseController(d.w)
	_ = rc.SetReadDeadline(d.deadline) // Only connections of tests lack deadlines.

	defer d.readUntilEnd(rc.SetReadDeadline)()

	body, err := d.readAll(http.MaxBytesReader(d.w, d.r.Body, limit), min(d.r.ContentLength, limit), &d.held.body, &answerBound{})
	if err != nil {
		return err
	}

	d.body = body
	_ = rc.SetReadDeadline(time.Time{})

	return nil
}

// forward sends the request to a target of the service and answers the client.
func (d *delivery) forward(service route.Service) {
	d.maxConns = service.MaxConns

	model := ""
	if service.Engine != nil {
		model, d.prioritised = d.info.Model, true
	}

	content := d.contentDigest()

	d.req = &request.Request{
		ID:       d.info.ID,
		EngineID: d.info.ID,
		Customer: d.customer(),
		Model:    RoutingKey(d.service, model),
		Prompt:   content + " " + d.info.Prompt,
		Common:   d.commonFingerprints(content),
		Priority: max(0, maxPriority-d.priority()),
		Deadline: d.queueDeadline(),
		Arrived:  d.arrived,
		Tokens:   d.tokens(service.Engine),
	}
	if d.route.Goal > 0 {
		d.req.Goal = d.arrived.Add(d.route.Goal)
	}

	if refusal := d.refuseTooLarge(service.Engine); refusal != nil {
		d.finish(refusal)

		return
	}

	ctx, cancel := context.WithDeadline(d.r.Context(), d.deadline)
	defer cancel()

	defer d.endWith(cancel)()

	defer watchClose(ctx, func() {
		d.clientGone.Store(true)
		cancel()
	})()

	if refusal := d.Dispatcher.Crashes.Refusal(d.req); refusal != nil {
		if d.probe = d.Dispatcher.Crashes.Probes(ctx, d.req); !d.probe {
			d.finish(refusal)

			return
		}

		d.Log.Info().Str("id", d.info.ID).Uints64("fingerprints", d.fingerprints()).Msg("request probes what is blocked")

		defer d.endProbe()
	}

	if d.reached(RefusingNewStreams) && d.route.Kind == route.Stream {
		d.finish(shutdownRefusal())

		return
	}

	if err := d.findOrigin(ctx); err != nil {
		d.finish(err)

		return
	}

	d.suspect = d.Dispatcher.Crashes.IsSuspect(d.req)
	d.finish(d.run(ctx))
}

// queueFraction is the fraction of Route.ClientTimeout (the time after which a
// client disconnects) that a stream may stay queued. A stream that has not begun
// by then is refused while its client still waits and can retry; if it stayed queued for
// the whole time, the client would leave without an answer.
const queueFraction = 0.7

// queueDeadline returns the time at which the request is refused if it is still
// queued.
func (d *delivery) queueDeadline() time.Time {
	if d.route.Kind != route.Stream {
		return d.deadline
	}

	maxWait := time.Duration(queueFraction * float64(d.route.ClientTimeout()))
	if latest := d.arrived.Add(maxWait); latest.Before(d.deadline) {
		return latest
	}

	return d.deadline
}

// maxPriority is the request.Request.Priority of a request whose route or team
// has priority 0, the most urgent. Each step of the route's or team's priority
// lowers it by one, but not below zero. The weight in the queue is one more.
const maxPriority = 9

// commonFingerprints returns the fingerprints that other requests may have too: of the content
// without its prompt, and of the parts of the prompt, the last one first.
func (d *delivery) commonFingerprints(content string) []request.Fingerprint {
	out := []request.Fingerprint{request.FingerprintOf(request.ScopeContent, d.service, content)}

	for _, part := range slices.Backward(d.info.SharedParts) {
		out = append(out, request.FingerprintOf(request.ScopePart, d.service, part))
	}

	return out
}

// contentDigest returns a digest of the request's content and caller, without its prompt. A
// client that sends the same content again under another id gets the same digest.
func (d *delivery) contentDigest() string {
	h := xxhash.New()
	for _, s := range []string{d.teamName(), d.r.Method, d.r.Host, d.r.RequestURI} {
		_, _ = h.WriteString(s)
		_, _ = h.WriteString("\x00")
	}

	_, _ = h.Write(d.body)

	return strconv.FormatUint(h.Sum64(), 16)
}
