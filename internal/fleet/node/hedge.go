package node

import (
	"context"
	"errors"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/inventory"
)

// hedgeDelay is how long a read of the list may go without an answer until it is made once
// more beside the first.
const hedgeDelay = 400 * time.Millisecond

// hedged returns the result of call and, if there is none after hedgeDelay, that of whichever of
// two calls answers first. An error is returned once both have failed.
//
// A call whose answer is lost ends only with its time-out, after which a leaving target could not
// be heard of in time.
func hedged[T any](ctx context.Context, call func(context.Context) (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	results := make(chan result, 2) //nolint:mnd // Two calls.
	begin := func() {
		value, err := call(ctx)
		results <- result{value, err}
	}

	go begin()

	second := time.NewTimer(hedgeDelay)
	defer second.Stop()

	running := 1

	for {
		select {
		case r := <-results:
			running--
			if answered(r.err) || running == 0 {
				return r.value, r.err
			}
		case <-second.C:
			running++

			go begin()
		}
	}
}

// answered reports whether a read with this error was answered. Lost history is an answer.
func answered(err error) bool { return err == nil || historyGone(err) }

// historyGone reports whether err is or wraps an *inventory.HistoryGoneError.
func historyGone(err error) bool {
	var gone *inventory.HistoryGoneError

	return errors.As(err, &gone)
}
