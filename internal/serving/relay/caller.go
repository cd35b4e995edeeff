package relay

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// connKey is the key of a caller's connection in a request's context.
type connKey struct{}

// WithCaller keeps a caller's connection for Server; it is the ConnContext of
// the http.Server in front of it.
func WithCaller(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// closeCheckInterval is the time between two looks whether a caller is still there.
// Targets must have stopped half a second after it left.
const closeCheckInterval = 200 * time.Millisecond

// watchClose calls leave when the caller has closed its connection, until ctx
// has ended and the function that it returns was called.
//
// It guards against a caller that closes behind bytes that nobody has read,
// such as a further request: the HTTP server stops reading at them and does not
// see the close, so that targets would work on until the request's deadline.
// The connection's state tells of the close whatever is unread.
func watchClose(ctx context.Context, leave func()) (end func()) {
	c, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return func() {}
	}

	raw, err := c.SyscallConn()
	if err != nil {
		// A connection that is closed already, which its reader sees as well.
		return func() {}
	}

	var t *time.Timer

	ready := make(chan struct{})
	t = time.AfterFunc(closeCheckInterval, func() {
		<-ready

		if remoteClosed(raw) {
			leave()

			return
		}

		// A look that ran while the watch was ended must not begin it again.
		if ctx.Err() == nil {
			t.Reset(closeCheckInterval)
		}
	})

	close(ready)

	return func() { t.Stop() }
}

// The states of a connection whose other end has closed it, as the kernel
// numbers them.
const (
	tcpClose     = 7
	tcpCloseWait = 8
)

// remoteClosed reports whether the other end has remoteClosed or reset the connection.
func remoteClosed(raw syscall.RawConn) bool {
	var (
		info *unix.TCPInfo
		err  error
	)

	ctrl := raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if ctrl != nil || err != nil {
		// Not a TCP connection, or closed here: others see its end.
		return false
	}

	return info.State == tcpClose || info.State == tcpCloseWait
}
