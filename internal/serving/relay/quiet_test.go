package relay

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
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
		silent  int64
		proved  int64
		heard   int64
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

				var (
					silent, proved, heard atomic.Int64
					deaf                  atomic.Bool
				)

				f.server.Process = func(context.Context, *router.Target) (string, error) { return tc.process, nil }
				f.server.Dispatcher.Crashes.OnDeath = func(told crash.Testimony) {
					switch {
					case len(told.Exposed) == 0:
						heard.Add(1)
					case told.Until.IsZero():
						silent.Add(1)
					default:
						proved.Add(1)
					}
				}

				open := f.server.Pool.Dial
				f.server.Pool.Dial = func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
					if !deaf.Load() {
						return open(ctx, address)
					}

					<-ctx.Done()

					return nil, ctx.Err()
				}

				done := make(chan struct{})

				go func() {
					defer close(done)

					_, _ = f.do(t.Context(), "body")
				}()

				time.Sleep(time.Millisecond)

				deaf.Store(tc.deaf)

				for range 50 {
					f.server.CheckQuiet()
					time.Sleep(50 * time.Millisecond)
				}

				<-done
				assert.Equal(t, silent.Load(), tc.silent)
				assert.Equal(t, min(proved.Load(), 1), tc.proved)
				assert.Equal(t, heard.Load(), tc.heard)
			})
		})
	}
}
