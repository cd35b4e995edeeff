package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
)

// fate is what becomes of a target that stops within its answer.
type fate struct {
	// ends says that it accepts no connection any more, and leaves that it had said before that it
	// leaves.
	ends, leaves bool
	// resets says that its connection is reset, not closed.
	resets bool
}

func (f fate) String() string {
	return fmt.Sprintf("ends %v, leaves %v, resets %v", f.ends, f.leaves, f.resets)
}

var fates = []fate{{}, {ends: true}, {leaves: true}, {ends: true, leaves: true}, {resets: true}, {resets: true, ends: true}}

// resettable is a connection that can end by a reset.
type resettable struct {
	net.Conn

	reset *atomic.Bool
}

func (c resettable) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil && c.reset.Load() {
		err = &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}
	}

	return n, err
}

// cutAnswer plays an answer of which so many bytes are sent, and returns what the client gets.
func cutAnswer(t *testing.T, r route.Route, answer string, cut int, what fate, kept bool) (status int, body string, aborted bool) {
	t.Helper()

	var (
		f     *fixture
		reset atomic.Bool
	)

	first := 1
	if kept {
		first = 2
	}

	f = newFixture(t, func(n int, c call, w io.Writer, conn net.Conn) {
		if n < first {
			writeAnswer(w, "200 OK", "", "done")

			return
		}

		_, _ = io.WriteString(w, answer[:cut])

		f.stop(c.target, what)
		reset.Store(what.resets)
		conn.Close()
	}, r)
	defer f.close()

	dial := f.server.Pool.Dial
	f.server.Pool.Dial = func(ctx context.Context, at netip.AddrPort) (net.Conn, error) {
		c, err := dial(ctx, at)
		if err != nil {
			return nil, err
		}

		return resettable{c, &reset}, nil
	}

	if kept {
		f.do(t.Context(), "body")
	}

	rec, aborted := f.do(t.Context(), "body")

	return rec.Code, rec.Body.String(), aborted
}

// stop ends a target's answers as its fate says.
func (f *fixture) stop(id instance.ID, what fate) {
	if target := f.targets.Target(id); what.leaves {
		target.MarkLeaving()
	}

	f.mu.Lock()
	defer f.mu.Unlock()

	f.down[id] = what.ends
}

// TestAnswerCutAtAnyByte guards against an answer, or a stream, that looks whole to the client though its target stopped within it, in the head, between two events or anywhere else.
func TestAnswerCutAtAnyByte(t *testing.T) {
	plain := route.Route{Kind: route.Idempotent, Timeout: 5 * time.Second, Attempts: 1}
	events := route.Route{Kind: route.Stream, Timeout: 5 * time.Second, Attempts: 1}
	ok := fmt.Sprintf(head, "200 OK")
	stated := ok + "Content-Type: text/event-stream\r\n"
	three := event(1) + event(2) + event(3)
	chunk := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

	for name, tc := range map[string]struct {
		route        route.Route
		answer, body string
		// unframed says that the answer ends with its connection.
		unframed bool
	}{
		"length":                     {plain, ok + "Content-Length: 4\r\n\r\ndone", "done", false},
		"length, lines end with LF":  {plain, strings.ReplaceAll(ok, "\r\n", "\n") + "Content-Length: 4\n\ndone", "done", false},
		"chunks":                     {plain, ok + "Transfer-Encoding: chunked\r\n\r\n" + chunk("do") + chunk("ne") + "0\r\n\r\n", "done", false},
		"chunks and a trailer":       {plain, ok + "Transfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\n" + chunk("done") + "0\r\nSum: 1\r\n\r\n", "done", false},
		"length, after an interim":   {plain, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + ok + "Content-Length: 4\r\n\r\ndone", "done", false},
		"neither":                    {plain, ok + "\r\ndone", "done", true},
		"neither, lines end with LF": {plain, strings.ReplaceAll(ok, "\r\n", "\n") + "\ndone", "done", true},
		"stream, length":             {events, stated + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(three)) + three, three, false},
		"stream, chunks":             {events, stated + "Transfer-Encoding: chunked\r\n\r\n" + chunk(event(1)) + chunk(event(2)+event(3)) + "0\r\n\r\n", three, false},
		"stream, neither":            {events, stated + "\r\n" + three, three, true},
	} {
		t.Run(name, func(t *testing.T) {
			for _, what := range fates {
				for _, kept := range []bool{false, true} {
					whole := 0

					for cut := range len(tc.answer) + 1 {
						synctest.Test(t, func(t *testing.T) {
							status, body, aborted := cutAnswer(t, tc.route, tc.answer, cut, what, kept && tc.route.Kind != route.Stream)
							if status != http.StatusOK || aborted {
								return
							}

							whole++

							// The page lets an answer without a length end with its connection, so
							// that one of a target that lives on is whole if it says nothing else.
							maybe := tc.unframed && !what.ends && !what.resets && body != "" && strings.HasPrefix(tc.body, body)
							assert.Assert(t, body == tc.body || maybe, "%s, %d of %d bytes: %q as whole", what, cut, len(tc.answer), body)
							assert.Assert(t, tc.route.Kind != route.Stream || strings.HasSuffix(body, "\n\n"), "%s, %d bytes: %q as whole", what, cut, body)
						})
					}

					t.Logf("%s, kept %v: %d of %d cuts look whole", what, kept, whole, len(tc.answer)+1)
				}
			}
		})
	}
}
