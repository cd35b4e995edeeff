package relay

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/fulmarcross/fulmarcross/internal/customer/team"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/room/metric"
	"github.com/fulmarcross/fulmarcross/internal/serving/dispatch"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
	"github.com/fulmarcross/fulmarcross/internal/serving/router"
)

// Server answers callers. Set the exported fields before use.
type Server struct {
	Protocol Protocol
	Lines    *dispatch.Dispatcher
	Pool     *Pool
	Budgets  *Budgets
	// Table returns the routes in force, or nil while none are known.
	Table func() *route.Table
	// Confirm makes sure that Table returns what is now in force, within a moment.
	// Nil means that it always does.
	Confirm func(ctx context.Context)
	// Limits may be nil, and then teams' limits do not hold.
	Limits Limiter
	// Absent is called when a target says that it does not hold what the key
	// names, and Moved when another instance has its address.
	Absent func(t *router.Target, key string)
	Moved  func(t *router.Target)
	// Unreached is called when a target takes no connection, once for a while.
	// Nil means nobody is told.
	Unreached func(t *router.Target)
	Log       zerolog.Logger
	// Metrics may be nil.
	Metrics tally.Scope

	phase   atomic.Int32
	running atomic.Int64
}

// Key names what a request needs of a target: its service and, on an engine,
// the model or adapter.
func Key(service, model string) string { return service + "/" + model }

// Phase is how far an entry has come in stopping. It only grows.
type Phase int32

// The phases of a stop.
const (
	// Open takes everything.
	Open Phase = iota
	// Stopping makes every answer the last one on its connection.
	Stopping
	// Closing refuses streams that still come: one that is taken late would be
	// cut off with the process, while its caller has time to go elsewhere.
	Closing
	// Ending refuses streams that were taken and have not begun.
	Ending
)

// Enter goes on to a phase.
//
// It guards against a stop whose grace time ends under a stream: nothing that
// could not end in time is begun, and its caller is told at once.
func (s *Server) Enter(p Phase) {
	s.phase.Store(int32(p))

	if p < Ending {
		return
	}

	refuse := func() {
		s.Lines.RefuseWaiting(func(*request.Request) *request.Refusal { return stoppingRefusal() })
	}

	refuse()
	// Again for those that were on their way into a line.
	time.AfterFunc(enqueueGrace, refuse)
}

// enqueueGrace is how long after the phase began a request may still get into a
// line.
const enqueueGrace = 100 * time.Millisecond

// stoppingRefusal refuses a request because this entry stops.
func stoppingRefusal() *request.Refusal {
	return request.Refuse(request.ShuttingDown, otherEntryRetry, "this instance is stopping")
}

func (s *Server) reached(p Phase) bool { return Phase(s.phase.Load()) >= p }

// otherEntryRetry is when a caller is told to come back who is only to go to
// another entry.
const otherEntryRetry = 50 * time.Millisecond

// Running returns how many requests are being answered.
func (s *Server) Running() int { return int(s.running.Load()) }

const (
	// noConfigRetry is when a caller is told to come back while no
	// configuration is known: a start takes about that long.
	noConfigRetry = 500 * time.Millisecond
	// defaultMaxBody bounds a body while the operators say nothing.
	defaultMaxBody = 4 << 20
)

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.running.Add(1)
	defer s.running.Add(-1)

	arrived := time.Now()

	if s.reached(Stopping) {
		w.Header().Set("Connection", "close")
	}

	table := s.Table()
	if table == nil {
		s.refuse(w, r, http.StatusServiceUnavailable, noConfigRetry, "no configuration is known yet")

		return
	}

	ask, badAsk := s.Protocol.Parse(r.Header)

	at, err := s.matchRoute(r, table, ask)

	switch {
	case at.route == nil:
		s.refuse(w, r, http.StatusNotFound, 0, "no route")

		return
	case err != nil:
		w.Header().Set("WWW-Authenticate", challenge)
		s.refuse(w, r, http.StatusUnauthorized, 0, err.Error())

		return
	case badAsk != nil:
		s.refuse(w, r, http.StatusBadRequest, 0, badAsk.Error())

		return
	}

	s.serve(w, r, ask, at, arrived)
}

// serve answers a request whose route and caller are known.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, ask Ask, at matchedRoute, arrived time.Time) {
	rt, cfg := at.route, at.table.Config

	left := rt.Timeout
	if ask.Left > 0 && (left == 0 || ask.Left < left) {
		left = ask.Left
	}

	d := &delivery{Server: s, w: w, r: r, route: rt, info: ask, arrived: arrived, deadline: arrived.Add(left), version: cfg.Version, team: at.team, keysInUse: cfg.Teams.Len() > 0}
	d.service = rt.Pick(rand.Float64()) //nolint:gosec // No secret.

	if !d.charge() {
		return
	}

	defer d.refund()

	if err := d.readBody(cfg.Limits); err != nil {
		status := http.StatusBadRequest

		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			status = http.StatusRequestEntityTooLarge
		}

		s.refuse(w, r, status, 0, err.Error())

		return
	}

	d.forward(cfg.Services[d.service])
}

// refuse answers a request that was never sent to a target.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, status int, retry time.Duration, why string) {
	s.count("none", status)
	s.Log.Info().Str("path", r.URL.Path).Int("status", status).Str("why", why).Msg("request refused")
	writeRefusal(w, status, retry)
}

// writeRefusal writes an answer without a body, and when to come back if that is
// known.
func writeRefusal(w http.ResponseWriter, status int, retry time.Duration) {
	if retry > 0 {
		w.Header().Set("Retry-After", retryAfterSeconds(retry))
	}

	w.WriteHeader(status)
}

// count counts an answer by the kind of its request and its status; zero means
// that it was broken off or that its caller left.
func (s *Server) count(kind string, status int) {
	if s.Metrics != nil {
		s.Metrics.Tagged(map[string]string{"kind": kind, "status": strconv.Itoa(status)}).Counter("answers").Inc(1)
	}
}

// kindNames are the kinds of requests in metrics.
var kindNames = map[route.Kind]string{route.Idempotent: "idempotent", route.Once: "once", route.Stream: "stream"}

// recordOutcome records what became of the request.
func (d *delivery) recordOutcome(status int) {
	if d.Metrics == nil {
		return
	}

	kind := kindNames[d.route.Kind]
	d.count(kind, status)

	if n := d.trail.Sends(); n > 1 {
		d.Metrics.Counter("repeats").Inc(int64(n - 1))
	}

	if d.firstByte > 0 {
		d.Metrics.Tagged(map[string]string{"kind": kind}).Histogram("first_byte", metric.Latencies()).RecordDuration(d.firstByte)
	}
}

// delivery is one caller's request on its way.
type delivery struct {
	*Server

	w        http.ResponseWriter
	r        *http.Request
	route    *route.Route
	info      Ask
	arrived  time.Time
	deadline time.Time
	// version is that of the configuration that the request is handled under.
	version uint64
	// team is the caller's, or nil where none is needed; keyed says that callers'
	// keys open the routes.
	team  *team.Team
	keysInUse bool
	// cost is what was counted against the team's limit.
	cost    float64
	service string
	prioritised  bool
	body    []byte
	req     *request.Request
	trail   request.Trail
	// runs counts the targets that may have run the request.
	runs     int
	suspect bool
	exclude []instance.ID
	// headSent says that the answer's head has gone to the caller; last is then
	// the id of the last event that went.
	headSent bool
	lastEvent  string
	coldStart  bool
	firstByte time.Duration
	// waited is how long the request had no target, over all sendings.
	waited time.Duration
	// events counts the stream's events that went to the caller, the last one
	// at heard.
	events int
	lastEventAt  time.Time
	// callerGone says that the caller was found to have closed its connection.
	callerGone atomic.Bool
	// retryReserved says that the next sending has its share of the repeats already.
	retryReserved atomic.Bool
	// fallback is a target's own failure, which the caller gets if no other
	// target does better.
	fallback *bufferedAnswer
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
	_ = rc.SetReadDeadline(d.deadline) // A connection without deadlines is one of a test.

	body, err := io.ReadAll(http.MaxBytesReader(d.w, d.r.Body, limit))
	if err != nil {
		return err
	}

	d.body = body
	_ = rc.SetReadDeadline(time.Time{})

	return nil
}

// forward has the request answered by a target of the service.
func (d *delivery) forward(service route.Service) {
	model := ""
	if service.Engine != nil {
		model, d.prioritised = d.info.Model, true
	}

	d.req = &request.Request{
		ID:       d.info.ID,
		EngineID: d.info.ID,
		Customer: d.customer(),
		Model:    Key(d.service, model),
		Prompt:   d.contentDigest(),
		Priority: max(0, maxWeight-d.priority()),
		Deadline: d.queueDeadline(),
		Arrived:  d.arrived,
	}
	if d.route.Goal > 0 {
		d.req.Goal = d.arrived.Add(d.route.Goal)
	}

	ctx, cancel := context.WithDeadline(d.r.Context(), d.deadline)
	defer cancel()

	defer watchClose(ctx, func() {
		d.callerGone.Store(true)
		cancel()
	})()

	if wait, stopped := d.Lines.Stopped(d.req.Fingerprint()); stopped {
		d.finish(request.Refuse(request.Poisoned, wait, "this request has crashed the targets that ran it"))

		return
	}

	if d.reached(Closing) && d.route.Kind == route.Stream {
		d.finish(stoppingRefusal())

		return
	}

	d.suspect = d.Lines.Suspect(d.req.Fingerprint())
	d.finish(d.run(ctx))
}

// queueShare is the part of a caller's patience for which a stream waits in
// line. What has not begun by then is refused while its caller is still there
// to come back; held to the end, it would leave with nothing.
const queueShare = 0.7

// queueDeadline returns until when the request may wait in line.
func (d *delivery) queueDeadline() time.Time {
	if d.route.Kind != route.Stream {
		return d.deadline
	}

	patience := time.Duration(queueShare * float64(d.route.Patience()))
	if by := d.arrived.Add(patience); by.Before(d.deadline) {
		return by
	}

	return d.deadline
}

// maxWeight is the weight of the most urgent route's requests in line.
const maxWeight = 9

// contentDigest identifies what the caller asks for, whatever the attempt.
func (d *delivery) contentDigest() string {
	h := xxhash.New()
	for _, s := range []string{d.r.Method, d.r.Host, d.r.RequestURI, d.info.Prompt} {
		_, _ = h.WriteString(s)
		_, _ = h.WriteString("\x00")
	}

	_, _ = h.Write(d.body)

	return strconv.FormatUint(h.Sum64(), 16)
}

// finish gives the request its final answer if it has none, and says so.
func (d *delivery) finish(err error) {
	line := d.Log.Info().Str("id", d.info.ID).Str("route", d.route.Name).Str("team", d.teamName()).Float64("cost", d.cost).Uint64("config", d.version).
		Str("key", d.req.Model).Int("sends", d.trail.Sends()).Bool("cold", d.coldStart).
		Dur("goal", d.route.Goal).Dur("left", d.deadline.Sub(d.arrived)).Dur("waited", d.waited).Dur("first", d.firstByte).Dur("took", time.Since(d.arrived))

	if d.events > 0 {
		line = line.Int("events", d.events).Dur("quiet", time.Since(d.lastEventAt))
	}

	switch {
	case err == nil:
		d.recordOutcome(http.StatusOK)
		line.Msg("request answered")

		return
	case d.r.Context().Err() != nil || d.callerGone.Load():
		d.recordOutcome(0)
		line.Err(err).Msg("caller left")

		return
	case d.headSent:
		d.recordOutcome(0)
		line.Err(err).Msg("answer broken off")
		// Only a closed connection tells the caller that the rest is missing.
		panic(http.ErrAbortHandler)
	case d.fallback != nil:
		d.recordOutcome(d.fallback.status)
		line.Err(err).Int("status", d.fallback.status).Msg("failure of a target passed on")
		d.fallback.write(d)

		return
	}

	status, retry := d.refusalStatus(err)
	d.recordOutcome(status)
	line.Err(err).Int("status", status).Dur("retryAfter", retry).Msg("request refused")

	writeRefusal(d.w, status, retry)
}

// refusalStatus returns the status that says no more than is proved. Only 503
// promises that the request has not run.
func (d *delivery) refusalStatus(err error) (int, time.Duration) {
	run := d.trail.Verdict()
	late := errors.Is(err, context.DeadlineExceeded)

	switch {
	case run != request.NotRun && late:
		return http.StatusGatewayTimeout, 0
	case run != request.NotRun:
		return http.StatusBadGateway, 0
	}

	retry := defaultRetryAfter

	var refusal *request.Refusal
	if errors.As(err, &refusal) && refusal.RetryAfter > 0 {
		retry = refusal.RetryAfter
	}

	return http.StatusServiceUnavailable, retry
}

// defaultRetryAfter is what a caller is told when nothing is known of when it would be
// served.
const defaultRetryAfter = 250 * time.Millisecond
