package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/serving/route"
)

// unframed sends an answer that states no length and ends with its connection. If dies is set,
// the target accepts no connections after that.
func unframed(f **fixture, c call, w io.Writer, conn net.Conn, body string, dies bool) {
	_, _ = fmt.Fprintf(w, head+"Content-Type: text/event-stream\r\n\r\n%s", "200 OK", body)

	(*f).mu.Lock()
	(*f).down[c.target] = dies
	(*f).mu.Unlock()

	conn.Close()
}

// TestUnframedAnswerOfDeadTarget guards against an answer without a length that looks whole because its target ended between two events.
func TestUnframedAnswerOfDeadTarget(t *testing.T) {
	const events = 3

	all := event(1) + event(2) + event(3)
	plain := route.Route{Kind: route.NonIdempotent, Timeout: 5 * time.Second}
	idempotent := route.Route{Kind: route.Idempotent, Timeout: 5 * time.Second}
	notResumable := route.Route{Kind: route.Stream, Timeout: 5 * time.Second}
	resumable := route.Route{Kind: route.Stream, Resumable: true, Timeout: 5 * time.Second}

	cases := map[string]struct {
		route route.Route
		// first is the body that the first target sends, which then dies or not.
		first    string
		dies     bool
		status   int
		body     string
		aborted  bool
		attempts int
	}{
		"stream, target lives":               {notResumable, all, false, 200, all, false, 1},
		"stream, cut inside an event":        {notResumable, event(1) + "id: 2\n", false, 200, event(1), true, 1},
		"stream, target dies":                {notResumable, event(1) + event(2), true, 200, event(1) + event(2), true, 1},
		"resumable stream, target dies":      {resumable, event(1) + event(2), true, 200, all, false, 2},
		"resumable stream, target lives":     {resumable, all, false, 200, all, false, 1},
		"plain answer, target lives":         {plain, "done", false, 200, "done", false, 1},
		"plain answer, target dies":          {plain, "do", true, 502, "", false, 1},
		"idempotent request, target dies":    {idempotent, "do", true, 200, "done", false, 2},
		"stream without events, target dies": {notResumable, "", true, 502, "", false, 1},
	}

	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var f *fixture

				f = newFixture(t, func(n int, c call, w io.Writer, conn net.Conn) {
					switch {
					case n == 1:
						unframed(&f, c, w, conn, tc.first, tc.dies)
					case tc.route.Kind == route.Stream:
						stream(w, events, events, true)
					default:
						writeAnswer(w, "200 OK", "", "done")
					}
				}, tc.route)

				rec, aborted := f.do(t.Context(), "body")
				assert.Equal(t, rec.Code, tc.status)
				assert.Equal(t, aborted, tc.aborted)
				assert.Equal(t, f.attempts(), tc.attempts)

				if tc.status == http.StatusOK {
					assert.Equal(t, rec.Body.String(), tc.body)
				}

				f.close()
			})
		})
	}
}

// TestPortOutlastsConnections guards against a target that is killed and whose port accepts connections for a moment after its answer's connection was closed.
func TestPortOutlastsConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var f *fixture

		f = newFixture(t, func(_ int, c call, w io.Writer, conn net.Conn) {
			time.AfterFunc(10*time.Millisecond, func() { f.stop(c.target, fate{ends: true}) })
			unframed(&f, c, w, conn, event(1)+event(2), false)
		}, route.Route{Kind: route.Stream, Timeout: 5 * time.Second})
		defer f.close()

		_, aborted := f.do(t.Context(), "body")
		assert.Assert(t, aborted)
	})
}
