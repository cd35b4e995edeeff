package relay

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/serving/crash"
	"github.com/fulmarcross/fulmarcross/internal/serving/router"
)

const (
	// silentDial is how long a connection to a quiet target may take to open. A second one is
	// tried after secondDial, since one first packet may be lost.
	silentDial = 80 * time.Millisecond
	secondDial = 20 * time.Millisecond
)

// CheckQuiet asks the targets for a connection that have sent nothing for a while although they
// run requests. It does not wait for them.
//
// A target that a request has crashed may be silent until it is back. Without a sign of its
// death the request would be sent to one target after the other meanwhile.
func (s *Server) CheckQuiet() {
	s.Dispatcher.Crashes.WithdrawSilences()

	for _, q := range s.Dispatcher.Crashes.Quiet() {
		t := s.Dispatcher.Target(q.Target)
		if t != nil && t.Info().Incarnation == q.Incarnation {
			go s.checkQuiet(t, q)
		}
	}

	for _, death := range s.Dispatcher.Crashes.Silent() {
		t := s.Dispatcher.Target(death.Target)
		if t != nil && t.Info().Incarnation == death.Incarnation {
			go s.checkSilent(t, death)
		}
	}
}

// checkSilent finds out whether a target that was silent is back. While what ran there is blocked,
// nothing else would.
func (s *Server) checkSilent(t *router.Target, death crash.Death) {
	if err := s.dialTwice(t); err != nil {
		s.Dispatcher.Crashes.Reopen(death, false)

		return
	}

	switch now := s.process(t); now {
	case "":
		s.Dispatcher.Crashes.Reopen(death, true)
	case death.Incarnation:
		s.Log.Info().Str("target", string(t.ID)).Str("process", death.Incarnation).Msg("target was silent and lives on")
		s.Dispatcher.Crashes.Retract(death, time.Now())
	default:
		s.proveReplaced(t, death, now)
	}
}

// checkQuiet records that a quiet target is silent if no connection to it opens. A target that
// runs a long request opens one at once; one that stays quiet may be another process by now.
func (s *Server) checkQuiet(t *router.Target, q crash.Quiet) {
	err := s.dialTwice(t)

	switch {
	case isTimeout(err) && s.cutOffFrom(t):
		s.Log.Info().Str("target", string(t.ID)).Str("process", q.Incarnation).Msg("target is silent as all others are, which says nothing of it")
	case isTimeout(err):
		s.Log.Warn().Str("target", string(t.ID)).Str("process", q.Incarnation).Msg("target is silent")
		s.Dispatcher.Crashes.Silence(q.Death)
	case err == nil && q.Again:
		s.checkReplaced(t, q.Death)
	}
}

// cutOffFrom reports whether this entry reaches no other target of a silent one's service either.
func (s *Server) cutOffFrom(t *router.Target) bool {
	return s.Reach != nil && s.Reach.CheckTarget(context.Background(), t.ID)
}

// dialTwice opens a connection to a target, and tries a second one if the first takes long. It
// returns the error of the one that ended last if none opened.
func (s *Server) dialTwice(t *router.Target) error {
	ctx, cancel := context.WithTimeout(context.Background(), silentDial)
	defer cancel()

	errs := make(chan error, 2) //nolint:mnd // Two connections.
	dial := func() { errs <- s.dial(ctx, t) }

	go dial()

	select {
	case err := <-errs:
		return err
	case <-time.After(secondDial):
	}

	go dial()

	if err := <-errs; !isTimeout(err) {
		return err
	}

	return <-errs
}

// reportTimeout bounds the wait for what a target says of itself.
const reportTimeout = 300 * time.Millisecond

// checkReplaced finds out from the target itself whether it is another process by now. Its row
// may tell late, or not at all while the store is away.
func (s *Server) checkReplaced(t *router.Target, death crash.Death) {
	if now := s.process(t); now != "" && now != death.Incarnation {
		s.proveReplaced(t, death, now)
	}
}

// process asks a target which process it is. It returns an empty text if that is not known.
func (s *Server) process(t *router.Target) string {
	if s.Process == nil {
		return ""
	}

	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()

	now, err := s.Process(ctx, t)
	if err != nil {
		return ""
	}

	return now
}

func (s *Server) proveReplaced(t *router.Target, death crash.Death, now string) {
	s.Log.Info().Str("target", string(t.ID)).Str("process", death.Incarnation).Str("now", now).Msg("target was replaced")
	s.Dispatcher.Crashes.Prove(death)
}

// isTimeout reports whether a connection neither opened nor was refused in time.
func isTimeout(err error) bool {
	var netErr net.Error

	return errors.As(err, &netErr) && netErr.Timeout()
}
