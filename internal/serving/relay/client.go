package relay

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// connKey is the context key of the client's connection.
type connKey struct{}

// WithConn stores the client's connection in the context for Server. Use it
// as the ConnContext of the http.Server that serves the Server.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// closeCheckInterval is the time between two checks of a client's connection.
// Targets must stop within half a second after the client closed it.
const closeCheckInterval = 200 * time.Millisecond

// watchClose calls onClose when the client has closed its connection. The checks
// end when ctx ends. stop also ends them, unless a check is running while stop is
// called: that check schedules another unless ctx has ended, so a caller must end
// ctx too.
//
// While a request is handled, the HTTP server reads no further once it has
// received bytes that follow the request, such as a pipelined request. It then
// does not notice that the client closes the connection, and targets would work
// on until the request's deadline. The state of the TCP connection shows the
// close regardless of unread bytes.
func watchClose(ctx context.Context, onClose func()) (stop func()) {
	c, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return func() {}
	}

	raw, err := c.SyscallConn()
	if err != nil {
		// The connection is closed already, which the HTTP server notices as
		// well.
		return func() {}
	}

	var timer *time.Timer

	ready := make(chan struct{})
	_, bounded := c.(*clientConn)
	timer = time.AfterFunc(closeCheckInterval, func() {
		<-ready

		if remoteClosed(raw, bounded) {
			onClose()

			return
		}

		// A check that was running when the request ended must not schedule
		// another.
		if ctx.Err() == nil {
			timer.Reset(closeCheckInterval)
		}
	})

	close(ready)

	return func() { timer.Stop() }
}

// The kernel's numbers of the TCP states that a connection has after the other
// end has reset or closed it.
const (
	tcpClose     = 7
	tcpCloseWait = 8
)

// remoteClosed reports whether the other end has closed or reset the
// connection, or, if detectSilent is set, is unresponsive.
func remoteClosed(raw syscall.RawConn, detectSilent bool) bool {
	var (
		info *unix.TCPInfo
		err  error
	)

	ctrlErr := raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if ctrlErr != nil || err != nil {
		// Not a TCP connection, or already closed on this side. Neither shows
		// that the client closed it.
		return false
	}

	return info.State == tcpClose || info.State == tcpCloseWait || detectSilent && clientSilent(info)
}
