package relay

import (
	"context"
	"time"
)

// upload is a request that is written while its answer is read. A nil upload was written before.
type upload struct {
	done chan struct{}
	// err is how the write failed. It is set when done is closed.
	err error
}

// writeBeside begins to write a request.
func (c *conn) writeBeside(out *outgoing) *upload {
	u := &upload{done: make(chan struct{})}

	go func() {
		defer close(u.done)

		u.err = c.write(out)
	}()

	return u
}

// failure returns how the write has failed by now, or nil.
func (u *upload) failure() error {
	if u == nil {
		return nil
	}

	select {
	case <-u.done:
		return u.err
	default:
		return nil
	}
}

// uploadTimeout is how long a target may read on after its answer has ended.
const uploadTimeout = 500 * time.Millisecond

// wait waits until the request is written and returns how that failed.
func (u *upload) wait(ctx context.Context) error {
	if u == nil {
		return nil
	}

	ctx, cancel := context.WithTimeout(ctx, uploadTimeout)
	defer cancel()

	select {
	case <-u.done:
		return u.err
	case <-ctx.Done():
		return ctx.Err()
	}
}
