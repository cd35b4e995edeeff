package relay

import (
	"bytes"
	"errors"
	"io"
	"os"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/wire/message"
)

const (
	// headTimeout is the longest time from the first byte of an answer's head to its last.
	headTimeout = time.Second
	// refusalTimeout is how long a target has for the body of a refusal. Its connection is
	// closed then.
	refusalTimeout = 100 * time.Millisecond
	// bodyShare is the part of the time to the deadline in which the body of an answer must
	// be whole if the request may run again elsewhere.
	bodyShare = 0.5
)

// statusLineForm is the form of the beginning of a status line, in which 9 stands for any digit.
const statusLineForm = "HTTP/9.9 999"

// awaitHead waits for the first bytes of an answer and bounds the time that its head takes from
// then on. It fails as soon as the bytes cannot be a status line.
//
// A target in trouble may send bytes without end. They would hold the request until its
// deadline, though another target could answer it.
func (c *conn) awaitHead() error {
	for n := 1; n <= len(statusLineForm); n++ {
		begun, err := c.r.Peek(n)
		if err != nil {
			return headError(err)
		}

		if !hasForm(begun, statusLineForm) {
			return &InvalidAnswerError{Reason: "no status line"}
		}

		if n == 1 {
			_ = c.SetReadDeadline(time.Now().Add(headTimeout)) // Fails only if the connection is closed.
		}
	}

	return nil
}

// unboundReads ends a bound on the time of reads.
func (c *conn) unboundReads() { _ = c.SetReadDeadline(time.Time{}) } // Fails only if the connection is closed.

// headError returns the error of a head that is not whole.
func headError(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return &InvalidAnswerError{Reason: "head takes too long"}
	}

	var invalid *message.InvalidError
	if errors.As(err, &invalid) {
		return &InvalidAnswerError{Reason: invalid.Error()}
	}

	return err
}

// hasForm reports whether b has the form given by as much of it.
func hasForm(b []byte, form string) bool {
	for i, have := range b {
		want := form[i]
		if isDigit := have >= '0' && have <= '9'; want == '9' && !isDigit || want != '9' && have != want {
			return false
		}
	}

	return true
}

// discard reads the rest of a refusal, so that its connection can be used again. It does not
// wait for what has not arrived: the request may be sent elsewhere at once.
func (a *answer) discard() {
	if a.ContentLength >= 0 && int64(a.conn.r.Buffered()) >= a.ContentLength {
		a.drain()

		return
	}

	_ = a.conn.SetReadDeadline(time.Now().Add(refusalTimeout))

	go a.drain()
}

// drain reads a body that is not needed, and closes the connection if it is long or late.
func (a *answer) drain() {
	n, err := io.Copy(io.Discard, io.LimitReader(a.Body, maxHeadBytes))
	if err != nil || n == maxHeadBytes {
		a.abandon()

		return
	}

	a.conn.unboundReads()
	a.release()
}

// boundBody bounds the time that the answer's body takes if the request may run again.
func (d *delivery) boundBody(a *answer) {
	if !d.route.Retryable() || d.runs >= d.route.Attempts {
		return
	}

	left := time.Duration(bodyShare * float64(time.Until(d.deadline)))
	_ = a.conn.SetReadDeadline(time.Now().Add(left))
}

// block is what stands between two blank lines of a stream.
type block int

const (
	// anEvent has at least one field, a comment has none, and noEvent has lines that are
	// neither.
	anEvent block = iota
	aComment
	noEvent
)

// blockOf returns what a block of a stream is.
func blockOf(lines []byte) block {
	out := aComment

	for line := range bytes.Lines(lines) {
		name, _, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))

		switch string(name) {
		case "data", "id", "event", "retry":
			return anEvent
		case "": // A comment or a blank line.
		default:
			out = noEvent
		}
	}

	return out
}
