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
	)

	return errors.As(err, &dial) || errors.As(err, &notSent)
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
	var rejected *RejectedError

	switch {
	case provedNotSent(err):
		return nil
	case !errors.As(err, &rejected):
		if d.retryReserved.Swap(false) || d.Budgets.TryDebit(d.service, time.Now()) {
			d.retryDebited = true

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

	d.retryDebited = true

	return nil
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
