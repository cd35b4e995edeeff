// Package gateway is the client side of an entry: HTTP handlers that admit
// requests and write answers and refusals.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"

	"github.com/fulmarcross/fulmarcross/internal/customer/key"
	"github.com/fulmarcross/fulmarcross/internal/customer/limit"
	"github.com/fulmarcross/fulmarcross/internal/customer/list"
	"github.com/fulmarcross/fulmarcross/internal/customer/plan"
	"github.com/fulmarcross/fulmarcross/internal/fleet/peer"
	"github.com/fulmarcross/fulmarcross/internal/room/timeline"
	"github.com/fulmarcross/fulmarcross/internal/serving/claim"
	"github.com/fulmarcross/fulmarcross/internal/serving/dispatch"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
	"github.com/fulmarcross/fulmarcross/internal/wire/caller"
)

// Config configures a gateway.
type Config struct {
	Lists    *list.Cache
	Shares   *limit.Shares
	Dispatch *dispatch.Dispatcher
	Claims   *claim.Registry
	Fleet    *peer.Set
	Log      *timeline.Log
	Metrics  tally.Scope
	// MaxBody limits the size of a request's body, in bytes.
	MaxBody int64
	// Draining reports whether the entry is shutting down.
	Draining func() bool
	// ClaimAbandoned reports whether the process that acquired a claim can no longer
	// be running the call.
	ClaimAbandoned func(p claim.Pending) bool
}

// Gateway serves clients. Create it with New.
type Gateway struct {
	cfg    Config
	mux    *http.ServeMux
	totals planTotals
	// admitted maps an id to the *admittedRequest of each request that has not
	// been answered yet. The id is Request.EngineID for a request for a model,
	// and random for a service call.
	admitted    sync.Map
	targetLoads targetLoads
}

// admittedRequest is an admitted request that has not been answered yet; it may
// be queued.
type admittedRequest struct {
	plan   plan.Plan
	model  string
	cancel context.CancelCauseFunc
}

// New returns a gateway.
func New(cfg Config) *Gateway {
	if cfg.Metrics == nil {
		cfg.Metrics = tally.NoopScope
	}

	g := &Gateway{cfg: cfg, mux: http.NewServeMux()}
	g.mux.HandleFunc("POST /v1/chat/completions", g.serveChat)
	g.mux.HandleFunc("POST /v1/completions", g.serveCompletion)
	g.mux.HandleFunc("GET /v1/models", g.serveModels)
	g.mux.HandleFunc("/services/{service}/{path...}", g.serveService)
	g.mux.HandleFunc("/services/{service}", g.serveService)

	return g
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) { g.mux.ServeHTTP(w, r) }

// Counts returns the counts of each plan that has an answer or a refusal: answers,
// tokens and refusals, the requests that are not answered yet, and those of them
// that are queued.
func (g *Gateway) Counts() []peer.PlanCount {
	return g.totals.snapshot(g.cfg.Shares, g.cfg.Dispatch.QueuedByPlan())
}

const (
	requestIDHeader      = "X-Request-Id"
	timeoutHeader        = "Request-Timeout-Ms"
	idempotencyKeyHeader = "Idempotency-Key"
	maxIDLen             = 128
	maxTimeout           = 10 * time.Minute
)

// clientRequest is a client's HTTP request, for a model or a service, while the
// gateway handles it.
type clientRequest struct {
	w        http.ResponseWriter
	r        *http.Request
	id       string
	plan     plan.Plan
	arrived  time.Time
	deadline time.Time
}

// begin authenticates the client and determines the deadline. If the request is
// refused, begin writes the refusal and returns nil.
func (g *Gateway) begin(w http.ResponseWriter, r *http.Request) *clientRequest {
	c := &clientRequest{w: w, r: r, id: requestID(r), arrived: time.Now()}
	w.Header().Set(requestIDHeader, c.id)

	k, err := key.FromHeader(r.Header["Authorization"])
	if err != nil {
		g.refuse(c, request.Refuse(request.Unauthorized, 0, err.Error()))

		return nil
	}

	p, ok := g.cfg.Lists.Current().Authenticate(k)
	if !ok {
		g.refuse(c, request.Refuse(request.Unauthorized, 0, "the key belongs to no plan"))

		return nil
	}

	c.plan = p

	timeout, err := parseTimeout(r, p.RequestTimeout)
	if err != nil {
		g.refuse(c, request.Refuse(request.BadRequest, 0, err.Error()))

		return nil
	}

	c.deadline = c.arrived.Add(timeout)

	if g.cfg.Draining() {
		g.refuse(c, request.Refuse(request.ShuttingDown, time.Second, "this instance is shutting down"))

		return nil
	}

	return c
}

func requestID(r *http.Request) string {
	id := r.Header.Get(requestIDHeader)

	printable := strings.IndexFunc(id, func(c rune) bool { return c <= ' ' || c > '~' }) < 0
	if id == "" || len(id) > maxIDLen || !printable {
		return uuid.NewString()
	}

	return id
}

// TimeoutError reports a request whose timeout is invalid.
type TimeoutError struct{ Text string }

func (e *TimeoutError) Error() string {
	return fmt.Sprintf("%s: %q is not a number of milliseconds from 1 to %d", timeoutHeader, e.Text, maxTimeout.Milliseconds())
}

func parseTimeout(r *http.Request, fallback time.Duration) (time.Duration, error) {
	text := r.Header.Get(timeoutHeader)
	if text == "" {
		return fallback, nil
	}

	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 1 || ms > maxTimeout.Milliseconds() {
		return 0, &TimeoutError{Text: text}
	}

	return time.Duration(ms) * time.Millisecond, nil
}

// refuse writes a refusal as the whole answer.
func (g *Gateway) refuse(c *clientRequest, r *request.Refusal) {
	g.totals.refused(c.plan.Name, r.Code)
	g.cfg.Metrics.Tagged(map[string]string{"code": string(r.Code), "run": string(r.Run)}).Counter("refused").Inc(1)

	h := c.w.Header()
	h.Set("Content-Type", "application/json")

	if r.RetryAfter > 0 {
		seconds := int64((r.RetryAfter + time.Second - 1) / time.Second)
		h.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}

	c.w.WriteHeader(caller.Status(r))
	_, _ = c.w.Write(caller.EncodeRefusal(r))
}

// readBody reads a body of limited size. If the body is too large or
// incomplete, readBody writes the refusal and returns false.
func (g *Gateway) readBody(c *clientRequest) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, g.cfg.MaxBody))
	if err == nil {
		return body, true
	}

	if tooLarge, ok := errors.AsType[*http.MaxBytesError](err); ok {
		g.refuse(c, request.Refuse(request.TooLarge, 0, fmt.Sprintf("the body is larger than %d bytes", tooLarge.Limit)))
	} else {
		g.refuse(c, request.Refuse(request.BadRequest, 0, "the body was broken off: "+err.Error()))
	}

	return nil, false
}

// admit charges the request to its plan's limits. If they refuse it, admit
// writes the refusal and returns false.
func (g *Gateway) admit(c *clientRequest) bool {
	retryAfter, ok := g.cfg.Shares.Admit(c.r.Context(), c.plan)
	if !ok {
		g.refuse(c, request.Refuse(request.Limited, retryAfter, "the plan's limit is used up"))
	}

	return ok
}

// track registers an admitted request, so that EnforceLists can cancel the
// returned context. The returned function unregisters the request and cancels the
// context.
func (g *Gateway) track(c *clientRequest, id, model string) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(c.r.Context())
	g.admitted.Store(id, &admittedRequest{plan: c.plan, model: model, cancel: cancel})

	return ctx, func() {
		g.admitted.Delete(id)
		cancel(nil)
	}
}

// EnforceLists is called after the lists have changed. It refuses queued
// requests that the lists no longer allow, and cancels the admitted requests of
// each removed plan whose OnRemoval is CancelRunning.
func (g *Gateway) EnforceLists() {
	lists := g.cfg.Lists.Current()

	g.cfg.Dispatch.RefuseWaiting(func(req *request.Request) *request.Refusal {
		if _, ok := lists.Plan(req.Plan); !ok {
			return request.Refuse(request.PlanRemoved, 0, "the plan is no longer on the list")
		}

		if !lists.Allows(req.Plan, plan.Model, req.Model) {
			return request.Refuse(request.NotAllowed, 0, "the plan may no longer use this model")
		}

		return nil
	})

	g.admitted.Range(func(_, value any) bool {
		a, _ := value.(*admittedRequest)
		if _, ok := lists.Plan(a.plan.Name); !ok && a.plan.OnRemoval == plan.CancelRunning {
			a.cancel(request.Refuse(request.PlanRemoved, 0, "the plan was removed from the list"))
		}

		return true
	})
}

// Running returns the number of admitted requests that have not been answered
// yet, including queued ones.
func (g *Gateway) Running() int {
	n := 0

	g.admitted.Range(func(any, any) bool {
		n++

		return true
	})

	return n
}
