package network

import (
	"errors"
	"net"
	"syscall"
)

// dialled is the end of a connection that was dialled. Unlike those of net.Pipe it shows while it
// is idle that the other end has closed it, as a kernel does.
type dialled struct{ *delayed }

// SyscallConn implements syscall.Conn.
func (d dialled) SyscallConn() (syscall.RawConn, error) {
	select {
	case <-d.ended:
		return nil, net.ErrClosed
	case <-d.otherEnded:
		return nil, net.ErrClosed
	default:
	}

	if d.reset.Load() {
		return nil, syscall.ECONNRESET
	}

	return idle{}, nil
}

// idle is a connection that has received nothing. It implements syscall.RawConn.
type idle struct{}

// Control implements syscall.RawConn.
func (idle) Control(f func(fd uintptr)) error {
	fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
	if err != nil {
		return err
	}

	f(uintptr(fds[0]))

	return errors.Join(syscall.Close(fds[0]), syscall.Close(fds[1]))
}

// Read implements syscall.RawConn. It does not wait.
func (i idle) Read(f func(fd uintptr) bool) error { return i.Control(func(fd uintptr) { f(fd) }) }

// Write implements syscall.RawConn. It does not wait.
func (i idle) Write(f func(fd uintptr) bool) error { return i.Read(f) }
