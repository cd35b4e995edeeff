package relay

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/serving/router"
)

// StillError reports that a request was not sent to the target that was chosen for it, since that
// gave no sign that it answers.
type StillError struct {
	Target instance.ID
	Err    error
}

func (e *StillError) Error() string {
	return fmt.Sprintf("target %s: not sent, %v", e.Target, e.Err)
}

func (e *StillError) Unwrap() error { return e.Err }

// answerTimeout bounds the wait for the sign that a target answers.
const answerTimeout = 200 * time.Millisecond

// stillBackoff is the pause after a target that did not answer, so that a request does not use up its
// attempts while all of them are busy.
const stillBackoff = 50 * time.Millisecond

// checkAnswers returns a *StillError or *DialError if the request may be sent only to a target that answers, and
// this one does not. A probe needs one that is able to run it, since there are few.
func (d *delivery) checkAnswers(ctx context.Context, t *router.Target) error {
	if d.Answers == nil || !d.probe && !d.Dispatcher.Crashes.MustBeAnswered(d.req) {
		return nil
	}

	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()

	able, err := d.Answers(ctx, t, d.req.Model)

	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return &DialError{Err: err}
	case err != nil:
		return &StillError{Target: t.ID, Err: err}
	case d.probe && !able:
		return &StillError{Target: t.ID, Err: errUnable}
	}

	return nil
}

var errUnable = errors.New("not able to run it")
