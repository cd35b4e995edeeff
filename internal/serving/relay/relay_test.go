package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/serving/dispatch"
	"github.com/fulmarcross/fulmarcross/internal/serving/ratelimit"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
	"github.com/fulmarcross/fulmarcross/internal/serving/router"
	"github.com/fulmarcross/fulmarcross/internal/serving/statement"
)

// testProtocol has headers of its own, which keeps these tests independent of
// the platform.
type testProtocol struct{}

func (testProtocol) Parse(h http.Header) (RequestInfo, error) {
	if h.Get("Id") == "" {
		return RequestInfo{}, &BadRequestError{Reason: "no id"}
	}

	ms, _ := strconv.Atoi(h.Get("Left"))

	return RequestInfo{ID: h.Get("Id"), Timeout: time.Duration(ms) * time.Millisecond, Model: h.Get("Model"), LastEvent: h.Get("After"), FirstAttempt: h.Get("First")}, nil
}

func (testProtocol) Outgoing(in http.Header, a Attempt) http.Header {
	out := in.Clone()
	out.Set("Left", strconv.FormatInt(a.Timeout.Milliseconds(), 10))
	out.Set("Target", string(a.Target))

	if a.LastEvent != "" {
		out.Set("After", a.LastEvent)
	}

	return out
}

func (testProtocol) Onward(in http.Header, timeout time.Duration, lastEvent string) http.Header {
	out := in.Clone()
	out.Set("Left", strconv.FormatInt(timeout.Milliseconds(), 10))

	if lastEvent != "" {
		out.Set("After", lastEvent)
	}

	return out
}

func (testProtocol) Incoming(in http.Header) http.Header {
	out := in.Clone()
	out.Del("Content-Length")
	out.Del("Transfer-Encoding")

	return out
}

func (testProtocol) Answer(status int, h http.Header) AnswerInfo {
	perSecond, err := strconv.ParseFloat(h.Get("Limit"), 64)
	seconds, _ := strconv.ParseFloat(h.Get("Rest"), 64)

	return AnswerInfo{
		Statement: statement.Statement{
			Leaving: h.Get("Leaving") != "", Rest: time.Duration(seconds * float64(time.Second)),
			RateLimit: ratelimit.Limit{Stated: err == nil, PerSecond: perSecond},
		},
		Instance: instance.ID(h.Get("Instance")),
		ID:       h.Get("Id"), Signed: h.Get("Signed") != "", NotRun: h.Get("Not-Run") != "",
		Misdirected: status == http.StatusMisdirectedRequest, KeepAlive: time.Minute,
	}
}

// call is a request as a target received it.
type call struct {
	target instance.ID
	header http.Header
	body   string
	// numberOnConn is the request's number on its connection, from 1.
	numberOnConn int
	at           time.Time
}

// targetScript is what a target does with a request. n is the number of the
// request among all that reached the targets, from 1.
type targetScript func(n int, c call, w io.Writer, conn net.Conn)

// fixture is a server with targets a and b, connected by pipes.
type fixture struct {
	t       *testing.T
	server  *Server
	config  *route.Config
	table   *route.Table
	targets *router.Table
	act     targetScript

	mu    sync.Mutex
	calls []call
	// closed is when the server last closed a connection to a target.
	closed time.Time
	down   map[instance.ID]bool
	// software are the versions of the targets' programs.
	software map[instance.ID]instance.Software
}

func newFixture(t *testing.T, act targetScript, r route.Route) *fixture {
	t.Helper()

	if r.Attempts == 0 {
		r.Attempts = 2
	}

	r.Name, r.Host, r.Prefix = "r", "host", "/p/"
	r.Splits = []route.Split{{Service: "s", Weight: 1}}

	f := &fixture{t: t, act: act, down: make(map[instance.ID]bool), config: &route.Config{
		Version: 1, Routes: []route.Route{r}, Services: map[string]route.Service{"s": {Name: "s"}},
	}}
	f.table = route.NewTable(f.config)

	targets := &router.Table{}
	f.server = &Server{
		Protocol: testProtocol{}, Pool: &Pool{Dial: f.dial}, Table: func() *route.Table { return f.table },
		Budgets: &RetryBudgets{Limit: RetryLimit{Ratio: 0.2, Burst: 100, Window: 10 * time.Second}},
		Dispatcher: dispatch.New(dispatch.Config{
			Table: targets, Entries: func() int { return 1 }, CellOf: func(string) int { return 0 },
			OnQueued: func(string) {}, OnNotice: func(dispatch.Notice) {},
		}),
		OnModelAbsent: func(*router.Target, string) {}, OnAddressMoved: func(*router.Target) {}, Log: zerolog.Nop(),
	}
	f.server.Budgets.SetEntries(1)
	f.targets = targets
	f.listTargets(1)

	return f
}

// listTargets publishes a snapshot with the given number, in which both targets
// have new incarnations.
func (f *fixture) listTargets(number uint64) { f.listSlots(number, 4) }

// listSlots does the same with a number of slots of each target.
func (f *fixture) listSlots(number uint64, slots int) {
	s := &router.Snapshot{Token: 1, Number: number}
	for i, id := range []instance.ID{"a", "b"} {
		s.Targets = append(s.Targets, router.TargetInfo{
			ID: id, Slots: slots, Speed: 1, Address: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(1+i)), Incarnation: strconv.FormatUint(number, 10),
			Software: f.software[id],
		})
		s.Added = append(s.Added, router.Replica{Target: id, Model: "s/"})
	}

	f.targets.Apply(s, time.Now())
}

func (f *fixture) dial(_ context.Context, address netip.AddrPort) (net.Conn, error) {
	id := instance.ID("a")
	if address.Port() == 2 {
		id = "b"
	}

	f.mu.Lock()
	down := f.down[id]
	f.mu.Unlock()

	if down {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}

	near, far := net.Pipe()

	go f.target(id, far)

	return near, nil
}

// restart makes all targets accept connections.
func (f *fixture) restart() {
	f.mu.Lock()
	defer f.mu.Unlock()

	clear(f.down)
}

// target serves one connection.
func (f *fixture) target(id instance.ID, conn net.Conn) {
	r := bufio.NewReader(conn)

	for on := 1; ; on++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			f.mu.Lock()
			f.closed = time.Now()
			f.mu.Unlock()

			return
		}

		body, _ := io.ReadAll(req.Body)

		f.mu.Lock()
		c := call{target: id, header: req.Header, body: string(body), numberOnConn: on, at: time.Now()}
		f.calls = append(f.calls, c)
		n := len(f.calls)
		f.mu.Unlock()

		f.act(n, c, conn, conn)
	}
}

// recorder is a ResponseWriter that accepts read deadlines, as a connection
// does.
type recorder struct{ *httptest.ResponseRecorder }

func (recorder) SetReadDeadline(time.Time) error { return nil }

// do sends a request and returns its answer; aborted is set if the connection
// was closed before the answer's end.
func (f *fixture) do(ctx context.Context, body string, header ...string) (rec *httptest.ResponseRecorder, aborted bool) {
	return f.doWith(ctx, f.server, body, header...)
}

// doWith does the same with a handler.
func (f *fixture) doWith(ctx context.Context, h http.Handler, body string, header ...string) (rec *httptest.ResponseRecorder, aborted bool) {
	req := httptest.NewRequestWithContext(ctx, http.MethodPost, "http://host/p/x?q=1", strings.NewReader(body))
	req.RequestURI = "/p/x?q=1"
	req.Header.Set("Id", "one")
	req.Header.Set("Left", "10000")

	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}

	rec = httptest.NewRecorder()

	defer func() {
		if v := recover(); v != nil {
			assert.Equal(f.t, v, http.ErrAbortHandler)

			aborted = true
		}
	}()

	h.ServeHTTP(recorder{rec}, req)

	return rec, false
}

// received returns the requests that reached the targets.
func (f *fixture) received() []call {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.calls
}

func (f *fixture) attempts() int {
	f.mu.Lock()
	defer f.mu.Unlock()

	return len(f.calls)
}

const head = "HTTP/1.1 %s\r\nSigned: x\r\nId: one\r\n"

func writeAnswer(w io.Writer, status, extra, body string) {
	_, _ = fmt.Fprintf(w, head+"%sContent-Length: %d\r\n\r\n%s", status, extra, len(body), body)
}

func event(id int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", id) }

// stream sends the events with the ids from "from" to "to", and the end of the
// stream if whole is set.
func stream(w io.Writer, from, to int, whole bool) {
	_, _ = fmt.Fprintf(w, head+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", "200 OK")

	for i := from; i <= to; i++ {
		_, _ = fmt.Fprintf(w, "%x\r\n%s\r\n", len(event(i)), event(i))
	}

	if whole {
		_, _ = io.WriteString(w, "0\r\n\r\n")
	}
}

// TestOutcomes checks, for each behaviour of the targets, what the client gets
// and how many attempts are made.
func TestOutcomes(t *testing.T) {
	once := route.Route{Kind: route.NonIdempotent, Timeout: 5 * time.Second}
	idempotent := route.Route{Kind: route.Idempotent, Timeout: 5 * time.Second}
	notResumable := route.Route{Kind: route.Stream, Timeout: 5 * time.Second}
	resumable := route.Route{Kind: route.Stream, Resumable: true, Timeout: 5 * time.Second}
	cut := func(_ int, _ call, _ io.Writer, conn net.Conn) { conn.Close() }
	ok := func(w io.Writer) { writeAnswer(w, "200 OK", "", "done") }

	cases := map[string]struct {
		route route.Route
		act   targetScript
		// status and body are what the client gets; aborted is set if its
		// connection is closed before the answer's end.
		status   int
		body     string
		aborted  bool
		attempts int
		// retryAfter is set if the answer has the header Retry-After.
		retryAfter bool
	}{
		"a complete answer":                         {once, func(_ int, _ call, w io.Writer, _ net.Conn) { ok(w) }, 200, "done", false, 1, false},
		"an error of the target":                    {once, func(_ int, _ call, w io.Writer, _ net.Conn) { writeAnswer(w, "500 No", "", "why") }, 500, "why", false, 1, false},
		"no answer to a request that must run once": {once, cut, 502, "", false, 1, false},
		"no answer to an idempotent request":        {idempotent, cut, 502, "", false, 2, false},
		"one answer lost": {idempotent, func(n int, c call, w io.Writer, conn net.Conn) {
			if n == 1 {
				cut(n, c, w, conn)
			}

			ok(w)
		}, 200, "done", false, 2, false},
		"an error, then a success": {idempotent, func(n int, _ call, w io.Writer, _ net.Conn) {
			if n == 1 {
				writeAnswer(w, "500 No", "", "why")

				return
			}

			ok(w)
		}, 200, "done", false, 2, false},
		"rejected, then run": {once, func(n int, _ call, w io.Writer, _ net.Conn) {
			if n == 1 {
				writeAnswer(w, "503 Full", "Not-Run: 1\r\n", "")

				return
			}

			ok(w)
		}, 200, "done", false, 2, false},
		"rejected by every target": {once, func(_ int, _ call, w io.Writer, _ net.Conn) { writeAnswer(w, "503 Full", "Not-Run: 1\r\n", "") }, 503, "", false, maxAttempts, true},
		"an answer that is not signed": {once, func(_ int, _ call, w io.Writer, _ net.Conn) {
			_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhm")
		}, 502, "", false, 1, false},
		"bytes that are not HTTP": {once, func(_ int, _ call, w io.Writer, _ net.Conn) {
			_, _ = io.WriteString(w, "what?\r\n\r\n")
		}, 502, "", false, 1, false},
		"a truncated answer": {once, func(_ int, _ call, w io.Writer, conn net.Conn) {
			_, _ = fmt.Fprintf(w, head+"Content-Length: 9\r\n\r\nhalf", "200 OK")

			conn.Close()
		}, 502, "", false, 1, false},
		"an answer to another request": {once, func(_ int, _ call, w io.Writer, _ net.Conn) {
			_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nSigned: x\r\nId: two\r\nContent-Length: 0\r\n\r\n")
		}, 502, "", false, 1, false},
		"an answer that ends with its connection": {once, func(_ int, _ call, w io.Writer, conn net.Conn) {
			_, _ = fmt.Fprintf(w, head+"\r\nall of it", "200 OK")

			conn.Close()
		}, 200, "all of it", false, 1, false},
		"an interim answer": {once, func(_ int, _ call, w io.Writer, _ net.Conn) {
			_, _ = io.WriteString(w, "HTTP/1.1 102 Wait\r\n\r\n")
			ok(w)
		}, 200, "done", false, 1, false},
		"a stream": {notResumable, func(_ int, _ call, w io.Writer, _ net.Conn) { stream(w, 1, 3, true) }, 200, event(1) + event(2) + event(3), false, 1, false},
		"a stream cut between events": {notResumable, func(_ int, _ call, w io.Writer, conn net.Conn) {
			stream(w, 1, 2, false)
			conn.Close()
		}, 200, event(1) + event(2), true, 1, false},
		"a stream cut within an event": {notResumable, func(_ int, _ call, w io.Writer, conn net.Conn) {
			stream(w, 1, 2, false)
			_, _ = io.WriteString(w, "6\r\nid: 3\n\r\n")

			conn.Close()
		}, 200, event(1) + event(2), true, 1, false},
		"a resumed stream": {resumable, func(n int, c call, w io.Writer, conn net.Conn) {
			if n == 1 {
				stream(w, 1, 2, false)
				conn.Close()

				return
			}
			// This target repeats an event that was already forwarded.
			assert.Equal(t, c.header.Get("After"), "2")
			stream(w, 2, 4, true)
		}, 200, event(1) + event(2) + event(3) + event(4), false, 2, false},
		"a stream that stops sending events": {resumable, func(n int, _ call, w io.Writer, _ net.Conn) {
			if n == 1 {
				stream(w, 1, 2, false)
				time.Sleep(time.Minute)

				return
			}

			stream(w, 3, 3, true)
		}, 200, event(1) + event(2) + event(3), false, 2, false},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, c.act, c.route)
				rec, aborted := f.do(t.Context(), "body")

				assert.Equal(t, rec.Code, c.status)
				assert.Equal(t, rec.Body.String(), c.body)
				assert.Equal(t, aborted, c.aborted)
				assert.Equal(t, f.attempts(), c.attempts)
				assert.Equal(t, rec.Header().Get("Retry-After") != "", c.retryAfter)

				if c.status == http.StatusOK {
					assert.Equal(t, rec.Header().Get("Signed"), "x")
				}

				for _, got := range f.received() {
					assert.Equal(t, got.body, "body")
				}

				f.close()
			})
		})
	}
}

// close ends the targets' goroutines, so that the synctest bubble can end.
func (f *fixture) close() {
	time.Sleep(2 * time.Minute)
	f.server.Pool.CloseExpired(time.Now())
	synctest.Wait()
}

// TestSecondAnswerIsSkipped covers a target that answers a request twice. The
// second answer arrives where the answer to the next request is expected, on a
// reused connection. It must be skipped; otherwise the next client would get the
// answer to another client's request.
func TestSecondAnswerIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, func(n int, c call, w io.Writer, _ net.Conn) {
			id := c.header.Get("Id")

			if c.numberOnConn > 1 {
				_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nSigned: x\r\nId: one\r\nContent-Length: 5\r\n\r\nagain")
			}

			_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nSigned: x\r\nId: %s\r\nContent-Length: 3\r\n\r\n%s", id, id)
		}, route.Route{Kind: route.Idempotent, Timeout: time.Second})
		f.down["b"] = true

		for _, id := range []string{"one", "two"} {
			rec, _ := f.do(t.Context(), "", "Id", id)
			assert.Equal(t, rec.Body.String(), id)
		}

		assert.Equal(t, f.received()[1].numberOnConn, 2, "the connection was not reused, so the test shows nothing")
		f.close()
	})
}

// TestOnceUsesNewConnections checks that a request that must not run twice is
// never sent on a reused connection, where a late answer to an earlier request
// could be taken for its answer.
func TestOnceUsesNewConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, func(_ int, _ call, w io.Writer, _ net.Conn) { writeAnswer(w, "200 OK", "", "") },
			route.Route{Kind: route.NonIdempotent, Timeout: time.Second})

		for range 3 {
			f.do(t.Context(), "")
		}

		for _, c := range f.received() {
			assert.Equal(t, c.numberOnConn, 1)
		}

		f.close()
	})
}

// TestEarlyAnswer covers a target that refuses a long body before it has read
// it, and goes on reading. The connection must not be reused, since the target
// would take the next request for the rest of the body.
func TestEarlyAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil, route.Route{Kind: route.Idempotent, Timeout: time.Second})
		f.server.Pool.Dial = func(context.Context, netip.AddrPort) (net.Conn, error) {
			near, far := net.Pipe()

			go func() {
				r := bufio.NewReader(far)
				line, _ := r.ReadString('\n')
				assert.Assert(t, strings.HasPrefix(line, "POST "))

				for line != "\r\n" {
					line, _ = r.ReadString('\n')
				}

				writeAnswer(far, "413 Long", "", "too long")

				_, _ = io.Copy(io.Discard, r)

				f.mu.Lock()
				f.closed = time.Now()
				f.mu.Unlock()
			}()

			return near, nil
		}

		rec, _ := f.do(t.Context(), strings.Repeat("x", 10*maxInlineBody))
		assert.Equal(t, rec.Code, http.StatusRequestEntityTooLarge)
		synctest.Wait()
		assert.Assert(t, !f.closed.IsZero(), "the connection was kept open")
		f.close()
	})
}

// TestClientLeaves covers a client that closes its connection while a target
// works for it. The target must be stopped at once, and no further attempt may
// follow.
func TestClientLeaves(t *testing.T) {
	for _, kind := range []route.Kind{route.NonIdempotent, route.Idempotent, route.Stream} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, func(int, call, io.Writer, net.Conn) {}, route.Route{Kind: kind, Timeout: 9 * time.Second})
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)

			defer cancel()

			began := time.Now()

			f.do(ctx, "")
			synctest.Wait()
			assert.Equal(t, f.closed.Sub(began), time.Second)
			assert.Equal(t, f.attempts(), 1)
			f.close()
		})
	}
}

// TestTimeouts checks that a client is refused at the shorter of its own timeout
// and the route's if no target answers, and that targets receive that timeout.
func TestTimeouts(t *testing.T) {
	cases := map[string]struct {
		timeout       time.Duration
		clientTimeout string
		want          time.Duration
	}{
		"the route's timeout":  {2 * time.Second, "10000", 2 * time.Second},
		"the client's timeout": {20 * time.Second, "3000", 3 * time.Second},
	}

	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, func(int, call, io.Writer, net.Conn) {}, route.Route{Kind: route.NonIdempotent, Timeout: c.timeout})
				began := time.Now()
				rec, _ := f.do(t.Context(), "", "Left", c.clientTimeout)

				assert.Equal(t, rec.Code, http.StatusGatewayTimeout)
				assert.Equal(t, time.Since(began), c.want)
				assert.Equal(t, f.received()[0].header.Get("Left"), strconv.FormatInt(c.want.Milliseconds(), 10))
				f.close()
			})
		})
	}
}

// TestShutdown checks that an entry that shuts down still answers short requests,
// closes each client connection after its answer, and refuses streams that could
// not end in time.
func TestShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		act := func(_ int, _ call, w io.Writer, _ net.Conn) { writeAnswer(w, "200 OK", "", "done") }
		f := newFixture(t, act, route.Route{Kind: route.NonIdempotent, Timeout: time.Second})
		f.server.EnterPhase(RefusingNewStreams)

		rec, _ := f.do(t.Context(), "")
		assert.Equal(t, rec.Code, http.StatusOK)
		assert.Equal(t, rec.Header().Get("Connection"), "close")

		f.config.Routes[0].Kind = route.Stream
		rec, _ = f.do(t.Context(), "")
		assert.Equal(t, rec.Code, http.StatusServiceUnavailable)
		assert.Equal(t, f.attempts(), 1)
		f.close()
	})
}

// TestQueuedStreamIsRefusedAtShutdown covers a stream that waits for a model
// while its entry shuts down. It must be refused in time for its client to use
// another entry; otherwise it is cut off when the process ends.
func TestQueuedStreamIsRefusedAtShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil, route.Route{Kind: route.Stream, Timeout: time.Minute})
		f.config.Services["s"] = route.Service{Name: "s", Engine: &route.Engine{}}

		time.AfterFunc(time.Second, func() { f.server.EnterPhase(RefusingUnstarted) })

		began := time.Now()
		rec, _ := f.do(t.Context(), "", "Model", "cold")

		assert.Equal(t, rec.Code, http.StatusServiceUnavailable)
		assert.Assert(t, rec.Header().Get("Retry-After") != "")
		assert.Assert(t, time.Since(began) <= 1100*time.Millisecond)
		f.close()
	})
}

// TestRejectedStreamIsRefusedAtShutdown covers a stream that was rejected and
// waits for the retry budget while its entry shuts down. It is not queued then,
// and must be refused all the same rather than cut off when the process ends.
func TestRejectedStreamIsRefusedAtShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, func(_ int, _ call, w io.Writer, _ net.Conn) { writeAnswer(w, "503 Full", "Not-Run: 1\r\n", "") },
			route.Route{Kind: route.Stream, Timeout: time.Minute, Goal: 10 * time.Second})
		f.server.Budgets.SetLimit(RetryLimit{Burst: 1, Window: time.Hour})
		time.AfterFunc(time.Second, func() { f.server.EnterPhase(RefusingUnstarted) })

		began := time.Now()
		rec, _ := f.do(t.Context(), "", "Left", "60000")

		assert.Equal(t, rec.Code, http.StatusServiceUnavailable)
		assert.Assert(t, rec.Header().Get("Retry-After") != "")
		assert.Assert(t, time.Since(began) <= 1500*time.Millisecond, "took %s", time.Since(began))
		f.close()
	})
}

// TestStalledStreamIsKeptWithoutBudget covers a target under load that sends
// nothing for three seconds in the middle of a stream, with no retry left.
// Closing its connection would lose the rest of the answer.
func TestStalledStreamIsKeptWithoutBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, func(_ int, _ call, w io.Writer, _ net.Conn) {
			stream(w, 1, 2, false)
			time.Sleep(3 * time.Second)

			_, _ = fmt.Fprintf(w, "%x\r\n%s\r\n0\r\n\r\n", len(event(3)), event(3))
		}, route.Route{Kind: route.Stream, Resumable: true, Timeout: 9 * time.Second})
		f.server.Budgets.SetLimit(RetryLimit{Burst: 1, Window: time.Hour})
		assert.Assert(t, f.server.Budgets.TryDebit("s", time.Now()))

		rec, aborted := f.do(t.Context(), "")
		assert.Assert(t, !aborted)
		assert.Equal(t, rec.Body.String(), event(1)+event(2)+event(3))
		assert.Equal(t, f.attempts(), 1)
		f.close()
	})
}

// TestRefusedBeforeSending checks the answers to requests that are not sent to
// any target.
func TestRefusedBeforeSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil, route.Route{Kind: route.NonIdempotent, Timeout: time.Second})

		rec, _ := f.do(t.Context(), "", "Id", "")
		assert.Equal(t, rec.Code, http.StatusBadRequest)

		f.config.Limits.BodyBytes = 4
		rec, _ = f.do(t.Context(), "too long")
		assert.Equal(t, rec.Code, http.StatusRequestEntityTooLarge)

		f.table = route.NewTable(&route.Config{})
		rec, _ = f.do(t.Context(), "")
		assert.Equal(t, rec.Code, http.StatusNotFound)

		f.table = nil
		rec, _ = f.do(t.Context(), "")
		assert.Equal(t, rec.Code, http.StatusServiceUnavailable)
		assert.Equal(t, f.attempts(), 0)
	})
}

// TestCrashingRequest covers a request that crashes each target that runs it
// and that its client sends again and again. After it has crashed two targets, it
// must not be sent to a target again. A request whose answers are only lost must not be
// blocked.
func TestCrashingRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var f *fixture

		f = newFixture(t, func(_ int, c call, _ io.Writer, conn net.Conn) {
			f.mu.Lock()
			f.down[c.target] = c.body == "poison"
			f.mu.Unlock()
			conn.Close()
		}, route.Route{Kind: route.Idempotent, Timeout: time.Second})

		for i := range 4 {
			rec, _ := f.do(t.Context(), "poison")
			assert.Assert(t, rec.Code >= 500)

			// The targets restart as new processes.
			synctest.Wait()
			f.restart()
			f.listTargets(uint64(2 + i))
			time.Sleep(time.Second)
		}

		assert.Equal(t, f.attempts(), 2)

		f.mu.Lock()
		f.calls = nil
		f.mu.Unlock()

		for range 4 {
			f.do(t.Context(), "unlucky")
			time.Sleep(5 * time.Second)
		}

		assert.Assert(t, f.attempts() >= 4, "a request whose answers were lost was blocked")
		f.close()
	})
}
