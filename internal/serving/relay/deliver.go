package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/serving/crash"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
	"github.com/fulmarcross/fulmarcross/internal/serving/router"
)

const (
	// maxAttempts limits the attempts of one request, whatever the retry budget
	// allows.
	maxAttempts = 8
	// rejectionBackoff is the pause after a target reported that it did not run
	// a request. It doubles with each attempt: a load that ends later than
	// predicted is 100 to 200 ms late.
	rejectionBackoff = 60 * time.Millisecond
	// maxAnswerBytes limits the size of an answer that is buffered.
	maxAnswerBytes = 16 << 20
)

// RejectedError reports that a target did not run the request.
type RejectedError struct {
	Target instance.ID
	Status int
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("target %s: not run, status %d", e.Target, e.Status)
}

// FailedError reports that a target answered with an error of its own.
type FailedError struct {
	Target instance.ID
	Status int
}

func (e *FailedError) Error() string {
	return fmt.Sprintf("target %s: failed with status %d", e.Target, e.Status)
}

// callerError is a failure to write to the client.
type callerError struct{ err error }

func (e *callerError) Error() string { return "write to client: " + e.err.Error() }

func (e *callerError) Unwrap() error { return e.err }

// run makes attempts until the request is answered or must not be retried.
func (d *delivery) run(ctx context.Context) error {
	for {
		t, err := d.acquire(ctx)
		if err != nil {
			return err
		}

		err = d.attempt(ctx, t)
		d.Dispatcher.Release(t, d.req, d.suspect)

		if err == nil {
			if d.suspect {
				d.Dispatcher.ClearSuspect(d.req.Fingerprint())
			}

			return nil
		}

		if ctx.Err() != nil {
			// The deadline or the client's close has closed the connection to
			// the target; the answer depends on that cause.
			err = errors.Join(ctx.Err(), err)
		}

		d.Log.Info().Str("id", d.info.ID).Str("target", string(t.ID)).Int("send", d.trail.Count()).Err(err).Msg("attempt failed")

		if !d.mayRetry(ctx, err) {
			return err
		}

		d.exclude = append(d.exclude[:0], t.ID)

		if retryErr := d.awaitRetry(ctx, err); retryErr != nil {
			return errors.Join(retryErr, err)
		}
	}
}

func (d *delivery) acquire(ctx context.Context) (*router.Target, error) {
	if d.reached(RefusingUnstartedStreams) && !d.headSent && d.route.Kind == route.Stream {
		return nil, stoppingRefusal()
	}

	q := router.Query{Suspect: d.suspect, Exclude: d.exclude}
	if d.info.SharedPrompt != "" {
		q.Affinity = d.req.Model + " " + d.info.SharedPrompt
	}

	began := time.Now()
	waitLog := time.AfterFunc(waitLogDelay, func() { d.logWaiting() })
	t, cold, err := d.Dispatcher.Acquire(ctx, d.req, q)

	waitLog.Stop()

	d.coldStart = d.coldStart || cold
	d.waited += time.Since(began)

	if err == nil {
		d.logChoice(t)
	}

	return t, err
}

// waitLogDelay is how long a request waits for a target before that is logged.
// Most requests get a target at once, and the request's last log line includes
// short waits.
const waitLogDelay = 50 * time.Millisecond

// logWaiting logs that a request waits and why the targets that hold its model
// cannot accept it.
func (d *delivery) logWaiting() {
	s := d.Dispatcher.TargetStates(d.req.Model)
	d.Log.Info().Str("id", d.info.ID).Str("key", d.req.Model).Int("holders", s.Targets).Int("full", s.Full).
		Int("leaving", s.Leaving).Int("dead", s.Dead).Int("ejected", s.Ejected).Msg("request waits")
}

// logChoice logs the chosen target and the figures behind the choice.
func (d *delivery) logChoice(t *router.Target) {
	info := t.Info()
	d.Log.Info().Str("id", d.info.ID).Str("key", d.req.Model).Str("target", string(t.ID)).Int("own", t.InFlight()).
		Int("running", info.Running).Int("slots", info.Slots).Dur("age", t.ReportAge(time.Now())).Msg("target chosen")
}

// mayRetry reports whether the request may be retried after err.
func (d *delivery) mayRetry(ctx context.Context, err error) bool {
	var clientErr *callerError
	if errors.As(err, &clientErr) || ctx.Err() != nil || d.trail.Count() >= maxAttempts || d.reached(RefusingUnstartedStreams) && !d.headSent {
		return false
	}

	var refusal *request.Refusal
	if errors.As(err, &refusal) {
		return false
	}

	if provedNotRun(err) {
		return true
	}

	return d.route.Retryable() && d.runs < d.route.Attempts
}

// provedNotRun reports whether the error proves that the target did not run the
// request.
func provedNotRun(err error) bool {
	var (
		dial     *DialError
		rejected *RejectedError
	)

	return errors.As(err, &dial) || errors.As(err, &rejected)
}

// RetryBudgetError reports that the service's retry budget is exhausted.
type RetryBudgetError struct{ Service string }

func (e *RetryBudgetError) Error() string { return "no repeat left for service " + e.Service }

// awaitRetry waits until the request may be retried. The retry budget limits
// the requests that reach targets, so a request that did not reach its target
// costs nothing. A rejected one backs off, then waits for its budget as long as
// it may stay queued. For any other, the budget must allow the retry at once.
func (d *delivery) awaitRetry(ctx context.Context, err error) error {
	var (
		dial     *DialError
		rejected *RejectedError
	)

	switch {
	case errors.As(err, &dial):
		return nil
	case !errors.As(err, &rejected):
		if d.retryReserved.Swap(false) || d.Budgets.TryWithdraw(d.service, time.Now()) {
			return nil
		}

		return &RetryBudgetError{Service: d.service}
	}

	if err := clock.Sleep(ctx, rejectionBackoff<<min(d.trail.Count()-1, 3)); err != nil { //nolint:mnd // At most 8 times the base.
		return err
	}

	for !d.Budgets.TryWithdraw(d.service, time.Now()) {
		if d.reached(RefusingUnstartedStreams) && !d.headSent {
			return stoppingRefusal()
		}

		if !time.Now().Add(budgetPollInterval).Before(d.req.Deadline) {
			return &RetryBudgetError{Service: d.service}
		}

		if err := clock.Sleep(ctx, budgetPollInterval); err != nil {
			return err
		}
	}

	return nil
}

// budgetPollInterval is how often a rejected request checks the retry budget.
// An entry's share of the burst is refilled at about one retry in three
// seconds, and its requests earn more.
const budgetPollInterval = 250 * time.Millisecond

// attempt sends the request to the target and forwards its answer.
func (d *delivery) attempt(ctx context.Context, t *router.Target) error {
	n := d.trail.Begin()
	sent := time.Now()

	if n == 0 {
		d.Budgets.Deposit(d.service, sent)
	}

	lastEvent := d.lastEvent
	if lastEvent == "" {
		lastEvent = d.info.LastEvent
	}

	out := &outgoing{
		method: d.r.Method, uri: d.r.RequestURI, host: d.r.Host, id: d.info.ID,
		header: d.Protocol.Outgoing(d.r.Header, Attempt{
			Timeout: d.deadline.Sub(sent), Target: t.ID, LastEvent: lastEvent, Prioritised: d.prioritised, Priority: d.priority(),
			DropCredentials: d.keysInUse, Team: d.teamName(),
		}),
		body: d.body, hasBody: d.r.ContentLength != 0, newConn: !d.route.Retryable(),
	}

	a, err := d.Pool.exchange(ctx, t, out, d.Protocol)
	if err != nil {
		return d.handleSendError(ctx, t, n, err)
	}

	if a.mark.NotRun {
		return d.handleRejection(t, n, a)
	}

	d.runs++

	if err := d.deliverAnswer(t, n, a, sent); err != nil {
		return d.checkCrash(ctx, t, err)
	}

	return nil
}

// handleSendError records an attempt that got no answer.
func (d *delivery) handleSendError(ctx context.Context, t *router.Target, n int, err error) error {
	var dial *DialError
	if errors.As(err, &dial) {
		d.trail.Record(n, request.NotReached)

		if ctx.Err() == nil {
			d.markUnreachable(t)
		}

		return err
	}

	d.runs++

	return d.checkCrash(ctx, t, err)
}

// markUnreachable keeps requests away from a target that cannot be reached.
func (d *delivery) markUnreachable(t *router.Target) {
	now := time.Now()
	t.RecordFailure(now)

	if d.recordDeath(t, t.Info().Incarnation, now) {
		d.Log.Warn().Str("target", string(t.ID)).Msg("target not reached")
	}
}

// recordDeath records that a target's process accepts no connection. If that was
// unknown before, it calls the server's callback and returns true.
func (d *delivery) recordDeath(t *router.Target, incarnation string, now time.Time) bool {
	if !t.MarkDead(incarnation, now) {
		return false
	}

	if d.OnUnreachable != nil {
		d.OnUnreachable(t)
	}

	return true
}

// handleRejection records that the target did not run the request.
func (d *delivery) handleRejection(t *router.Target, n int, a *answer) error {
	d.trail.Record(n, request.ProvedNotRun)

	if _, err := io.Copy(io.Discard, io.LimitReader(a.Body, maxHeadBytes)); err == nil {
		a.release()
	} else {
		a.abandon()
	}

	switch {
	case a.mark.Misdirected && a.mark.Instance != "" && a.mark.Instance != t.ID:
		d.OnAddressMoved(t)
	case a.mark.Misdirected:
		d.OnModelAbsent(t, d.req.Model)
	}

	return &RejectedError{Target: t.ID, Status: a.StatusCode}
}

// checkCrash checks whether the target died while it ran the request.
//
// Requests that crash every target that runs them must be blocked. A target
// counts as dead only if it refuses a new connection right after the failure,
// so that a lost answer alone makes no request suspect.
func (d *delivery) checkCrash(ctx context.Context, t *router.Target, err error) error {
	var clientErr *callerError

	var failed *FailedError
	if errors.As(err, &clientErr) || errors.As(err, &failed) || ctx.Err() != nil {
		return err
	}

	t.RecordFailure(time.Now())

	if !connectionBroken(err) {
		return err
	}

	probe, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()

	c, dialErr := d.Pool.get(probe, targetKey{t.ID, t.Address}, true)
	if dialErr == nil {
		d.Pool.put(c, 0)

		return err
	}

	incarnation := t.Info().Incarnation
	d.recordDeath(t, incarnation, time.Now())
	d.Log.Warn().Str("id", d.info.ID).Str("target", string(t.ID)).Msg("target died under a request")

	if d.Dispatcher.RecordDeath(d.req.Fingerprint(), crash.Death{Target: t.ID, Incarnation: incarnation}) {
		return d.trail.Refuse(request.Poisoned, 0, "targets crashed while they ran this request")
	}

	return err
}

// connectionBroken reports whether the error is a connection that ended during
// a request.
func connectionBroken(err error) bool {
	var opErr *net.OpError

	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.As(err, &opErr)
}

// bufferedAnswer is an answer that was read completely.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

func (a *bufferedAnswer) write(d *delivery) {
	h := d.w.Header()
	for name, values := range a.header {
		h[name] = values
	}

	if _, hasType := h["Content-Type"]; !hasType {
		// The target set no type. Prevent net/http from guessing one.
		h["Content-Type"] = nil
	}

	d.w.WriteHeader(a.status)
	_, _ = d.w.Write(a.body) // The server notices a client that has left.
}

// deliverAnswer forwards a target's answer.
func (d *delivery) deliverAnswer(t *router.Target, n int, a *answer, sent time.Time) error {
	if !a.mark.Signed || a.Header.Get("Content-Encoding") != "" {
		a.abandon()

		return &InvalidAnswerError{Reason: "not signed, or encoded"}
	}

	if d.route.Kind == route.Stream && a.StatusCode == http.StatusOK {
		return d.forwardStream(t, n, a, sent)
	}

	body, err := io.ReadAll(io.LimitReader(a.Body, maxAnswerBytes))
	if err != nil || len(body) == maxAnswerBytes {
		a.abandon()

		return errors.Join(&InvalidAnswerError{Reason: "answer cut short"}, err)
	}

	a.release()
	d.trail.Record(n, request.Completed)

	whole := &bufferedAnswer{status: a.StatusCode, header: d.Protocol.Incoming(a.Header), body: body}

	if a.StatusCode >= http.StatusInternalServerError {
		d.fallback = whole

		return &FailedError{Target: t.ID, Status: a.StatusCode}
	}

	if d.headSent {
		// A resumed stream must be answered with a stream.
		return &FailedError{Target: t.ID, Status: a.StatusCode}
	}

	d.firstByte = time.Since(d.arrived)
	t.RecordSuccess(time.Since(sent), t.InFlight())
	whole.write(d)

	return nil
}
