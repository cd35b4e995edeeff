package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/room/timeline"
	wire "github.com/fulmarcross/fulmarcross/internal/wire/peer"
)

// Bounds of HTTP connections.
const (
	headerTimeout = 5 * time.Second
	bodyTimeout   = 30 * time.Second
	idleTimeout   = 2 * time.Minute
	maxHeader     = 32 << 10
)

func (e *Entry) serve(ctx context.Context, failed chan<- error) {
	for _, side := range []struct {
		l net.Listener
		h http.Handler
	}{
		{e.callers, e.callerHandler()},
		{e.operators, e.operatorHandler(ctx)},
	} {
		server := &http.Server{
			Handler:           side.h,
			ReadHeaderTimeout: headerTimeout,
			ReadTimeout:       bodyTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeader,
		}
		e.servers = append(e.servers, server)

		e.wg.Go(func() {
			if err := server.Serve(side.l); !errors.Is(err, http.ErrServerClosed) {
				report(failed, err)
			}
		})
	}

	e.wg.Go(func() {
		if err := wire.Serve(ctx, e.peerSide, handler{e}); ctx.Err() == nil {
			report(failed, err)
		}
	})
	context.AfterFunc(ctx, func() { _ = e.peerSide.Close() })
}

func report(failed chan<- error, err error) {
	select {
	case failed <- err:
	default:
	}
}

// callerHandler adds what the balancer asks for to the gateway.
func (e *Entry) callerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", e.gateway)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", e.serveReady)
	mux.Handle("GET /metrics", e.exporter)

	return mux
}

func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if reason := e.unready(time.Now()); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)

		return
	}

	_, _ = w.Write([]byte("ready\n"))
}

// freshness bounds how long the lists in force may go without a sign that
// they are the newest.
const freshness = 10 * time.Second

// unready returns why the balancer should send no requests, or "".
func (e *Entry) unready(now time.Time) string {
	switch {
	case e.draining.Load():
		return "shutting down"
	case e.freshAt.Load() == 0:
		return "the lists are not loaded yet"
	case now.Sub(time.Unix(0, e.freshAt.Load())) > freshness:
		return "cut off: the lists may be out of date"
	case e.fleet.ListReadAt().IsZero():
		return "the list of instances is not loaded yet"
	}

	return ""
}

// Ready reports whether the entry may be given requests.
func (e *Entry) Ready() bool { return e.unready(time.Now()) == "" }

// lingerUnready is how long the callers' side stays open after readiness went
// off, so that the balancer sees it before connections are refused.
const lingerUnready = time.Second

// shutdown ends the entry: readiness goes off and leases are handed over
// first, then what runs is finished, then the rest of the events is sent.
func (e *Entry) shutdown(ctx context.Context) {
	e.draining.Store(true)

	ctx, cancel := context.WithTimeout(ctx, e.cfg.Shutdown)
	defer cancel()

	e.beatOnce(ctx)

	for _, c := range e.cells {
		c.Drain(ctx)
	}

	_ = clock.Sleep(ctx, lingerUnready)

	for _, s := range e.servers {
		if s.Shutdown(ctx) != nil {
			_ = s.Close()
		}
	}

	e.log.Add(timeline.Event{Kind: timeline.ProcessStopped})
	e.flushEvents(ctx)
}

// Kill ends the entry at once, as the death of its process would: nothing is
// handed over and nothing is finished.
func (e *Entry) Kill() {
	for _, s := range e.servers {
		_ = s.Close()
	}

	e.closeListeners()

	if e.stopPeers != nil {
		e.stopPeers()
	}
}
