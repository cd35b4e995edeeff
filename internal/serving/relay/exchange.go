package relay

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/serving/router"
)

// outgoing is a request as it goes to a target.
type outgoing struct {
	method, uri, host string
	header            http.Header
	body              []byte
	// hasBody says that the caller sent a body, which may be empty.
	hasBody bool
	id      string
	// newConn asks for a new connection.
	newConn bool
}

// answer is the head of a target's answer and the rest of it.
type answer struct {
	*http.Response

	mark Mark
	conn *conn
	// longBody says that the target may have answered before it had read the whole
	// request.
	longBody bool
	pool *Pool
	stop func() bool
}

// DialError says that no byte of a request reached the target.
type DialError struct{ Err error }

func (e *DialError) Error() string { return fmt.Sprintf("not reached: %v", e.Err) }

func (e *DialError) Unwrap() error { return e.Err }

// InvalidAnswerError says that what came back is no answer to the request.
type InvalidAnswerError struct{ Reason string }

func (e *InvalidAnswerError) Error() string { return "no answer: " + e.Reason }

const (
	// maxInlineBody is up to what size a body is written before the answer is
	// read. A target may answer before it has read a longer one, and the small
	// windows of the links would then block the writer.
	maxInlineBody = 16 << 10
	// maxInterim bounds the interim answers before the final one.
	maxInterim = 4
	// maxStrayAnswers bounds the answers to earlier requests that are passed over.
	maxStrayAnswers = 2
	// maxStrayBody bounds the body of such an answer.
	maxStrayBody = 256 << 10
)

// exchange sends the request on a connection to the target and returns the
// head of the answer. When ctx ends, the connection is closed under way, so
// that the target stops its work.
func (p *Pool) exchange(ctx context.Context, t *router.Target, out *outgoing, proto Protocol) (*answer, error) {
	c, err := p.get(ctx, targetKey{t.ID, t.Address}, out.newConn)
	if err != nil {
		return nil, &DialError{Err: err}
	}

	stop := context.AfterFunc(ctx, func() { _ = c.Close() })

	a, err := c.roundTrip(out, proto)
	if err != nil {
		stop()
		c.Close()

		return nil, err
	}

	a.pool, a.stop = p, stop

	return a, nil
}

func (c *conn) roundTrip(out *outgoing, proto Protocol) (*answer, error) {
	c.uses++
	long := len(out.body) > maxInlineBody

	if long {
		go func() { _ = c.write(out) }() // A failed write shows as a missing answer.
	} else if err := c.write(out); err != nil {
		return nil, err
	}

	for range maxStrayAnswers + 1 {
		resp, err := c.readHead(out.method) //nolint:bodyclose // The answer owns it, and the connection is closed otherwise.
		if err != nil {
			return nil, err
		}

		mark := proto.Answer(resp.StatusCode, resp.Header)
		if mark.ID == "" || mark.ID == out.id {
			return &answer{Response: resp, mark: mark, conn: c, longBody: long}, nil
		}

		if err := c.skipAnswer(resp); err != nil {
			return nil, err
		}
	}

	return nil, &InvalidAnswerError{Reason: "answers to other requests"}
}

// skipAnswer reads an answer to another request to its end.
//
// It guards against a target that answers an earlier request twice: the second
// answer arrives where the next one is expected, and without its id a caller
// would get somebody else's answer.
func (c *conn) skipAnswer(resp *http.Response) error {
	if c.uses < 2 || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 { //nolint:mnd // The first use has no earlier request.
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
		c.head.N = maxHeadBytes

		resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}

		c.head.N = int64(^uint64(0) >> 1)

		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}

	return nil, &InvalidAnswerError{Reason: "too many interim answers"}
}

// write sends the request as it came, but for the headers.
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

// framed reports whether the answer says itself where it ends. Otherwise it
// ends with its connection.
func (a *answer) framed() bool { return a.ContentLength >= 0 || len(a.TransferEncoding) > 0 }

// release gives the connection back after the whole answer was read.
func (a *answer) release() {
	if !a.stop() {
		// The request was given up, and the connection is closed.
		return
	}

	// A target that answered early takes what it reads next for the rest of the
	// request, and nothing tells whether it did.
	if a.longBody || a.Close || !a.framed() || a.ProtoMajor != 1 || a.ProtoMinor != 1 {
		a.conn.Close()

		return
	}

	a.pool.put(a.conn, a.mark.KeepAlive)
}

// abandon closes the connection, because the answer is not wanted or broken.
func (a *answer) abandon() {
	a.stop()
	a.conn.Close()
}

// maxEvent bounds the bytes of one event.
const maxEvent = 1 << 20

// events reads a stream event by event.
type events struct{ r *bufio.Reader }

// next returns the next event with its closing blank line, and its id. The
// bytes are valid until the next call. An event that is cut is returned with
// the error.
func (e *events) next(buf []byte) (event []byte, id string, err error) {
	buf = buf[:0]

	for {
		line, err := e.r.ReadSlice('\n')
		buf = append(buf, line...)

		if err != nil && err != bufio.ErrBufferFull { //nolint:errorlint // The reader returns it bare.
			return buf, id, err
		}

		if len(buf) > maxEvent {
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

// isAfter reports whether an event's id lies behind the last one passed on.
// Ids that are no numbers are taken as they come.
func isAfter(id, last string) bool {
	a, errA := strconv.ParseInt(id, 10, 64)
	b, errB := strconv.ParseInt(last, 10, 64)

	return errA != nil || errB != nil || a > b
}

// retryAfterSeconds formats a duration for the header Retry-After.
func retryAfterSeconds(d time.Duration) string {
	return strconv.FormatFloat(max(d, 0).Seconds(), 'f', 3, 64)
}
