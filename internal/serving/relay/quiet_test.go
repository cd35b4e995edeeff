package relay

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/serving/crash"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
	"github.com/fulmarcross/fulmarcross/internal/serving/router"
)

// TestQuietTargets checks what an entry tells of a target that sends nothing: whether it is silent, was replaced, or only takes long.
func TestQuietTargets(t *testing.T) {
	// The target answers after takes; the request's connection opens before it is deaf.
	const takes = 2 * time.Second

	cases := map[string]struct {
		// deaf says that it opens no connections, process what it says of itself.
		deaf    bool
		process string
		silent  int
		proved  int
		heard   int
	}{
		"takes long":                {process: "1"},
		"takes long, tells nothing": {},
		"silent":                    {deaf: true, silent: 4, heard: 1},
		"replaced":                  {process: "2", proved: 1},
	}

	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, func(_ int, _ call, w io.Writer, _ net.Conn) {
					time.Sleep(takes)
					writeAnswer(w, "200 OK", "", "done")
				}, route.Route{Kind: route.NonIdempotent, Timeout: 5 * time.Second})

				defer f.closeTargets()()

				var silent, proved, heard int

				f.server.Process = func(context.Context, *router.Target) (string, error) { return tc.process, nil }
				f.server.Dispatcher.Crashes.OnDeath = func(told crash.Testimony) {
					switch {
					case len(told.Exposed) == 0:
						heard++
					case told.Until.IsZero():
						silent++
					default:
						proved++
					}
				}

				done := make(chan struct{})

				go func() {
					defer close(done)

					_, _ = f.do(t.Context(), "body")
				}()

				time.Sleep(time.Millisecond)

				if tc.deaf {
					f.server.Pool.Dial = func(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
						<-ctx.Done()

						return nil, ctx.Err()
					}
				}

				for range 50 {
					f.server.CheckQuiet()
					time.Sleep(50 * time.Millisecond)
				}

				<-done
				assert.Equal(t, silent, tc.silent)
				assert.Equal(t, min(proved, 1), tc.proved)
				assert.Equal(t, heard, tc.heard)
			})
		})
	}
}
