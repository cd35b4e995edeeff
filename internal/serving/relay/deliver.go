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
	// maxAttempts bounds how often one request is sent, whatever the budget says.
	maxAttempts = 8
	// rejectionBackoff is the pause after a target said that it did not run a
	// request, doubled each time: a load that ends later than foretold is late
	// by a tenth of a second or two.
	rejectionBackoff = 60 * time.Millisecond
	// maxAnswerBytes bounds an answer that is held until it is whole.
	maxAnswerBytes = 16 << 20
)

// RejectedError says that a target did not run the request.
type RejectedError struct {
	Target instance.ID
	Status int
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("target %s: not run, status %d", e.Target, e.Status)
}

// FailedError says that a target answered with a failure of its own.
type FailedError struct {
	Target instance.ID
	Status int
}

func (e *FailedError) Error() string {
	return fmt.Sprintf("target %s: failed with status %d", e.Target, e.Status)
}

// callerError is a failure of the caller's side.
type callerError struct{ err error }

func (e *callerError) Error() string { return "caller: " + e.err.Error() }

func (e *callerError) Unwrap() error { return e.err }

// run sends the request until it is answered or must not be sent again.
func (d *delivery) run(ctx context.Context) error {
	for {
		t, err := d.acquire(ctx)
		if err != nil {
			return err
		}

		err = d.attempt(ctx, t)
		d.Lines.Return(t, d.req, d.suspect)

		if err == nil {
			if d.suspect {
				d.Lines.Cleared(d.req.Fingerprint())
			}

			return nil
		}

		if ctx.Err() != nil {
			// The connection was closed because the time is up or the caller
			// left, which is what the answer goes by.
			err = errors.Join(ctx.Err(), err)
		}

		d.Log.Info().Str("id", d.info.ID).Str("target", string(t.ID)).Int("send", d.trail.Sends()).Err(err).Msg("attempt failed")

		if !d.mayRetry(ctx, err) {
			return err
		}

		d.exclude = append(d.exclude[:0], t.ID)

		if again := d.awaitRetry(ctx, err); again != nil {
			return errors.Join(again, err)
		}
	}
}

func (d *delivery) acquire(ctx context.Context) (*router.Target, error) {
	if d.reached(Ending) && !d.headSent && d.route.Kind == route.Stream {
		return nil, stoppingRefusal()
	}

	q := router.Query{Suspect: d.suspect, Exclude: d.exclude}
	if d.info.Shared != "" {
		q.Affinity = d.req.Model + " " + d.info.Shared
	}

	asked := time.Now()
	late := time.AfterFunc(waitLogDelay, func() { d.logWaiting() })
	t, cold, err := d.Lines.Acquire(ctx, d.req, q)

	late.Stop()

	d.coldStart = d.coldStart || cold
	d.waited += time.Since(asked)

	if err == nil {
		d.logChoice(t)
	}

	return t, err
}

// waitLogDelay is how long a request has no target before a line says so: most
// have one at once, and the line that ends a request tells of short waits.
const waitLogDelay = 50 * time.Millisecond

// logWaiting says that a request waits, and what the targets that hold its
// model cannot take it for.
func (d *delivery) logWaiting() {
	s := d.Lines.Standing(d.req.Model)
	d.Log.Info().Str("id", d.info.ID).Str("key", d.req.Model).Int("holders", s.Holders).Int("full", s.Full).
		Int("leaving", s.Leaving).Int("dead", s.Dead).Int("ejected", s.Ejected).Msg("request waits")
}

// logChoice says which target was chosen, and by what.
func (d *delivery) logChoice(t *router.Target) {
	info := t.Info()
	d.Log.Info().Str("id", d.info.ID).Str("key", d.req.Model).Str("target", string(t.ID)).Int("own", t.Own()).
		Int("running", info.Running).Int("slots", info.Slots).Dur("age", t.ReportAge(time.Now())).Msg("target chosen")
}

// mayRetry reports whether the request may be sent once more after err.
func (d *delivery) mayRetry(ctx context.Context, err error) bool {
	var caller *callerError
	if errors.As(err, &caller) || ctx.Err() != nil || d.trail.Sends() >= maxAttempts || d.reached(Ending) && !d.headSent {
		return false
	}

	var poisoned *request.Refusal
	if errors.As(err, &poisoned) {
		return false
	}

	if provedNotRun(err) {
		return true
	}

	return d.route.Repeatable() && d.runs < d.route.Attempts
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

// RetryBudgetError says that a request may not be sent once more.
type RetryBudgetError struct{ Service string }

func (e *RetryBudgetError) Error() string { return "no repeat left for service " + e.Service }

// awaitRetry waits until the request may be sent once more. One that did not reach
// its target takes no share of the repeats, which bound what arrives at targets.
// One that was rejected gives its target a moment, and waits for its share as
// long as it may wait in line; for any other the share must be there now.
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

	if err := clock.Sleep(ctx, rejectionBackoff<<min(d.trail.Sends()-1, 3)); err != nil { //nolint:mnd // At most eightfold.
		return err
	}

	for !d.Budgets.TryWithdraw(d.service, time.Now()) {
		if d.reached(Ending) && !d.headSent {
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

// budgetPollInterval is how often a rejected request asks for its share of the
// repeats: an entry's share of the burst flows back at about one in three
// seconds, and its requests earn more.
const budgetPollInterval = 250 * time.Millisecond

// attempt sends the request to the target and passes its answer on.
func (d *delivery) attempt(ctx context.Context, t *router.Target) error {
	n := d.trail.Send()
	sent := time.Now()

	if n == 0 {
		d.Budgets.Deposit(d.service, sent)
	}

	last := d.lastEvent
	if last == "" {
		last = d.info.After
	}

	out := &outgoing{
		method: d.r.Method, uri: d.r.RequestURI, host: d.r.Host, id: d.info.ID,
		header: d.Protocol.Outgoing(d.r.Header, Sending{
			Left: d.deadline.Sub(sent), Target: t.ID, After: last, Ranked: d.prioritised, Priority: d.priority(),
			Keyed: d.keysInUse, Team: d.teamName(),
		}),
		body: d.body, hasBody: d.r.ContentLength != 0, newConn: !d.route.Repeatable(),
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

// handleSendError judges a sending without an answer.
func (d *delivery) handleSendError(ctx context.Context, t *router.Target, n int, err error) error {
	var dial *DialError
	if errors.As(err, &dial) {
		d.trail.Learn(n, request.NotReached)

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
	t.Failed(now)

	if d.recordDeath(t, t.Info().Incarnation, now) {
		d.Log.Warn().Str("target", string(t.ID)).Msg("target not reached")
	}
}

// recordDeath records that a target's process takes no connection, and reports
// whether that is news, which is then passed on.
func (d *delivery) recordDeath(t *router.Target, incarnation string, now time.Time) bool {
	if !t.Died(incarnation, now) {
		return false
	}

	if d.Unreached != nil {
		d.Unreached(t)
	}

	return true
}

// handleRejection records that the target did not run the request.
func (d *delivery) handleRejection(t *router.Target, n int, a *answer) error {
	d.trail.Learn(n, request.ProvedNotRun)

	if _, err := io.Copy(io.Discard, io.LimitReader(a.Body, maxHeadBytes)); err == nil {
		a.release()
	} else {
		a.abandon()
	}

	switch {
	case a.mark.Misdirected && a.mark.Instance != "" && a.mark.Instance != t.ID:
		d.Moved(t)
	case a.mark.Misdirected:
		d.Absent(t, d.req.Model)
	}

	return &RejectedError{Target: t.ID, Status: a.StatusCode}
}

// checkCrash finds out whether the target died under the request.
//
// It guards against a request that crashes every target that runs it: a target
// counts as dead only if it refuses a new connection right after, so that a
// lost answer alone blames nobody.
func (d *delivery) checkCrash(ctx context.Context, t *router.Target, err error) error {
	var caller *callerError

	var failed *FailedError
	if errors.As(err, &caller) || errors.As(err, &failed) || ctx.Err() != nil {
		return err
	}

	t.Failed(time.Now())

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

	if d.Lines.Died(d.req.Fingerprint(), crash.Death{Target: t.ID, Incarnation: incarnation}) {
		return d.trail.Refuse(request.Poisoned, 0, "targets crashed while they ran this request")
	}

	return err
}

// connectionBroken reports whether a connection ended under a request.
func connectionBroken(err error) bool {
	var opErr *net.OpError

	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.As(err, &opErr)
}

// bufferedAnswer is an answer that was read to its end.
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

	if _, typed := h["Content-Type"]; !typed {
		// The target named no type, so none is guessed.
		h["Content-Type"] = nil
	}

	d.w.WriteHeader(a.status)
	_, _ = d.w.Write(a.body) // A caller that left gets nothing, and the server notices.
}

// deliverAnswer passes a target's answer on.
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
	d.trail.Learn(n, request.Completed)

	got := &bufferedAnswer{status: a.StatusCode, header: d.Protocol.Incoming(a.Header), body: body}

	if a.StatusCode >= http.StatusInternalServerError {
		d.fallback = got

		return &FailedError{Target: t.ID, Status: a.StatusCode}
	}

	if d.headSent {
		// A resumed stream was answered with something else.
		return &FailedError{Target: t.ID, Status: a.StatusCode}
	}

	d.firstByte = time.Since(d.arrived)
	t.Succeeded(time.Since(sent), t.Own())
	got.write(d)

	return nil
}
