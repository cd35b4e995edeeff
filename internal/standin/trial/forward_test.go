package trial

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
	"github.com/fulmarcross/fulmarcross/internal/wire/caller"
	wire "github.com/fulmarcross/fulmarcross/internal/wire/engine"
)

// forwarder is the naive counterpart of an entry: it decodes a request, sends
// it to its one target and gathers the answer. It knows no plans, queues,
// checks or retries.
func forwarder(c *wire.Client) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var msg caller.CompletionRequest
		if err := json.NewDecoder(r.Body).Decode(&msg); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)

			return
		}

		s, err := c.Generate(r.Context(), target.Generation{
			RequestID: "r", Model: msg.Model, Prompt: msg.Prompt, MaxTokens: msg.MaxTokens,
		})
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)

			return
		}
		defer s.Close()

		text := ""

		for {
			f, err := s.Next()
			if err != nil {
				http.Error(w, err.Error(), http.StatusBadGateway)

				return
			}

			if f.End {
				break
			}

			text += f.Text
		}

		answer := caller.Answer{ID: "x", Model: msg.Model}
		body, _ := answer.Whole(text, 1, msg.MaxTokens)
		_, _ = w.Write(body)
	})
}

// cpu returns the processor time that this process has used.
func cpu() time.Duration {
	var u syscall.Rusage

	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)

	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkForward measures an entry against the naive forwarder: whole
// requests over TCP from a client through either to an engine that takes no
// time, all in one process. What the client and the engine cost is in both.
func BenchmarkForward(b *testing.B) {
	site, err := Start(b.Context(), Options{Logger: zerolog.Nop()})
	assert.NilError(b, err)
	b.Cleanup(site.Stop)
	assert.NilError(b, site.startFastEngine())

	a := ask{key: nightKey, model: fastModel, tokens: 4}
	assert.Assert(b, site.warm(b.Context(), a))

	direct := &wire.Client{Target: fastEngine, Address: site.addresses[len(site.addresses)-1], HTTP: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 64},
	}}
	naive := httptest.NewServer(forwarder(direct))
	b.Cleanup(naive.Close)

	for name, addr := range map[string]netip.AddrPort{
		"naive": netip.MustParseAddrPort(naive.Listener.Addr().String()), "entry": site.ready()[0].Callers(),
	} {
		b.Run(name, func(b *testing.B) {
			var (
				mu    sync.Mutex
				times []time.Duration
			)

			began := cpu()

			b.SetParallelism(1)
			b.RunParallel(func(pb *testing.PB) {
				var own []time.Duration

				for pb.Next() {
					a := a
					a.started = time.Now()

					r, err := site.tryAt(b.Context(), a, addr)
					if err != nil || !r.whole {
						b.Errorf("%v %+v", err, r)

						return
					}

					own = append(own, time.Since(a.started))
				}

				mu.Lock()
				defer mu.Unlock()

				times = append(times, own...)
			})

			slices.Sort(times)
			b.ReportMetric(float64((cpu()-began).Microseconds())/float64(b.N), "cpu-us/op")
			b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50-us")
			b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-us")
		})
	}
}
