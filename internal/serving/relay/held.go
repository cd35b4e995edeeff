package relay

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/serving/memory"
)

const (
	// connBytes is what a client's connection takes while it carries no request: a
	// goroutine, a read and a write buffer.
	connBytes = 16 << 10
	// requestBytes is what a request takes besides its body and its events: stacks, a
	// connection to a target with two buffers, headers and timers. A thousand streams
	// took 52 KB each of heap and stacks, with their connections.
	requestBytes = 36 << 10
	// eventReadBuffer is the size of the buffer that events are read through. The
	// connection to the target has another one.
	eventReadBuffer = 1 << 10
	// memoryRetry is the Retry-After of a request that is refused because memory is
	// short.
	memoryRetry = time.Second
	// discardTimeout is how long the body of a refused request is read and discarded.
	discardTimeout = 2 * time.Second
	// maxHeldEvent limits the size of an event where memory is bounded.
	maxHeldEvent = 256 << 10
	// minBodyRead is the least size of the buffer that a body is read into.
	minBodyRead = 4 << 10
	// slowWrite is how long a write to a client takes at least if the target may abort
	// the answer because it was not read meanwhile.
	slowWrite = time.Second
)

// held is what is held for one request, where memory is bounded.
type held struct {
	conn *memory.Holding
	// own says that conn is of this request alone, and not of its connection.
	own bool
	// body is the client's body, event the buffer of a stream's events, answer an
	// answer that is read completely.
	body, event, answer memory.Buffer
}

// hold begins to count what is held for the request.
func (d *delivery) hold() {
	conn := clientConnOf(d.r.Context()).begin(d.info.ID, d.teamName(), d.customer())

	own := conn == nil
	if own {
		conn = d.ownHolding()
	}

	conn.Busy()
	conn.Add(requestBytes)

	d.held = held{conn: conn, own: own, body: memory.Buffer{Holding: conn}, event: memory.Buffer{Holding: conn}, answer: memory.Buffer{Holding: conn}}
}

// letGo counts what is held for the request as released.
func (d *delivery) letGo() {
	for _, b := range []*memory.Buffer{&d.held.body, &d.held.event, &d.held.answer} {
		b.SetSize(0)
	}

	d.held.conn.Add(-requestBytes)

	if d.held.own {
		d.held.conn.Close()
	} else {
		d.held.conn.Idle()
	}
}

// refuseShort refuses the request if memory is short, and returns true then.
func (d *delivery) refuseShort() bool {
	if d.Memory == nil {
		return false
	}

	why := d.Memory.Refuses(d.customer(), d.r.ContentLength)
	if why == "" {
		return false
	}

	d.refuseMemory(why)

	return true
}

// refuseMemory refuses a request that was never sent because memory is short.
func (d *delivery) refuseMemory(why string) {
	total, limit := d.Memory.Held()

	d.Log.Info().Str("id", d.info.ID).Str("team", d.teamName()).Int64("size", d.r.ContentLength).Int64("held", total).Int64("limit", limit).
		Int("status", http.StatusServiceUnavailable).Dur("retryAfter", memoryRetry).Str("why", why).Msg("request refused")
	d.count(kindNames[d.route.Kind], http.StatusServiceUnavailable)

	if d.Metrics != nil {
		d.Metrics.Counter("refused_memory_short").Inc(1)
	}

	d.w.Header().Set("Content-Length", "0")

	rc := http.NewResponseController(d.w)
	_ = rc.EnableFullDuplex() // Fails only for writers of tests.

	writeRefusal(d.w, http.StatusServiceUnavailable, memoryRetry)

	if d.r.ContentLength == 0 || d.r.Header.Get("Expect") != "" || rc.Flush() != nil {
		return
	}

	// If the server closed the connection while the client still sends its body, the
	// reset could overtake the refusal.
	_ = rc.SetReadDeadline(time.Now().Add(discardTimeout))
	_, _ = io.Copy(io.Discard, d.r.Body)
}

// readAll reads all of r, of which size bytes are expected, negative if unknown. Where
// memory is bounded, it reads only as fast as memory is available, and fails with a
// *memory.ShortError if none is for some time, or with the error of the answer's bound.
func (d *delivery) readAll(r io.Reader, size int64, held *memory.Buffer, bound *answerBound) ([]byte, error) {
	if d.Memory == nil {
		return io.ReadAll(r)
	}

	var b []byte

	for {
		if len(b) == cap(b) {
			next := max(minBodyRead, 2*cap(b)) //nolint:mnd // Doubled.
			if exact := int(size) + 1; exact > cap(b) && exact < next {
				next = exact // The last byte is for the read that finds the end.
			}

			if err := bound.grow(next - cap(b)); err != nil {
				return nil, err
			}

			if err := held.Grow(d.r.Context(), cap(b)+next); err != nil {
				return nil, err
			}

			b = append(make([]byte, 0, next), b...)
			held.SetSize(next)
		}

		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]

		switch {
		case errors.Is(err, io.EOF):
			return b, nil
		case err != nil:
			return b, err
		}
	}
}

// isMemoryShort reports whether err means that memory stayed short.
func isMemoryShort(err error) bool {
	var short *memory.ShortError

	return errors.As(err, &short)
}

// noTargetFault reports whether an attempt failed because of the client or because
// this entry's memory is short.
func noTargetFault(err error) bool {
	var clientErr *clientError

	return errors.As(err, &clientErr) || isMemoryShort(err)
}

// writeHeldEvent writes one event to the client, as writeEvent does, and counts the
// event's buffer where memory is bounded. watch detects targets that pause.
func (d *delivery) writeHeldEvent(a *answer, event []byte, watch *time.Timer) error {
	if !d.CutOffStalled {
		return d.writeEvent(a, event)
	}

	// The target isn't silent while the client reads slowly. If the watch fired, a
	// stream that its client does not read would be resumed elsewhere.
	watch.Stop()
	d.held.event.SetSize(cap(event))

	began := time.Now()
	err := d.writeEvent(a, event)
	d.readLate = time.Since(began) >= slowWrite

	return err
}
