package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/fulmarcross/fulmarcross/internal/serving/dispatch"
	"github.com/fulmarcross/fulmarcross/internal/serving/memory"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
	"github.com/fulmarcross/fulmarcross/internal/serving/router"
	"github.com/fulmarcross/fulmarcross/internal/serving/statement"
)

// Server answers clients' requests through targets. Set the exported fields
// before use.
type Server struct {
	Protocol   Protocol
	Dispatcher *dispatch.Dispatcher
	Pool       *Pool
	Budgets    *RetryBudgets
	// Table returns the routes in force, or nil before a configuration was
	// received.
	Table func() *route.Table
	// RefreshTable fetches the routes now in force, so that Table returns them. It
	// takes a short time at most. If it is nil, Table is always up to date.
	RefreshTable func(ctx context.Context)
	// TableKnown reports whether Table returns the routes that were in force a moment
	// ago, and TableTooOld whether others are known to be in force for so long that no
	// request may be served by it. If they are nil, Table is always up to date.
	TableKnown, TableTooOld func() bool
	// Limits charges requests to teams' limits. If nil, limits are not
	// enforced.
	Limits Limiter
	// OnModelAbsent is called when a target reports that it does not hold the model of
	// routingKey (see RoutingKey).
	OnModelAbsent func(t *router.Target, routingKey string)
	// OnAddressMoved is called when another instance has a target's address.
	OnAddressMoved func(t *router.Target)
	// OnUnreachable is called when a target is found to accept no connection. It is
	// not called again while that incarnation of the target is recorded as dead.
	// It may be nil.
	OnUnreachable func(t *router.Target)
	// Reach knows whether this entry reaches its targets. If nil, it does.
	Reach Reach
	// Origins knows which software began streams. If nil, all targets have the same.
	Origins Origins
	// OnStatement is called with what each answer of a target states about it. It may
	// be nil.
	OnStatement func(statement.Heard)
	Log         zerolog.Logger
	// Process asks a target which process it is. It returns an empty text for a target that
	// does not tell. It may be nil.
	Process func(ctx context.Context, t *router.Target) (incarnation string, err error)
	// Answers asks a target for a sign that it answers now, and whether it is able to run a request for
	// the routing key. It may be nil.
	Answers func(ctx context.Context, t *router.Target, routingKey string) (able bool, err error)
	// Metrics may be nil.
	Metrics tally.Scope
	// Memory bounds what is held for clients. If nil, there is no bound.
	Memory *memory.Account
	// CutOffStalled disconnects clients that do not read. Memory must be set then.
	CutOffStalled bool
	// BoundTokens refuses requests that exceed the memory of any target of their service.
	BoundTokens bool

	// answers is what is held of answers without stated lengths.
	answers   answerMemory
	stopping  stopping
	durations durations
	phase     atomic.Int32
	running   atomic.Int64
}

// RoutingKey returns the key that targets are looked up by: the service and, on an
// engine, the model or adapter.
func RoutingKey(service, model string) string { return service + "/" + model }

// Phase is the progress of an entry's graceful shutdown. The phases are entered
// in their order.
type Phase int32

// The phases of a graceful shutdown.
const (
	// Serving accepts all requests.
	Serving Phase = iota
	// Draining closes each client connection after the next answer.
	Draining
	// RefusingNewStreams refuses new streams. A stream that begins this late would be
	// cut off when the process ends; a client that is refused now still has time
	// to use another entry.
	RefusingNewStreams
	// RefusingUnstarted also refuses accepted streams that have sent nothing to
	// their clients yet, all queued requests, and the retries of all requests whose
	// answers have not begun.
	RefusingUnstarted
)

// EnterPhase moves to phase p. From RefusingUnstarted on, it also refuses all
// queued requests at once: a stream that begins now could not end within the
// grace time and would be cut off.
func (s *Server) EnterPhase(p Phase) {
	s.phase.Store(int32(p))

	if p < RefusingUnstarted {
		return
	}

	refuse := func() {
		s.Dispatcher.RefuseWaiting(func(*request.Request) *request.Refusal { return shutdownRefusal() })
	}

	refuse()
	// Refuse once more, for requests that were about to be queued.
	time.AfterFunc(enqueueGrace, refuse)
}

// enqueueGrace is the delay before queued requests are refused a second time. It
// covers requests that passed the phase check before the phase began and were
// queued after it.
const enqueueGrace = 100 * time.Millisecond

// shutdownRefusal returns the refusal of a request because this entry is shutting
// down.
func shutdownRefusal() *request.Refusal {
	return request.Refuse(request.ShuttingDown, otherEntryRetry, "this instance is stopping")
}

func (s *Server) reached(p Phase) bool { return Phase(s.phase.Load()) >= p }

// otherEntryRetry is the Retry-After for clients that can retry at once at another
// entry.
const otherEntryRetry = 50 * time.Millisecond

// Running returns the number of requests that have arrived and are not answered
// yet.
func (s *Server) Running() int { return int(s.running.Load()) }

const (
	// noConfigRetry is the Retry-After of an entry that has not received a
	// configuration yet. An entry takes about that long to start.
	noConfigRetry = 500 * time.Millisecond
	// defaultMaxBody limits a body if the operators set no limit.
	defaultMaxBody = 4 << 20
)

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.running.Add(1)
	defer s.running.Add(-1)

	arrived := time.Now()

	if s.reached(Draining) {
		w.Header().Set("Connection", "close")
	}

	table := s.Table()
	if table == nil {
		s.refuse(w, r, http.StatusServiceUnavailable, noConfigRetry, "no configuration received yet")

		return
	}

	if s.TableTooOld != nil && s.TableTooOld() {
		s.refuse(w, r, http.StatusServiceUnavailable, otherEntryRetry, "a newer configuration has not arrived")

		return
	}

	info, badRequest := s.Protocol.Parse(r.Header)

	matched, err := s.matchRoute(r, table, info)

	var unknown *UnknownTableError

	switch {
	case errors.As(err, &unknown):
		s.refuse(w, r, http.StatusServiceUnavailable, otherEntryRetry, err.Error())

		return
	case matched.route == nil:
		s.refuse(w, r, http.StatusNotFound, 0, "no route")

		return
	case err != nil:
		w.Header().Set("WWW-Authenticate", challenge)
		s.refuse(w, r, http.StatusUnauthorized, 0, err.Error())

		return
	case badRequest != nil:
		s.refuse(w, r, http.StatusBadRequest, 0, badRequest.Error())

		return
	}

	s.serve(w, r, info, matched, arrived)
}

// serve answers a request whose route and client are known.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, info RequestInfo, matched matchedRoute, arrived time.Time) {
	rt, cfg := matched.route, matched.table.Config

	timeout := rt.Timeout
	if info.Timeout > 0 && (timeout == 0 || info.Timeout < timeout) {
		timeout = info.Timeout
	}

	d := &delivery{Server: s, w: w, r: r, route: rt, info: info, arrived: arrived, deadline: arrived.Add(timeout), version: cfg.Version, team: matched.team, keysInUse: cfg.Teams.Len() > 0, passed: passedOf(r.Context())}
	d.runs, d.charged = d.passed.runs, d.passed.charged
	d.service = rt.Pick(rand.Float64()) //nolint:gosec // Not a secret.

	if !d.passed.on { // The entry that passes it on has counted it.
		s.Budgets.Credit(d.service, time.Now())
	}

	if d.refuseShort() {
		return
	}

	if d.passed.on && d.cutOff() {
		w.Header().Set(headerUnreached, "1")
		s.refuse(w, r, http.StatusServiceUnavailable, defaultRetryAfter, "no target of the service is reached from here")

		return
	}

	d.hold()
	defer d.letGo()

	// The entry to which the request is passed on charges it.
	d.passing = d.cutOff()
	if !d.passing && !d.charge() {
		return
	}

	defer d.refund()

	if err := d.readBody(cfg.Limits); err != nil {
		d.refuseBody(err)

		return
	}

	d.forward(cfg.Services[d.service])
}

// refuseBody refuses a request whose body was not read.
func (d *delivery) refuseBody(err error) {
	var tooLarge *http.MaxBytesError

	switch {
	case isMemoryShort(err):
		d.refuseMemory(err.Error())
	case d.stopping.over():
		d.refuse(d.w, d.r, http.StatusServiceUnavailable, otherEntryRetry, "this instance is stopping, and the body has not arrived")
	case errors.As(err, &tooLarge):
		d.refuse(d.w, d.r, http.StatusRequestEntityTooLarge, 0, err.Error())
	case errors.Is(err, os.ErrDeadlineExceeded):
		d.refuse(d.w, d.r, http.StatusRequestTimeout, 0, err.Error())
	default:
		d.refuse(d.w, d.r, http.StatusBadRequest, 0, err.Error())
	}
}

// refuse answers a request that was never sent to a target.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, status int, retryAfter time.Duration, why string) {
	s.count("none", status)
	s.Log.Info().Str("path", r.URL.Path).Int("status", status).Str("why", why).Msg("request refused")
	writeRefusal(w, status, retryAfter)
}

// writeRefusal writes an answer without a body, with a Retry-After header if
// retryAfter is positive.
func writeRefusal(w http.ResponseWriter, status int, retryAfter time.Duration) {
	if retryAfter > 0 {
		w.Header().Set("Retry-After", retryAfterSeconds(retryAfter))
	}

	w.WriteHeader(status)
}

// count counts an answer by the kind of its request and a status. A target's
// answer with a status below 500 is counted as 200. Status zero means that the
// answer broke off or that the client left.
func (s *Server) count(kind string, status int) {
	if s.Metrics != nil {
		s.Metrics.Tagged(map[string]string{"kind": kind, "status": strconv.Itoa(status)}).Counter("answers").Inc(1)
	}
}
