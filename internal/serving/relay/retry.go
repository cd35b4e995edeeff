package relay

import (
	"context"
	"errors"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
)

// mayRetry reports whether the request may be retried after err.
func (d *delivery) mayRetry(ctx context.Context, err error) bool {
	if d.passed.on && d.headSent {
		return false // The neighbour retries it, which counts the runs.
	}

	if noTargetFault(err) || ctx.Err() != nil || d.attemptLog.Count() >= maxAttempts || d.reached(RefusingUnstarted) && !d.headSent {
		return false
	}

	var refusal *request.Refusal
	if errors.As(err, &refusal) {
		return false
	}

	if d.probe && !provedNotSent(err) {
		d.probeSent = true

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
	var rejected *RejectedError

	return provedNotSent(err) || errors.As(err, &rejected)
}

// provedNotSent reports whether the error proves that no byte of the request reached the
// target.
func provedNotSent(err error) bool {
	var (
		dial    *DialError
		notSent *NotSentError
		blocked *BlockedError
		still   *StillError
	)

	return errors.As(err, &dial) || errors.As(err, &notSent) || errors.As(err, &blocked) || errors.As(err, &still)
}

// RetryBudgetError reports that the service's retry budget is exhausted.
type RetryBudgetError struct{ Service string }

func (e *RetryBudgetError) Error() string { return "no repeat left for service " + e.Service }

// awaitRetry waits until the request may be retried.
//
// If the request was not sent it returns at once and debits nothing, since the retry
// budget limits only requests that reach targets. After a rejection it backs off, then
// waits for the service's budget until the request's queue deadline. After any
// other error the budget must allow the retry at once, unless closeStalled has
// already debited it.
func (d *delivery) awaitRetry(ctx context.Context, err error) error {
	cause := d.causeOf(err)

	if cause == causeNotSent {
		return d.awaitStill(ctx, err)
	}

	if cause != causeRejected {
		if d.retryReserved.Swap(false) || d.Budgets.TryDebit(d.service, time.Now()) {
			d.noteRetry(cause)

			return nil
		}

		return &RetryBudgetError{Service: d.service}
	}

	if err := clock.Sleep(ctx, rejectionBackoff<<min(d.attemptLog.Count()-1, 3)); err != nil { //nolint:mnd // At most 8 times the base.
		return err
	}

	for !d.Budgets.TryDebit(d.service, time.Now()) {
		if d.reached(RefusingUnstarted) && !d.headSent {
			return shutdownRefusal()
		}

		if !time.Now().Add(budgetPollInterval).Before(d.req.Deadline) {
			return &RetryBudgetError{Service: d.service}
		}

		if err := clock.Sleep(ctx, budgetPollInterval); err != nil {
			return err
		}
	}

	d.noteRetry(cause)

	return nil
}

// awaitStill waits a moment after a target that did not answer.
func (d *delivery) awaitStill(ctx context.Context, err error) error {
	var still *StillError
	if !errors.As(err, &still) {
		return nil
	}

	return clock.Sleep(ctx, stillBackoff)
}

// retryCause is why a request is retried.
type retryCause string

// The causes of retries.
const (
	// causeNotSent is for requests that reached no target, whose next attempt is no retry.
	causeNotSent  retryCause = "notSent"
	causeRejected retryCause = "rejected"
	// causeStalled is for targets that paused, whose connections were closed.
	causeStalled retryCause = "stalled"
	// causeFailed is for answers with a failure, causeInvalid for bytes that are no answer, and
	// causeBroken for connections that ended.
	causeFailed  retryCause = "failed"
	causeInvalid retryCause = "invalid"
	causeBroken  retryCause = "broken"
	// causePassedOn is for requests that a neighbour did not answer.
	causePassedOn retryCause = "passedOn"
)

// causeOf returns why a request is retried after an error.
func (d *delivery) causeOf(err error) retryCause {
	var (
		rejected *RejectedError
		failed   *FailedError
		invalid  *InvalidAnswerError
	)

	switch {
	case provedNotSent(err):
		return causeNotSent
	case errors.As(err, &rejected):
		return causeRejected
	case d.passing:
		return causePassedOn
	case d.retryReserved.Load():
		return causeStalled
	case errors.As(err, &failed):
		return causeFailed
	case errors.As(err, &invalid):
		return causeInvalid
	default:
		return causeBroken
	}
}

// noteRetry records that the retry budget was debited for a retry.
func (d *delivery) noteRetry(cause retryCause) {
	d.retryDebited = true
	d.Log.Info().Str("id", d.info.ID).Str("service", d.service).Str("cause", string(cause)).Int("runs", d.runs).Bool("resumes", d.headSent).Dur("left", time.Until(d.deadline)).Msg("request retried")

	if d.Metrics != nil {
		d.Metrics.Tagged(map[string]string{"service": d.service, "cause": string(cause)}).Counter("retries").Inc(1)
	}
}

// refundRetry returns the debit of a retry that is not sent.
func (d *delivery) refundRetry() {
	if d.retryDebited {
		d.Budgets.Refund(d.service, time.Now())
		d.retryDebited = false
	}
}

// budgetPollInterval is the time between two checks of the retry budget by a
// rejected request. It is short compared with the refill of a budget, which gains
// about one retry every three seconds from the entry's share of the burst, and
// more from the entry's requests.
const budgetPollInterval = 250 * time.Millisecond
