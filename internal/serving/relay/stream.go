package relay

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/serving/request"
	"github.com/fulmarcross/fulmarcross/internal/serving/router"
)

// eventTimeout is the longest time between two events of a resumable stream;
// after it, the stream is resumed at another target if the request may be retried
// (see closeStalled). It leaves time for that before clients disconnect, which is
// after 2.4 s or more.
const eventTimeout = 1600 * time.Millisecond

// forwardStream forwards a stream's events to the client as they arrive.
func (d *delivery) forwardStream(t *router.Target, n int, a *answer, sent time.Time) error {
	if !d.headSent && !isEventStream(a) {
		d.Log.Debug().Str("id", d.info.ID).Str("type", a.Header.Get("Content-Type")).Msg("stream is not text/event-stream")
	}

	var (
		buf    []byte
		stream = d.newEventReader(a)
		watch  = time.AfterFunc(time.Hour, func() { d.closeStalled(a) })
		pauses = pauseMeter{counts: d.pauses(t)}
		took   time.Duration
	)

	defer watch.Stop()

	if err := d.awaitBody(&stream, watch); err != nil {
		return d.endStream(t, n, a, streamEnd{err: err})
	}

	progressAt := time.Now()

	for begun := false; ; {
		event, id, err := stream.next(buf)
		buf = event

		if err != nil {
			return d.endStream(t, n, a, streamEnd{err: err, rest: event, begun: begun})
		}

		kind, err := d.heed(a, event)
		if err != nil {
			return err
		}

		read := time.Now()
		if kind == anEvent {
			progressAt = read
		}

		pauses.read(read, took)
		took = 0

		if d.passesOver(kind, id) {
			continue
		}

		if err := d.writeHeldEvent(a, event, watch); err != nil {
			a.abandon()

			return err
		}

		took = time.Since(read)

		d.attemptLog.Record(n, request.Begun)

		if id != "" {
			d.lastEvent = id
		}

		if !begun {
			d.recordFirstEvent(t, sent)
		}

		begun = true

		d.watchOn(watch, progressAt)
	}
}

// watchOn has the watch fire eventTimeout after the last event, once.
func (d *delivery) watchOn(watch *time.Timer, lastEventAt time.Time) {
	if left := time.Until(lastEventAt.Add(eventTimeout)); d.route.Resumable && left > 0 {
		watch.Reset(left)
	}
}

// awaitBody waits for the first byte of a stream's body. What has begun to write is taken to
// write an event soon. An error must be kept: a body whose end was missed once then ends like a
// whole one.
func (d *delivery) awaitBody(stream *eventReader, watch *time.Timer) error {
	if _, err := stream.r.Peek(1); err != nil {
		return err
	}

	if d.route.Resumable {
		watch.Reset(eventTimeout)
	}

	return nil
}

// heed returns what a block of a stream is. An event shows that its run is sound, and bytes that
// are no event end the stream.
func (d *delivery) heed(a *answer, lines []byte) (block, error) {
	kind := blockOf(lines)

	if kind == noEvent && isEventStream(a) {
		a.abandon()

		return kind, &InvalidAnswerError{Reason: "no event"}
	}

	if kind == anEvent {
		d.Dispatcher.Crashes.WriteRun(a.run)
	}

	return kind, nil
}

// passesOver reports whether a block does not go to the client: an event that it has, or a
// comment before the first event, since another target may yet answer it.
func (d *delivery) passesOver(kind block, id string) bool {
	if kind == aComment && !d.headSent {
		return true
	}

	return d.lastEvent != "" && id != "" && !isAfter(id, d.lastEvent)
}

// isEventStream reports whether the answer states that its body consists of events.
func isEventStream(a *answer) bool {
	return strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream")
}

// closeStalled closes the connection of a stream that sent no event for
// eventTimeout, if the request may be retried: it has attempts left, the entry is
// not draining, and the retry budget allows a retry, which is debited here.
//
// A target under load may pause for seconds and then go on. If no retry is left,
// closing its connection would lose the rest of the answer.
func (d *delivery) closeStalled(a *answer) {
	if d.runs >= d.route.Attempts || d.passed.on || d.reached(Draining) || !d.Budgets.TryDebit(d.service, time.Now()) {
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

// streamEnd is how a target's stream ended.
type streamEnd struct {
	err error
	// rest is what followed the last whole event.
	rest []byte
	// begun says that there was an event.
	begun bool
}

// endStream handles the end of a stream, which is complete or cut off. A stream
// that does not state its own length counts as complete if its connection ends
// between two events and its target lives on.
func (d *delivery) endStream(t *router.Target, n int, a *answer, end streamEnd) error {
	if !errors.Is(end.err, io.EOF) || !a.framed() && len(end.rest) > 0 {
		a.abandon()

		return fmt.Errorf("target %s: stream cut off: %w", t.ID, end.err)
	}

	if err := d.checkEnd(t, a, !end.begun); err != nil {
		a.abandon()

		return err
	}

	a.release()
	d.attemptLog.Record(n, request.Completed)

	if len(end.rest) > 0 || !d.headSent {
		return d.writeEvent(a, end.rest)
	}

	return nil
}

// writeEvent writes one event to the client. Before the first event it writes the
// head of the answer.
func (d *delivery) writeEvent(a *answer, event []byte) error {
	if !d.headSent {
		h := d.w.Header()
		for name, values := range d.Protocol.Incoming(a.Header) {
			h[name] = values
		}

		if software, known := a.origin.Known(); known && d.passed.on {
			h.Set(headerSoftware, string(software))
		}

		if d.passed.on {
			h.Set(headerRuns, strconv.Itoa(d.runs))
		}

		d.w.WriteHeader(a.StatusCode)

		d.headSent = true
		d.begun.Store(true)
	}

	if len(event) > 0 {
		d.beginStream(a)
	}

	if _, err := d.w.Write(event); err != nil {
		return &clientError{err}
	}

	if err := http.NewResponseController(d.w).Flush(); err != nil {
		return &clientError{err}
	}

	d.eventsSent++
	d.lastEventAt = time.Now()

	return nil
}
