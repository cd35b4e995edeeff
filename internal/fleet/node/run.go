package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/serving/relay"
	"github.com/fulmarcross/fulmarcross/internal/wire/frame"
	"github.com/fulmarcross/fulmarcross/internal/wire/news"
)

func (n *Node) listen(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	if n.cfg.Listen != nil {
		return n.cfg.Listen(ctx, address)
	}

	l := net.ListenConfig{KeepAliveConfig: relay.KeepAliveConfig(), Control: relay.SetUserTimeout}

	return l.Listen(ctx, "tcp", address.String())
}

// Run serves until ctx ends, then stops gracefully.
func (n *Node) Run(ctx context.Context) error {
	callers, err := n.listen(ctx, n.cfg.Callers)
	if err != nil {
		return err
	}

	checks, err := n.listen(ctx, n.cfg.Readiness)
	if err != nil {
		return err
	}

	peerListener, err := n.listen(ctx, n.cfg.Peers)
	if err != nil {
		return err
	}

	metricsListener, err := n.listen(ctx, n.cfg.Metrics)
	if err != nil {
		return err
	}

	// Background work continues while requests are answered after ctx has
	// ended.
	work, cancel := n.workCtx, n.cancelWork
	defer cancel()

	front := &http.Server{
		Handler: n.relay, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
		ConnContext: relay.WithConn,
		ErrorLog:    nil,
	}
	framed, requests := frame.Split(peerListener)
	passedOn := &http.Server{
		Handler: n.relay.PassedOn(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: 2 * maxHeader, //nolint:mnd // The client's, and what entries add.
		ConnContext: relay.WithConn,
	}
	ready := &http.Server{Handler: n.readinessHandler(), ReadHeaderTimeout: headerTimeout}
	metrics := &http.Server{Handler: &n.metricsPage, ReadHeaderTimeout: headerTimeout}

	var wg sync.WaitGroup

	clients, neighbours := n.relay.Listener(callers), n.relay.Listener(requests)

	wg.Go(func() { n.logServeError("callers", front.Serve(clients)) })
	wg.Go(func() { n.logServeError("readiness", ready.Serve(checks)) })
	wg.Go(func() { n.logServeError("metrics", metrics.Serve(metricsListener)) })
	wg.Go(func() { n.logServeError("peers", news.Serve(work, framed, n)) })
	wg.Go(func() { n.logServeError("passed on", passedOn.Serve(neighbours)) })

	for _, loop := range []func(context.Context){n.watchConfig, n.fetchAnnouncedConfig, n.watchTargets, n.fetchAnnouncedList, n.pollPeers, n.maintainRouting, n.report, n.holder.Run, n.peers.run, n.quotas.run, n.origins.run, n.crashes.run, n.shareStatements, n.handOverIfCutOff, n.sweep, n.logCalls} {
		wg.Go(func() { loop(work) })
	}

	n.cfg.Log.Info().Str("process", n.process).Str("dataCentre", string(n.cfg.DataCentre)).Stringer("callers", n.cfg.Callers).Msg("started")

	<-ctx.Done()
	n.stop(front, passedOn)

	_ = ready.Close()
	_ = metrics.Close()
	_ = n.metricsCloser.Close()
	_ = peerListener.Close()

	cancel()
	waitTimeout(&wg, stopMargin/2) //nolint:mnd // The rest is for the process to exit.
	n.cfg.Log.Info().Msg("stopped")

	return nil
}

const (
	// headerTimeout and idleTimeout bound how long a client may take to send a
	// header and keep an idle connection. They exceed the 3 s and 15 s that the
	// operators allow, because the entry must not close a connection before its
	// client gives it up.
	headerTimeout = 5 * time.Second
	idleTimeout   = 20 * time.Second
	// maxHeader bounds a request's header; the operators allow 16 KB.
	maxHeader = 32 << 10
)

func (n *Node) logServeError(listener string, err error) {
	if !n.stopping.Load() && !errors.Is(err, http.ErrServerClosed) {
		n.cfg.Log.Error().Err(err).Str("listener", listener).Msg("listener failed")
	}
}

const (
	// readinessDelay is how long idle connections stay open after a shutdown
	// begins: the platform needs two failed checks, one a second, before it
	// stops sending clients, and a request may be on its way.
	readinessDelay = 2300 * time.Millisecond
	// streamMargin is how long before the end of the grace period new streams
	// are refused, so that most have ended by then.
	streamMargin = 4 * time.Second
	// stopMargin is how long before the end of the grace period the process
	// must have finished.
	stopMargin = 500 * time.Millisecond
	// answerMargin is how long before that unanswered requests get their last answers.
	answerMargin = 300 * time.Millisecond
)

// stop shuts the entry down gracefully: it reports not ready, releases the
// lease, answers the requests in flight and those that still arrive, and
// closes.
//
// Servers are those of clients' own requests and of those that neighbours have passed on.
func (n *Node) stop(servers ...*http.Server) {
	began := time.Now()

	n.stopping.Store(true)
	n.relay.EndAt(began.Add(n.cfg.GracePeriod - stopMargin - answerMargin))
	n.relay.EnterPhase(relay.Draining)
	n.quotas.release()
	n.cfg.Log.Info().Int("running", n.relay.Running()).Msg("stopping")

	ctx, cancel := context.WithTimeout(context.Background(), n.cfg.GracePeriod-stopMargin)
	defer cancel()

	// These must not delay the shutdown: if the store does not answer, the
	// lease expires by itself.
	var leave sync.WaitGroup

	leave.Go(func() { n.holder.Release(ctx) })
	leave.Go(func() { n.peers.announceLeaving(ctx) })

	_ = clock.Sleep(ctx, readinessDelay-time.Since(began)) // Ends early only at the end of the grace period.

	n.relay.EnterPhase(relay.RefusingNewStreams)

	ending := time.AfterFunc(n.cfg.GracePeriod-streamMargin-time.Since(began), func() { n.relay.EnterPhase(relay.RefusingUnstarted) })
	defer ending.Stop()

	var ended sync.WaitGroup

	for _, s := range servers {
		ended.Go(func() {
			if err := s.Shutdown(ctx); err != nil {
				n.cfg.Log.Warn().Err(err).Int("running", n.relay.Running()).Msg("requests aborted at the end of the grace period")
			}

			_ = s.Close()
		})
	}

	ended.Wait()

	// The lease release and the announcement have run since the shutdown began;
	// if they have not finished, they get at most this much longer.
	waitTimeout(&leave, stopMargin/2) //nolint:mnd // See Run.
}

// waitTimeout waits for wg, but no longer than d: a call to an unresponsive
// store must not keep the process beyond its grace period.
func waitTimeout(wg *sync.WaitGroup, d time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()

	_ = clock.Wait(ctx, wg) // Unfinished work ends with the process.
}

// readinessHandler answers the platform's readiness checks.
func (n *Node) readinessHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+n.cfg.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !n.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})

	return mux
}

// ready reports whether clients may be sent to this entry.
func (n *Node) ready() bool {
	return n.routes.Load() != nil && n.listApplied.Load() && !n.stopping.Load() && !n.configTooOld()
}
