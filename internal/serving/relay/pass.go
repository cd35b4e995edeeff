package relay

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/serving/request"
	"github.com/fulmarcross/fulmarcross/internal/serving/router"
)

// eventTimeout is how long a stream that another target can resume may send no
// event. Clients leave after 2.4 s or more.
const eventTimeout = 1600 * time.Millisecond

// forwardStream forwards a stream's events to the client as they arrive.
func (d *delivery) forwardStream(t *router.Target, n int, a *answer, sent time.Time) error {
	if !d.headSent && !strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream") {
		d.Log.Debug().Str("id", d.info.ID).Str("type", a.Header.Get("Content-Type")).Msg("stream is not text/event-stream")
	}

	var (
		buf    []byte
		stream = events{bufio.NewReader(a.Body)}
		watch  = time.AfterFunc(time.Hour, func() { d.closeSilent(a) })
	)

	defer watch.Stop()

	for count := 0; ; count++ {
		event, id, err := stream.next(buf)
		buf = event

		if err != nil {
			return d.endStream(t, n, a, event, err)
		}

		if d.lastEvent != "" && id != "" && !isAfter(id, d.lastEvent) {
			continue
		}

		if err := d.writeEvent(a, event); err != nil {
			a.abandon()

			return err
		}

		d.trail.Record(n, request.Begun)

		if id != "" {
			d.lastEvent = id
		}

		if count == 0 {
			d.recordFirstEvent(t, sent)
		}

		if d.route.Resumable {
			watch.Reset(eventTimeout)
		}
	}
}

// closeSilent closes the connection of a stream that sent no event for
// eventTimeout, if another target may resume the stream.
//
// A target under load may pause for seconds and then go on. Without a retry
// left, closing its connection would lose the rest of the answer.
func (d *delivery) closeSilent(a *answer) {
	if d.runs >= d.route.Attempts || d.reached(Draining) || !d.Budgets.TryWithdraw(d.service, time.Now()) {
		return
	}

	d.retryReserved.Store(true)
	a.conn.Close()
}

func (d *delivery) recordFirstEvent(t *router.Target, sent time.Time) {
	if d.firstByte == 0 {
		d.firstByte = time.Since(d.arrived)
	}

	t.RecordSuccess(time.Since(sent), t.InFlight())
}

// endStream handles the end of a stream, which is complete or cut off.
func (d *delivery) endStream(t *router.Target, n int, a *answer, rest []byte, err error) error {
	if !errors.Is(err, io.EOF) || !a.framed() && len(rest) > 0 {
		a.abandon()

		return fmt.Errorf("target %s: stream cut off: %w", t.ID, err)
	}

	a.release()
	d.trail.Record(n, request.Completed)

	if len(rest) > 0 || !d.headSent {
		return d.writeEvent(a, rest)
	}

	return nil
}

// writeEvent writes one event, preceded by the head of the first target's
// answer if that was not sent yet.
func (d *delivery) writeEvent(a *answer, event []byte) error {
	if !d.headSent {
		h := d.w.Header()
		for name, values := range d.Protocol.Incoming(a.Header) {
			h[name] = values
		}

		d.w.WriteHeader(a.StatusCode)

		d.headSent = true
	}

	if _, err := d.w.Write(event); err != nil {
		return &callerError{err}
	}

	if err := http.NewResponseController(d.w).Flush(); err != nil {
		return &callerError{err}
	}

	d.events++
	d.lastEventAt = time.Now()

	return nil
}
