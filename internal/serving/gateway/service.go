package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/fulmarcross/fulmarcross/internal/customer/plan"
	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/room/timeline"
	"github.com/fulmarcross/fulmarcross/internal/serving/claim"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
	"github.com/fulmarcross/fulmarcross/internal/wire/message"
)

// targetLoads counts the calls in flight on each service target.
type targetLoads struct{ inFlight sync.Map }

func (l *targetLoads) of(id instance.ID) *atomic.Int64 {
	n, _ := l.inFlight.LoadOrStore(id, &atomic.Int64{})

	return n.(*atomic.Int64) //nolint:forcetypeassert // The map holds nothing else.
}

// choose picks two targets at random, which may be the same, and returns the one
// with fewer calls in flight.
func (l *targetLoads) choose(targets []instance.Instance) instance.Instance {
	a := targets[rand.IntN(len(targets))] //nolint:gosec // Not a secret.
	b := targets[rand.IntN(len(targets))] //nolint:gosec // Not a secret.

	if l.of(b.ID).Load() < l.of(a.ID).Load() {
		return b
	}

	return a
}

// serviceCall is a call to a plain service.
type serviceCall struct {
	*clientRequest

	service    string
	path       string
	body       []byte
	attemptLog request.AttemptLog
}

func (g *Gateway) serveService(w http.ResponseWriter, r *http.Request) {
	c := g.begin(w, r)
	if c == nil {
		return
	}

	s := &serviceCall{clientRequest: c, service: r.PathValue("service"), path: "/" + r.PathValue("path")}
	if r.URL.RawQuery != "" {
		s.path += "?" + r.URL.RawQuery
	}

	if !g.cfg.Lists.Current().Allows(c.plan.Name, plan.Service, s.service) {
		g.refuse(c, request.Refuse(request.UnknownModel, 0, "the plan may use no service named "+s.service))

		return
	}

	key := r.Header.Get(idempotencyKeyHeader)
	if key == "" && !retryable(r.Method) {
		g.refuse(c, request.Refuse(request.KeyMissing, 0, "a call that may not be repeated needs the header "+idempotencyKeyHeader))

		return
	}

	var ok bool
	if s.body, ok = g.readBody(c); !ok || !g.admit(c) {
		return
	}

	defer g.cfg.Shares.Of(c.plan.Name).Done(0)

	ctx, release := g.track(c, uuid.NewString(), "")
	defer release()

	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()

	if retryable(r.Method) {
		g.callWithRetries(ctx, s)
	} else {
		g.callOnce(ctx, s, key)
	}
}

// retryable reports whether a call with this method may be retried: GET, HEAD and
// OPTIONS, which HTTP defines as safe.
func retryable(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}

	return false
}

// maxServiceAttempts limits the attempts of a call.
const maxServiceAttempts = 3

func (g *Gateway) callWithRetries(ctx context.Context, s *serviceCall) {
	var lastErr error

	for range maxServiceAttempts {
		a, err := g.send(ctx, s)
		if err == nil {
			g.writeAnswer(s, a)

			return
		}

		lastErr = err

		if ctx.Err() != nil {
			break
		}
	}

	g.refuse(s.clientRequest, s.refusal(ctx, lastErr))
}

// refusal returns the refusal of the call for err. It states that the call ran, or
// that it did not, only if the attempts prove it.
func (s *serviceCall) refusal(ctx context.Context, err error) *request.Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return s.attemptLog.Refuse(request.DeadlinePassed, time.Second, "the service did not answer in time")
	}

	return s.attemptLog.Refuse(request.TargetFailed, time.Second, "service "+s.service+": "+err.Error())
}

// callOnce claims the idempotency key and, if it acquires the claim, sends the
// call at most once. If the key is already claimed, it writes the stored answer,
// waits for it, or refuses the call.
func (g *Gateway) callOnce(ctx context.Context, s *serviceCall, idempotencyKey string) {
	key := claim.Key(s.plan.Customer, idempotencyKey)
	digest := claim.Digest(s.r.Method, s.r.URL.Path, s.body)

	outcome, err := g.cfg.Claims.Acquire(ctx, key, digest)

	for polls := 0; err == nil; polls++ {
		switch o := outcome.(type) {
		case claim.Acquired:
			g.sendOnce(ctx, s, o.Claim)

			return
		case claim.Answered:
			g.writeAnswer(s, o.Answer)

			return
		case claim.KeyReused:
			g.refuse(s.clientRequest, request.Refuse(request.KeyConflict, 0, "the key was used with another request"))

			return
		case claim.OutcomeInDoubt:
			g.refuse(s.clientRequest, inDoubt(0))

			return
		case claim.Pending:
			if g.cfg.ClaimAbandoned(o) {
				g.refuse(s.clientRequest, inDoubt(0))

				return
			}

			if !waitForClaim(ctx, polls) {
				if !errors.Is(ctx.Err(), context.Canceled) {
					g.refuse(s.clientRequest, inDoubt(time.Second))
				}

				return
			}

			outcome, err = g.cfg.Claims.Lookup(ctx, key, digest)
			if claim.IsWithdrawn(err) {
				outcome, err = g.cfg.Claims.Acquire(ctx, key, digest)
			}
		}
	}

	// This entry sent nothing for this call: either its claim was not
	// confirmed, or the key is already claimed and its claim or stored answer
	// cannot be read. The message says "written" in each of these cases.
	g.refuse(s.clientRequest, request.Refuse(request.StoreDown, time.Second, "the claim cannot be written: "+err.Error()))
}

// inDoubt returns the refusal of a retry of a call whose outcome is unknown: it
// may have run.
func inDoubt(retryAfter time.Duration) *request.Refusal {
	return &request.Refusal{
		Code: request.InDoubt, Run: request.MayHaveRun, RetryAfter: retryAfter,
		Message: "a call with this key was sent before and its answer is not known",
	}
}

// waitForClaim waits before a pending claim is read again: 25 ms, then twice as
// long each time, up to 800 ms. It returns false if ctx ends first.
func waitForClaim(ctx context.Context, polls int) bool {
	const base, maxDoublings = 25 * time.Millisecond, 5

	return clock.Sleep(ctx, base<<min(polls, maxDoublings)) == nil
}

// storeTimeout limits how long the entry retries to record the outcome of a call
// in the store. The outcome is the call's answer, the withdrawal of its claim, or
// that it is in doubt. The client may be answered before the outcome is recorded.
// A withdrawal ends earlier (see storeWait).
const storeTimeout = 2 * time.Minute

// sendOnce sends a claimed call. If no target is live or the chosen one was not
// reached, it chooses again, up to maxServiceAttempts times in all; once sending
// has begun, it never sends the call again.
func (g *Gateway) sendOnce(ctx context.Context, s *serviceCall, c *claim.Claim) {
	g.cfg.Log.Add(timeline.Event{Kind: timeline.Claimed, Request: s.id, Customer: s.plan.Customer, Detail: s.service})

	var (
		a       claim.Answer
		lastErr error = &noTargetError{s.service}
	)

	for range maxServiceAttempts {
		if ctx.Err() != nil {
			break
		}

		a, lastErr = g.send(ctx, s)
		if lastErr == nil || s.attemptLog.Run() != request.NotRun {
			break
		}
	}

	// The outcome of the call must be stored even if its client has left.
	store, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)

	switch {
	case lastErr == nil:
		// If the store is available, the answer is stored before the client
		// receives it, so that a retry finds it.
		g.storeThenWrite(store, cancel, s, c, a)
	case s.attemptLog.Run() == request.NotRun:
		defer cancel()

		if err := g.withdraw(store, c); err != nil {
			g.cfg.Metrics.Counter("claimsNotWithdrawn").Inc(1)
		}

		g.refuse(s.clientRequest, s.refusal(ctx, lastErr))
	default:
		go func() {
			defer cancel()

			_ = g.cfg.Claims.MarkInDoubt(store, c)
		}()

		g.refuse(s.clientRequest, s.refusal(ctx, lastErr))
	}
}

// withdraw withdraws a claim. If that takes longer than storeWait, withdraw
// returns nil and the withdrawal continues until ctx ends.
func (g *Gateway) withdraw(ctx context.Context, c *claim.Claim) error {
	done := make(chan error, 1)

	go func() { done <- g.cfg.Claims.Withdraw(ctx, c) }()

	select {
	case err := <-done:
		return err
	case <-time.After(storeWait):
		return nil
	}
}

// storeWait is how long a client waits while its answer is stored or its claim is
// withdrawn. If the store is unavailable for longer, the client gets its answer
// and the write of the answer continues; a withdrawal is cancelled once the
// refusal is written. A retry that comes before the write is done waits, or is
// refused because the call may have run.
const storeWait = 500 * time.Millisecond

// storeThenWrite stores the answer, waits up to storeWait for that, and writes
// the answer to the client.
func (g *Gateway) storeThenWrite(
	ctx context.Context, cancel context.CancelFunc, s *serviceCall, c *claim.Claim, a claim.Answer,
) {
	done := make(chan struct{})

	go func() {
		defer cancel()
		defer close(done)

		if err := g.cfg.Claims.Finish(ctx, c, a); err != nil {
			g.cfg.Metrics.Counter("answersNotStored").Inc(1)
		}
	}()

	select {
	case <-done:
	case <-time.After(storeWait):
	}

	g.writeAnswer(s, a)
}

func (g *Gateway) writeAnswer(s *serviceCall, a claim.Answer) {
	if a.ContentType != "" {
		s.w.Header().Set("Content-Type", a.ContentType)
	}

	s.w.WriteHeader(a.Status)
	_, _ = s.w.Write(a.Body)

	g.totals.answered(s.plan.Name, 0)
}

// noTargetError reports that the service has no live target.
type noTargetError struct{ service string }

func (e *noTargetError) Error() string { return "no live target of service " + e.service }

// maxAnswer limits the size of a service's answer, in bytes.
const maxAnswer = 8 << 20

// send sends the call to one target, on a connection dialled for this call
// alone.
//
// A reused connection could fail in two ways. The other end may close it just as
// the call is sent, and the HTTP library, which retries only on reused
// connections, would then send the call a second time. The connection may also
// have broken while idle, without a reset. Neither can happen on a connection that was just established.
func (g *Gateway) send(ctx context.Context, s *serviceCall) (claim.Answer, error) {
	targets := g.liveTargets(s.service)
	if len(targets) == 0 {
		return claim.Answer{}, &noTargetError{s.service}
	}

	t := g.targetLoads.choose(targets)
	n := g.targetLoads.of(t.ID)

	n.Add(1)
	defer n.Add(-1)

	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", t.Address.String())
	if err != nil {
		attempt := s.attemptLog.Begin()
		s.attemptLog.Record(attempt, request.NotReached)

		return claim.Answer{}, err
	}
	defer conn.Close()

	return g.exchange(ctx, s, t, conn)
}

func (g *Gateway) liveTargets(service string) []instance.Instance {
	var live []instance.Instance

	for _, in := range g.cfg.Fleet.Listed(instance.Service) {
		if in.Service == service && in.State == instance.Live {
			live = append(live, in)
		}
	}

	return live
}

// exchange sends the call on conn and reads its answer.
func (g *Gateway) exchange(ctx context.Context, s *serviceCall, t instance.Instance, conn net.Conn) (claim.Answer, error) {
	tr := &message.Transport{Base: &http.Transport{
		DisableKeepAlives:  true,
		DisableCompression: true,
		DialContext:        func(context.Context, string, string) (net.Conn, error) { return conn, nil },
	}}

	req, err := http.NewRequestWithContext(ctx, s.r.Method, "http://"+t.Address.String()+s.path, bytes.NewReader(s.body))
	if err != nil {
		return claim.Answer{}, err
	}

	req.GetBody = nil
	copyHeaders(req.Header, s.r.Header)
	req.Header.Set(requestIDHeader, s.id)

	g.cfg.Log.Add(timeline.Event{Kind: timeline.Sent, Request: s.id, Target: t.ID, Customer: s.plan.Customer, Detail: s.service})

	attempt := s.attemptLog.Begin()

	resp, err := tr.RoundTrip(req)
	if err != nil {
		return claim.Answer{}, err
	}
	defer resp.Body.Close()

	s.attemptLog.Record(attempt, request.Begun)

	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err != nil {
		return claim.Answer{}, err
	}

	if len(body) > maxAnswer {
		return claim.Answer{}, &answerTooLargeError{}
	}

	s.attemptLog.Record(attempt, request.Completed)

	return claim.Answer{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}

type answerTooLargeError struct{}

func (*answerTooLargeError) Error() string { return "the answer is too large" }

// copyHeaders copies the headers that are meant for the service.
func copyHeaders(to, from http.Header) {
	for _, name := range []string{"Content-Type", "Accept", idempotencyKeyHeader} {
		if v := from.Get(name); v != "" {
			to.Set(name, v)
		}
	}
}
