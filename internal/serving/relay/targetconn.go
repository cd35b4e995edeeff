package relay

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"
)

// receiveBuffer is the size of the receive buffer of a connection to a target where
// memory is bounded; the kernel doubles it for its overhead. It bounds what is held of a
// stream that its client does not read, and lets a target send a typical answer without
// being blocked by the client. Without it the kernel enlarges the buffer of a connection
// that is read fast to several megabytes.
const receiveBuffer = 128 << 10

// DialBounded opens a connection to a target with a receive buffer of a fixed size.
func DialBounded(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	d := Dialer(dialTimeout)
	d.Control = func(network, address string, c syscall.RawConn) error {
		var optErr error

		err := c.Control(func(fd uintptr) {
			optErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})

		return errors.Join(SetUserTimeout(network, address, c), err, optErr)
	}

	return d.DialContext(ctx, "tcp", address.String())
}
