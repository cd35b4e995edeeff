package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/room/metric"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
)

// kindNames are the names of the kinds in metrics.
var kindNames = map[route.Kind]string{route.Idempotent: "idempotent", route.NonIdempotent: "once", route.Stream: "stream"}

// recordOutcome records the metrics of a request that has ended.
func (d *delivery) recordOutcome(status int) {
	if d.Metrics == nil {
		return
	}

	kind := kindNames[d.route.Kind]
	d.count(kind, status)

	if n := d.attemptLog.Count(); n > 1 {
		d.Metrics.Counter("repeats").Inc(int64(n - 1))
	}

	if d.firstByte > 0 {
		d.Metrics.Tagged(map[string]string{"kind": kind}).Histogram("first_byte", metric.Latencies()).RecordDuration(d.firstByte)
	}
}

// countInvalid counts an attempt whose answer cannot be believed.
func (d *delivery) countInvalid(err error) {
	var (
		invalid *InvalidAnswerError
		lacks   *LacksEndError
	)

	if d.Metrics != nil && (errors.As(err, &invalid) || errors.As(err, &lacks)) {
		d.Metrics.Counter("invalid_answers").Inc(1)
	}
}

// finish writes the request's final answer, if none was written and the client
// has not left, and logs the outcome. If the answer broke off while the client was
// connected, it panics with http.ErrAbortHandler to close the client's connection.
func (d *delivery) finish(err error) {
	line := d.Log.Info().Str("id", d.info.ID).Str("route", d.route.Name).Str("team", d.teamName()).Float64("cost", d.cost).Uint64("config", d.version).
		Str("key", d.req.Model).Int("sends", d.attemptLog.Count()).Bool("cold", d.coldStart).
		Dur("goal", d.route.Goal).Dur("left", d.deadline.Sub(d.arrived)).Dur("waited", d.waited).Dur("first", d.firstByte).Dur("took", time.Since(d.arrived))

	if d.eventsSent > 0 {
		line = line.Int("events", d.eventsSent).Dur("quiet", time.Since(d.lastEventAt))
	}

	switch {
	case err == nil:
		d.endStreamRecord()
		d.recordOutcome(http.StatusOK)
		line.Msg("request answered")

		return
	case d.r.Context().Err() != nil || d.clientGone.Load():
		d.recordOutcome(0)
		line.Err(err).Msg("caller left")

		return
	case d.headSent:
		d.recordOutcome(0)
		line.Err(err).Msg("answer broken off")
		// Only a closed connection shows the client that the rest is missing.
		panic(http.ErrAbortHandler)
	case d.fallback != nil:
		d.recordOutcome(d.fallback.status)
		line.Err(err).Int("status", d.fallback.status).Msg("failure of a target passed on")
		_ = d.fallback.write(d) // The request has ended either way.

		return
	}

	status, retryAfter := d.refusalStatus(err)
	d.recordOutcome(status)
	d.recordRefusal(line, err)
	line.Err(err).Int("status", status).Dur("retryAfter", retryAfter).Msg("request refused")

	writeRefusal(d.w, status, retryAfter)
}

// refusalStatus returns the status and the Retry-After of a refusal for err. The
// status states no more than the attempts prove: only 503 promises that the
// request did not run.
func (d *delivery) refusalStatus(err error) (int, time.Duration) {
	run := d.attemptLog.Run()
	timedOut := errors.Is(err, context.DeadlineExceeded)

	switch {
	case run != request.NotRun && timedOut:
		return http.StatusGatewayTimeout, 0
	case run != request.NotRun:
		return http.StatusBadGateway, 0
	}

	retryAfter := defaultRetryAfter

	var refusal *request.Refusal
	if errors.As(err, &refusal) {
		if refusal.Code == request.TooLarge {
			return http.StatusServiceUnavailable, 0
		}

		if refusal.RetryAfter > 0 {
			retryAfter = refusal.RetryAfter
		}
	}

	return http.StatusServiceUnavailable, retryAfter
}

// defaultRetryAfter is the Retry-After of a refusal whose error states none.
const defaultRetryAfter = 250 * time.Millisecond
