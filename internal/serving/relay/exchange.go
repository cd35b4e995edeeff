package relay

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/serving/crash"
	"github.com/fulmarcross/fulmarcross/internal/serving/origin"
	"github.com/fulmarcross/fulmarcross/internal/serving/router"
	"github.com/fulmarcross/fulmarcross/internal/serving/statement"
	"github.com/fulmarcross/fulmarcross/internal/wire/message"
)

// outgoing is a request as it is sent to a target.
type outgoing struct {
	method, uri, host string
	header            http.Header
	body              []byte
	// hasBody is set if the client sent a body, which may be empty.
	hasBody bool
	id      string
	// newConn requires a new connection.
	newConn bool
	// dialing, if set, returns a context for the time in which a connection is opened.
	dialing func(context.Context) (context.Context, context.CancelFunc)
	// refusal, if set, returns why the request may not be sent any more.
	refusal func() error
	// maxIdle limits the idle connections to the target, and maxIdleTime the time that
	// each is kept.
	maxIdle     int
	maxIdleTime time.Duration
	// onConn is called when the request has a connection.
	onConn func(reused bool)
	// onAnswer is called with the head of each answer, also of those to earlier
	// requests.
	onAnswer func(answerHead)
}

// answer is a target's answer: its head, and the body that is still to be read.
type answer struct {
	*http.Response

	info AnswerInfo
	conn *conn
	// upload is the request while its answer is read, or nil if it was written before. The
	// target may have answered before it had read all of it.
	upload *upload
	pool   *Pool
	// origin is the software of the target that answered.
	origin origin.Origin
	// run is the run that the answer is of, or nil if another entry sent it. passedRuns is how often
	// that entry may have run the request.
	run        *crash.Run
	passedRuns int
	// stop ends the watch on the request's context. It returns false if the
	// context has already ended, which closes the connection.
	stop func() bool
}

// DialError reports that no byte of a request reached the target.
type DialError struct{ Err error }

func (e *DialError) Error() string { return fmt.Sprintf("not reached: %v", e.Err) }

func (e *DialError) Unwrap() error { return e.Err }

// InvalidAnswerError reports that the bytes received are not a valid answer to
// the request.
type InvalidAnswerError struct{ Reason string }

func (e *InvalidAnswerError) Error() string { return "invalid answer: " + e.Reason }

const (
	// maxInlineBody is the largest body that is written completely before the
	// answer is read. A longer body is written while the answer is read: a
	// target may answer before it has read all of it, and the write would then
	// block, because the TCP windows are small.
	maxInlineBody = 16 << 10
	// maxInterim limits the interim (1xx) answers before the final one.
	maxInterim = 4
	// maxStrayAnswers limits the answers to earlier requests that are skipped.
	maxStrayAnswers = 2
	// maxStrayBody limits the size of the body of such an answer.
	maxStrayBody = 256 << 10
)

// exchange sends the request on a connection to the target and returns the head
// of the answer. If ctx ends before the answer is released or abandoned, the
// connection is closed, so that the target stops its work.
func (p *Pool) exchange(ctx context.Context, t *router.Target, out *outgoing, proto Protocol) (*answer, error) {
	info := t.Info()
	process := statement.Process{Target: t.ID, Incarnation: info.Incarnation}

	c, err := p.open(ctx, t, out)
	if err != nil {
		return nil, &DialError{Err: err}
	}

	c.maxIdle, c.maxIdleTime = out.maxIdle, out.maxIdleTime
	out.onConn(c.uses > 0)

	if c.uses == 0 {
		c.process = process
	}

	if reason := t.Refuses(time.Now()); reason != router.Available {
		p.put(c, 0)

		return nil, &NotSentError{Target: t.ID, Reason: reason}
	}

	if out.refusal != nil {
		if err := out.refusal(); err != nil {
			p.put(c, 0)

			return nil, err
		}
	}

	stop := context.AfterFunc(ctx, func() { _ = c.Close() })

	a, err := c.roundTrip(out, proto)
	if err != nil {
		stop()
		c.Close()

		return nil, err
	}

	a.pool, a.stop, a.origin = p, stop, origin.Of(info.Software)

	return a, nil
}

// open returns a connection for the request.
func (p *Pool) open(ctx context.Context, t *router.Target, out *outgoing) (*conn, error) {
	if out.dialing != nil {
		dialing, done := out.dialing(ctx)
		defer done()

		ctx = dialing
	}

	return p.get(ctx, t, out.newConn)
}

func (c *conn) roundTrip(out *outgoing, proto Protocol) (*answer, error) {
	c.uses++

	var up *upload

	if len(out.body) > maxInlineBody {
		up = c.writeBeside(out)
	} else if err := c.write(out); err != nil {
		return nil, err
	}

	for range maxStrayAnswers + 1 {
		resp, err := c.readHead(out.method) //nolint:bodyclose // The answer owns the body; on errors the connection is closed.
		if err != nil {
			return nil, errors.Join(err, up.failure())
		}

		info := proto.Answer(resp.StatusCode, resp.Header)
		own := info.ID == "" || info.ID == out.id
		out.onAnswer(answerHead{status: resp.StatusCode, info: info, process: c.process, stray: !own})

		if own {
			return &answer{Response: resp, info: info, conn: c, upload: up}, nil
		}

		if err := c.skipAnswer(resp); err != nil {
			return nil, err
		}
	}

	return nil, &InvalidAnswerError{Reason: "answers to other requests"}
}

// skipAnswer reads and discards an answer to another request. It fails on a
// connection that has carried no earlier request, and if the answer is too long
// or does not state its length.
//
// A target may answer an earlier request twice. The second answer then arrives
// where the answer to the next request is expected; if its id were not checked, a
// client would get the answer to another client's request.
func (c *conn) skipAnswer(resp *http.Response) error {
	if c.uses < 2 || !message.StatesLength(resp) { //nolint:mnd // On its first use, a connection has no earlier request.
		return &InvalidAnswerError{Reason: "answer to another request"}
	}

	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBody))
	if err == nil && n == maxStrayBody {
		err = &InvalidAnswerError{Reason: "long answer to another request"}
	}

	return err
}

// readHead reads the head of the final answer.
func (c *conn) readHead(method string) (*http.Response, error) {
	for range maxInterim {
		c.limited.N = maxHeadBytes

		if err := c.awaitHead(); err != nil {
			return nil, err
		}

		resp, err := c.r.ReadAnswer(method)
		if err != nil {
			return nil, headError(err)
		}

		c.unboundReads()
		c.limited.N = int64(^uint64(0) >> 1)

		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}

	return nil, &InvalidAnswerError{Reason: "too many interim answers"}
}

// write sends the client's request with the outgoing headers.
func (c *conn) write(out *outgoing) error {
	w := c.w

	for _, s := range []string{out.method, " ", out.uri, " HTTP/1.1\r\nHost: ", out.host, "\r\n"} {
		if _, err := w.WriteString(s); err != nil {
			return err
		}
	}

	if err := out.header.Write(w); err != nil {
		return err
	}

	if out.hasBody {
		if _, err := w.WriteString("Content-Length: " + strconv.Itoa(len(out.body)) + "\r\n"); err != nil {
			return err
		}
	}

	if _, err := w.WriteString("\r\n"); err != nil {
		return err
	}

	if _, err := w.Write(out.body); err != nil {
		return err
	}

	return w.Flush()
}

// framed reports whether the answer states its own length. Otherwise it ends
// with its connection.
func (a *answer) framed() bool { return message.StatesLength(a.Response) }

// release returns the connection to the pool after the whole answer was read.
func (a *answer) release() {
	if !a.stop() {
		// The request was cancelled, and the connection is closed.
		return
	}

	// If the body was long, the target may have answered before it had read all
	// of it, and nothing in the answer shows this. It would then take the next
	// request for the rest of the body.
	if a.upload != nil || a.Close || !a.framed() || a.ProtoMajor != 1 || a.ProtoMinor != 1 {
		a.conn.Close()

		return
	}

	a.pool.put(a.conn, a.info.KeepAlive)
}

// abandon closes the connection of an answer that is invalid or not needed.
func (a *answer) abandon() {
	a.stop()
	a.conn.Close()
}

// maxEvent limits the size of one event.
const maxEvent = 1 << 20

// eventReader reads the events of a stream.
type eventReader struct {
	r *bufio.Reader
	// limit is the size of the longest event that is accepted.
	limit int
}

func (d *delivery) newEventReader(a *answer) eventReader {
	if d.CutOffStalled {
		return eventReader{bufio.NewReaderSize(a.Body, eventReadBuffer), maxHeldEvent}
	}

	return eventReader{bufio.NewReader(a.Body), maxEvent}
}

// next returns the next event, with its closing blank line, and its id. The
// bytes are valid until the next call. A truncated event is returned together
// with the error.
func (e *eventReader) next(buf []byte) (event []byte, id string, err error) {
	buf = buf[:0]

	for {
		line, err := e.r.ReadSlice('\n')
		buf = append(buf, line...)

		if err != nil && err != bufio.ErrBufferFull { //nolint:errorlint // ReadSlice returns it unwrapped.
			return buf, id, err
		}

		if len(buf) > e.limit {
			return buf, id, &InvalidAnswerError{Reason: "event too long"}
		}

		if err != nil {
			continue
		}

		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return buf, id, nil
		}

		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
}

// isAfter reports whether an event's id is greater than that of the last event
// forwarded. Ids that are not numbers count as greater.
func isAfter(id, last string) bool {
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(last, 10, 64)

	return errA != nil || errB != nil || a > b
}

// retryAfterSeconds formats a duration for the header Retry-After.
func retryAfterSeconds(d time.Duration) string {
	return strconv.FormatFloat(max(d, 0).Seconds(), 'f', 3, 64)
}
