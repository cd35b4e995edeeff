package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/serving/crash"
	"github.com/fulmarcross/fulmarcross/internal/serving/origin"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
	"github.com/fulmarcross/fulmarcross/internal/serving/router"
)

const (
	// maxAttempts limits the attempts of one request, whatever the retry budget
	// allows.
	maxAttempts = 8
	// rejectionBackoff is the pause after a target reported that it did not run
	// a request. It doubles with each attempt, to at most 8 times the base. A
	// target may reject a request because a load ends later than predicted.
	// Such a load ends 100 to 200 ms late; the first three pauses (60, 120 and
	// 240 ms) together are longer than that.
	rejectionBackoff = 60 * time.Millisecond
	// maxAnswerBytes limits the size of an answer that is buffered; an answer of
	// this size or more is treated as cut short.
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

// FailedError reports that a target, without stating that it did not run the
// request, answered with status 500 or above, or that it answered the resumption
// of a stream with a status other than 200.
type FailedError struct {
	Target instance.ID
	Status int
}

func (e *FailedError) Error() string {
	return fmt.Sprintf("target %s: failed with status %d", e.Target, e.Status)
}

// clientError is a failure to write to the client.
type clientError struct{ err error }

func (e *clientError) Error() string { return "write to client: " + e.err.Error() }

func (e *clientError) Unwrap() error { return e.err }

// run makes attempts until the request is answered or must not be retried.
func (d *delivery) run(ctx context.Context) error {
	for {
		if d.passing || d.cutOff() {
			if again, err := d.passOnOnce(ctx); !again {
				return err
			}

			continue
		}

		t, err := d.acquire(ctx)
		if err != nil {
			d.refundRetry()

			return err
		}

		if refusal := d.Dispatcher.Crashes.Refusal(d.req); refusal != nil && !d.probe {
			// It was blocked while it waited.
			d.Dispatcher.Release(t, d.req, d.suspect)
			d.refundRetry()

			return refusal
		}

		err = d.attempt(ctx, t)
		d.Dispatcher.Release(t, d.req, d.suspect)

		if err == nil {
			return nil
		}

		if ctx.Err() != nil {
			// ctx has ended, because the deadline has passed or the client has
			// left, and this closed the connection to the target. The answer to
			// the client depends on ctx's error, so err must contain it.
			err = errors.Join(ctx.Err(), err)
		}

		d.Log.Info().Str("id", d.info.ID).Str("target", string(t.ID)).Int("send", d.attemptLog.Count()).Err(err).Msg("attempt failed")
		d.countInvalid(err)

		if !d.mayRetry(ctx, err) {
			d.refundRetry()

			return err
		}

		if refusal := d.Dispatcher.RefuseUnavailable(d.req); refusal != nil && !d.headSent {
			return errors.Join(refusal, err)
		}

		d.exclude = append(d.exclude[:0], t.ID)

		if retryErr := d.awaitRetry(ctx, err); retryErr != nil {
			return errors.Join(retryErr, err)
		}
	}
}

func (d *delivery) acquire(ctx context.Context) (*router.Target, error) {
	if d.reached(RefusingUnstarted) && !d.headSent && d.route.Kind == route.Stream {
		return nil, shutdownRefusal()
	}

	q := router.Query{Suspect: d.suspect, Exclude: d.exclude, Tokens: d.req.Tokens, Reuse: d.route.Retryable()}
	if d.info.SharedPrompt != "" {
		q.Affinity = d.req.Model + " " + d.info.SharedPrompt
	}

	began := time.Now()
	from := d.req.Origin
	waitLog := time.AfterFunc(waitLogDelay, func() { d.logWaiting(from) })
	t, cold, err := d.Dispatcher.Acquire(ctx, d.req, q)

	waitLog.Stop()

	d.coldStart = d.coldStart || cold
	waited := time.Since(began)
	d.waited += waited

	if err == nil {
		d.logChoice(t, waited)
		d.recordPrediction(func(predicted time.Duration) string { return predictionResult(predicted, waited) })
	}

	return t, err
}

// waitLogDelay is how long a request must wait for a target until the wait is
// logged. Most requests get a target at once, and shorter waits appear in the
// request's last log line.
const waitLogDelay = 50 * time.Millisecond

// logWaiting logs that a request waits and why the targets that hold its model
// cannot accept it.
func (d *delivery) logWaiting(from origin.Origin) {
	s := d.Dispatcher.TargetStates(d.req.Model, from)
	d.Log.Info().Str("id", d.info.ID).Str("key", d.req.Model).Int("holders", s.Targets).Int("full", s.Full).
		Int("leaving", s.Leaving).Int("dead", s.Dead).Int("otherSoftware", s.OtherSoftware).Int("resting", s.Resting).Int("ejected", s.Ejected).Int("limited", s.Limited).Msg("request waits")
}

// logChoice logs the chosen target and the values that the choice was based on, and how
// long the request was queued if a wait had been predicted.
func (d *delivery) logChoice(t *router.Target, waited time.Duration) {
	info := t.Info()
	line := d.Log.Info().Func(d.addPrediction(waited)).Str("id", d.info.ID).Str("key", d.req.Model).Str("target", string(t.ID)).Str("software", string(info.Software)).Int("own", t.InFlight()).
		Int("running", info.Running).Int("slots", info.Slots).Dur("age", t.ReportAge(time.Now()))

	if info.SmallBatch {
		p := t.Predict(d.req.Tokens)
		line = line.Int("tokens", p.Tokens).Float64("speed", p.Speed).Dur("firstToken", p.FirstToken)
	}

	if after := d.resumesAfter(); after != "" {
		line = line.Str("after", after).Str("firstAttempt", d.info.FirstAttempt)
	}

	line.Msg("target chosen")
}

// resumesAfter returns the id of the last event that the client has received, in this answer
// or in an earlier one; it is empty if the stream begins.
func (d *delivery) resumesAfter() string {
	if d.lastEvent != "" {
		return d.lastEvent
	}

	return d.info.LastEvent
}

// attempt sends the request to the target and forwards its answer.
func (d *delivery) attempt(ctx context.Context, t *router.Target) error {
	n := d.attemptLog.Begin()

	if err := d.checkAnswers(ctx, t); err != nil {
		return d.handleSendError(ctx, t, n, err)
	}

	sent := time.Now()

	out := &outgoing{
		method: d.r.Method, uri: d.r.RequestURI, host: d.r.Host, id: d.info.ID,
		header: d.Protocol.Outgoing(d.r.Header, Attempt{
			Timeout: d.deadline.Sub(sent), Target: t.ID, LastEvent: d.resumesAfter(), Prioritised: d.prioritised, Priority: d.priority(),
			DropCredentials: d.keysInUse, Team: d.teamName(),
		}),
		body: d.body, hasBody: d.r.ContentLength != 0, newConn: !d.route.Retryable(),
		maxIdle:     idleShare(d.maxConns, d.Dispatcher.Entries()),
		maxIdleTime: idleTime(t), onConn: d.countConnection, refusal: d.blocked,
		onAnswer: func(head answerHead) { d.hear(t, head, sent) },
	}

	if d.Reach != nil {
		out.dialing = func(ctx context.Context) (context.Context, context.CancelFunc) {
			return d.Reach.Dialing(ctx, d.service)
		}
	}

	run := d.Dispatcher.Crashes.BeginRun(t.ID, t.Info().Incarnation, d.req)

	a, err := d.Pool.exchange(ctx, t, out, d.Protocol)
	if !provedNotSent(err) {
		d.retryDebited = false
	}

	if err != nil {
		d.Dispatcher.Crashes.EndRun(run, d.endOf(ctx, err))

		return d.handleSendError(ctx, t, n, err)
	}

	if a.info.NotRun {
		d.Dispatcher.Crashes.EndRun(run, crash.NotRun)

		return d.handleRejection(t, n, a)
	}

	d.runs++
	a.run = run

	err = d.deliverAnswer(t, n, a, sent)
	d.Dispatcher.Crashes.EndRun(run, d.endOf(ctx, err))

	if err != nil {
		return d.checkCrash(ctx, t, err)
	}

	return nil
}

// handleSendError handles an attempt that got no usable answer: the target was
// not reached, it may have crashed, or what it sent was invalid.
func (d *delivery) handleSendError(ctx context.Context, t *router.Target, n int, err error) error {
	var dial *DialError
	if errors.As(err, &dial) {
		d.attemptLog.Record(n, request.NotReached)

		if ctx.Err() == nil && !d.blamesSelf(ctx) {
			d.markUnreachable(t, err)
		}

		return err
	}

	if provedNotSent(err) {
		d.attemptLog.Record(n, request.NotReached)

		return err
	}

	d.runs++
	d.checkReach(ctx)

	return d.checkCrash(ctx, t, err)
}

// handleRejection handles an answer that states that the target did not run the
// request. It reports a moved address or an absent model, and returns a
// *RejectedError.
func (d *delivery) handleRejection(t *router.Target, n int, a *answer) error {
	d.attemptLog.Record(n, request.ProvedNotRun)

	a.discard()

	switch {
	case a.info.Misdirected && a.info.Instance != "" && a.info.Instance != t.ID:
		d.OnAddressMoved(t)
	case a.info.Misdirected:
		d.OnModelAbsent(t, d.req.Model)
	default:
		t.Rejected(time.Now(), d.Dispatcher.Entries())
	}

	return &RejectedError{Target: t.ID, Status: a.StatusCode}
}

// bufferedAnswer is an answer that was read completely.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// write writes the answer to the client. It fails only if the client was cut off.
func (a *bufferedAnswer) write(d *delivery) error {
	h := d.w.Header()
	for name, values := range a.header {
		h[name] = values
	}

	if _, hasType := h["Content-Type"]; !hasType {
		// The target set no type. Prevent net/http from guessing one.
		h["Content-Type"] = nil
	}

	d.w.WriteHeader(a.status)
	_, err := d.w.Write(a.body) // The server notices a client that has left.

	var stalled *StalledClientError
	if errors.As(err, &stalled) {
		return &clientError{err}
	}

	return nil
}

// deliverAnswer forwards a target's answer.
func (d *delivery) deliverAnswer(t *router.Target, n int, a *answer, sent time.Time) error {
	if !a.info.Signed || a.Header.Get("Content-Encoding") != "" {
		a.abandon()

		return &InvalidAnswerError{Reason: "not signed, or encoded"}
	}

	if d.route.Kind == route.Stream && a.StatusCode == http.StatusOK {
		return d.forwardStream(t, n, a, sent)
	}

	if a.ContentLength >= maxAnswerBytes {
		a.abandon()

		return &InvalidAnswerError{Reason: "answer too long"}
	}

	d.boundBody(a)

	bound := d.boundAnswer(t.ID, a)
	defer bound.end()

	body, err := d.readAll(io.LimitReader(a.Body, maxAnswerBytes), a.ContentLength, &d.held.answer, bound)
	if err != nil || len(body) == maxAnswerBytes {
		a.abandon()

		return errors.Join(&InvalidAnswerError{Reason: "answer cut short"}, err)
	}

	a.conn.unboundReads()

	if err := d.checkEnd(t, a, len(body) == 0); err != nil {
		a.abandon()

		return err
	}

	a.release()
	d.attemptLog.Record(n, request.Completed)

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
	d.durations.add(d.service, time.Since(sent), time.Now())
	t.RecordSuccess(time.Since(sent), t.InFlight())

	return whole.write(d)
}
