package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/serving/origin"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
)

// fakeOrigins knows the streams that it was told of.
type fakeOrigins struct {
	known map[origin.Key]instance.Software
	begun []origin.Record
	ended []origin.Key
}

func (o *fakeOrigins) Find(_ context.Context, _ string, k origin.Key) origin.Finding {
	if s, ok := o.known[k]; ok {
		return origin.Finding{Origin: origin.Of(s), Source: origin.SourceEntry}
	}

	return origin.Finding{Origin: origin.Unknown(), Source: origin.SourceNone}
}

func (o *fakeOrigins) Begin(_ string, r origin.Record) { o.begun = append(o.begun, r) }
func (o *fakeOrigins) End(k origin.Key)                { o.ended = append(o.ended, k) }

var resumableRoute = route.Route{Kind: route.Stream, Resumable: true, Timeout: 5 * time.Second, Attempts: 3}

// softwareFixture is a fixture with targets of different software and a stream "zero", which
// the software of target b began.
func softwareFixture(t *testing.T, act targetScript) (*fixture, *fakeOrigins) {
	t.Helper()

	f := newFixture(t, act, resumableRoute)
	f.software = map[instance.ID]instance.Software{"a": "v1", "b": "v2"}
	f.listTargets(2)

	o := &fakeOrigins{known: map[origin.Key]instance.Software{origin.KeyOf("", "s/", "zero"): "v2"}}
	f.server.Origins = o

	return f, o
}

// TestResumedStreams says what a client gets that takes a stream up.
func TestResumedStreams(t *testing.T) {
	for name, tc := range map[string]struct {
		header []string
		status int
		// target is the one that got the request, if it is determined.
		target instance.ID
	}{
		"the stream is known":                    {[]string{"After", "3", "First", "zero"}, http.StatusOK, "b"},
		"the first attempt is not named":         {[]string{"After", "3"}, http.StatusServiceUnavailable, ""},
		"the first attempt never was":            {[]string{"After", "3", "First", "never"}, http.StatusServiceUnavailable, ""},
		"no event is named, the stream is known": {[]string{"First", "zero"}, http.StatusOK, "b"},
		"the stream begins":                      {nil, http.StatusOK, ""},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, o := softwareFixture(t, func(_ int, _ call, w io.Writer, _ net.Conn) { stream(w, 4, 6, true) })
				defer f.close()

				began := time.Now()
				rec, _ := f.do(t.Context(), "body", tc.header...)

				assert.Equal(t, rec.Code, tc.status)

				if tc.status != http.StatusOK {
					assert.Equal(t, f.attempts(), 0)
					assert.Assert(t, rec.Header().Get("Retry-After") != "")
					assert.Assert(t, time.Since(began) < 50*time.Millisecond)

					return
				}

				got := f.received()[0].target
				assert.Assert(t, tc.target == "" || got == tc.target)
				assert.Equal(t, len(o.begun), 1)
				assert.Equal(t, o.begun[0].Software, f.software[got])
				assert.DeepEqual(t, o.ended, []origin.Key{o.begun[0].Key})
			})
		})
	}
}

// TestResumedStreamInLog guards against a resumed stream of which nobody can say how its software was known.
func TestResumedStreamInLog(t *testing.T) {
	for first, want := range map[string]string{"zero": `"software":"v2","source":"entry"`, "never": `"software":"unknown","source":"unknown"`} {
		t.Run(first, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, _ := softwareFixture(t, func(_ int, _ call, w io.Writer, _ net.Conn) { stream(w, 4, 6, true) })
				defer f.close()

				var log logBuffer

				f.server.Log = zerolog.New(&log)
				_, _ = f.do(t.Context(), "body", "After", "3", "First", first)

				assert.Assert(t, strings.Contains(log.String(), want), log.String())
			})
		})
	}
}

// TestResumedStreamOfOtherRoute guards against a stream of a route without resuming that goes on at other software all the same.
func TestResumedStreamOfOtherRoute(t *testing.T) {
	for first, status := range map[string]int{"zero": http.StatusOK, "never": http.StatusServiceUnavailable} {
		t.Run(first, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, o := softwareFixture(t, func(_ int, _ call, w io.Writer, _ net.Conn) { stream(w, 4, 6, true) })
				defer f.close()

				other := newFixture(t, nil, route.Route{Kind: route.Stream, Timeout: resumableRoute.Timeout, Attempts: 1})
				defer other.close()

				f.server.Table = other.server.Table
				rec, _ := f.do(t.Context(), "body", "After", "3", "First", first)

				assert.Equal(t, rec.Code, status)

				for _, r := range o.begun {
					assert.Equal(t, r.Software, instance.Software("v2"))
				}
			})
		})
	}
}

// TestUnknownStreamIsRefusedAtOnce guards against a client that waits for a target although it is not known which one may go on with its stream.
func TestUnknownStreamIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := softwareFixture(t, nil)
		for id := range f.software {
			f.targets.Target(id).MarkLeaving()
		}

		began := time.Now()
		rec, _ := f.do(t.Context(), "body", "After", "3", "First", "never")

		assert.Equal(t, rec.Code, http.StatusServiceUnavailable)
		assert.Assert(t, time.Since(began) < 50*time.Millisecond)
	})
}

// TestChainKeepsFirstAttempt guards against a stream that is taken up again by its last attempt, which brought no first event.
func TestChainKeepsFirstAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, o := softwareFixture(t, func(_ int, _ call, w io.Writer, _ net.Conn) { stream(w, 4, 6, true) })
		defer f.close()

		_, _ = f.do(t.Context(), "body", "After", "3", "First", "zero")

		assert.Equal(t, o.begun[0].Key, origin.KeyOf("", "s/", "zero"))
	})
}

// TestAttemptWithoutEventsBindsNothing guards against a stream that may go on only at a target that sent no event.
func TestAttemptWithoutEventsBindsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, o := softwareFixture(t, func(n int, _ call, w io.Writer, conn net.Conn) {
			if n == 1 {
				stream(w, 1, 0, false)
				conn.Close()

				return
			}

			stream(w, 1, 3, true)
		})
		defer f.close()

		rec, aborted := f.do(t.Context(), "body")
		assert.Assert(t, !aborted)
		assert.Equal(t, rec.Code, http.StatusOK)

		calls := f.received()
		assert.Equal(t, len(calls), 2)
		assert.Assert(t, calls[0].target != calls[1].target)
		assert.Equal(t, o.begun[0].Software, f.software[calls[1].target])
	})
}

// TestPassedStreamKeepsOrigin guards against a stream that another entry goes on with at other software, because the first one did not say which began it.
func TestPassedStreamKeepsOrigin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, nil, resumableRoute)
		defer f.close()

		o := &fakeOrigins{}
		f.server.Origins = o

		var told []string

		f.withNeighbours(func(r *http.Request, w io.Writer) {
			told = append(told, r.Header.Get(headerSoftware))

			_, _ = fmt.Fprintf(w, head+headerSoftware+": v2\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", "200 OK")
			last := 2

			if len(told) > 1 {
				last = 4
			}

			for id := 1; id <= last; id++ {
				_, _ = fmt.Fprintf(w, "%x\r\n%s\r\n", len(event(id)), event(id))
			}

			if len(told) > 1 {
				_, _ = io.WriteString(w, "0\r\n\r\n")
			}
		})

		rec, aborted := f.do(t.Context(), "body")
		assert.Assert(t, !aborted)
		assert.Equal(t, rec.Body.String(), event(1)+event(2)+event(3)+event(4))
		assert.Equal(t, rec.Header().Get(headerSoftware), "", "it is not for clients")
		assert.DeepEqual(t, told, []string{"", "v2"})
		assert.Equal(t, o.begun[0].Software, instance.Software("v2"))
	})
}
