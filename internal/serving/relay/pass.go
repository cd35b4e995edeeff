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

// eventSilence is how long a stream that can go on elsewhere may be silent
// between two events. Callers leave after 2.4 s or more.
const eventSilence = 1600 * time.Millisecond

// pass hands a stream's events to the caller as they come.
func (d *delivery) pass(t *router.Target, n int, a *answer, sent time.Time) error {
	if !d.begun && !strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream") {
		d.Log.Debug().Str("id", d.ask.ID).Str("type", a.Header.Get("Content-Type")).Msg("stream of another type")
	}

	var (
		buf   []byte
		ev    = events{bufio.NewReader(a.Body)}
		watch = time.AfterFunc(time.Hour, func() { d.leaveSilent(a) })
	)

	defer watch.Stop()

	for count := 0; ; count++ {
		event, id, err := ev.next(buf)
		buf = event

		if err != nil {
			return d.passed(t, n, a, event, err)
		}

		if d.last != "" && id != "" && !after(id, d.last) {
			continue
		}

		if err := d.passEvent(a, event); err != nil {
			a.abandon()

			return err
		}

		d.trail.Learn(n, request.Begun)

		if id != "" {
			d.last = id
		}

		if count == 0 {
			d.noteFirst(t, sent)
		}

		if d.route.Resumable {
			watch.Reset(eventSilence)
		}
	}
}

// leaveSilent closes the connection of a stream that has fallen silent, if the
// stream may go on at another target.
//
// It guards against giving up an answer that still comes: a target under load
// may be silent for seconds, and without a repeat left the caller would get
// nothing more.
func (d *delivery) leaveSilent(a *answer) {
	if d.ran >= d.route.Attempts || d.in(Stopping) || !d.Budgets.Take(d.service, time.Now()) {
		return
	}

	d.paid.Store(true)
	a.conn.Close()
}

func (d *delivery) noteFirst(t *router.Target, sent time.Time) {
	if d.first == 0 {
		d.first = time.Since(d.arrived)
	}

	t.Succeeded(time.Since(sent), t.Own())
}

// passed judges the end of a stream.
func (d *delivery) passed(t *router.Target, n int, a *answer, rest []byte, err error) error {
	if !errors.Is(err, io.EOF) || !a.framed() && len(rest) > 0 {
		a.abandon()

		return fmt.Errorf("target %s: stream cut: %w", t.ID, err)
	}

	a.finish()
	d.trail.Learn(n, request.Completed)

	if len(rest) > 0 || !d.begun {
		return d.passEvent(a, rest)
	}

	return nil
}

// passEvent writes one event, after the head of the first target's answer.
func (d *delivery) passEvent(a *answer, event []byte) error {
	if !d.begun {
		h := d.w.Header()
		for name, values := range d.Protocol.Incoming(a.Header) {
			h[name] = values
		}

		d.w.WriteHeader(a.StatusCode)

		d.begun = true
	}

	if _, err := d.w.Write(event); err != nil {
		return &callerError{err}
	}

	if err := http.NewResponseController(d.w).Flush(); err != nil {
		return &callerError{err}
	}

	d.events++
	d.heard = time.Now()

	return nil
}
