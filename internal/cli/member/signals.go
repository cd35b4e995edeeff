package member

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// signals are the signals that the process receives.
type signals struct {
	// stop ends at the first signal that asks the process to end.
	stop context.Context //nolint:containedctx // It is handed on.
	// reload receives a signal when the settings file has changed.
	reload <-chan os.Signal
}

// handleSignals handles the signals until the process has ended: no handler is ever given back.
// The default action of each would end the process while it still answers requests. A log that
// nobody reads any more is no reason to end either.
func handleSignals() signals {
	ctx, cancel := context.WithCancel(context.Background())
	stop, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)

	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reload, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)

	go func() {
		<-stop
		cancel()
	}()

	return signals{stop: ctx, reload: reload}
}
