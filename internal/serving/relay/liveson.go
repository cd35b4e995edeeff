package relay

import (
	"context"
	"errors"
	"net"
	"os"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/serving/crash"
)

// LivesOn reports whether an incarnation of a target runs for crash.Settle longer: a connection opens
// and is not closed. No process but the one that has opened it keeps it open.
func (s *Server) LivesOn(on crash.Death) bool {
	t := s.Dispatcher.Target(on.Target)
	if t == nil || t.Info().Incarnation != on.Incarnation {
		return false
	}

	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()

	c, err := s.Pool.Open(ctx, t.Address)
	if err != nil {
		return false
	}

	return Holds(c, crash.Settle) && t.Info().Incarnation == on.Incarnation
}

// Holds reports whether a new connection is not reset or closed within some time, and closes it. A
// proxy, a firewall or a kernel may open connections on behalf of a target that is not reached.
func Holds(c net.Conn, within time.Duration) bool {
	defer c.Close()

	if c.SetReadDeadline(time.Now().Add(within)) != nil {
		return false
	}

	_, err := c.Read(make([]byte, 1))

	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}
