package site

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"syscall"
)

func (s *Site) listen() (net.Listener, netip.AddrPort, error) {
	if s.network != nil {
		at := s.network.Free()
		l, err := s.network.Listen(context.Background(), at)

		return l, at, err
	}

	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, netip.AddrPort{}, err
	}

	at, err := netip.ParseAddrPort(l.Addr().String())

	return l, at, err
}

const (
	// firstPort and ports are a range below the ephemeral ports. An ephemeral port could
	// be used for a connection between its choice here and its use by an entry.
	firstPort = 20000
	ports     = 12000
	// blockPorts is the number of ports that a process reserves at a time.
	blockPorts = 100
)

// portBlock is a block of ports that this process has reserved. Processes that test at
// the same time have different blocks. Otherwise one could take the port of an entry that
// another restarts, and that entry could never start again.
var portBlock struct {
	mu sync.Mutex
	// reserved are the listeners on the first ports of the blocks, which reserve them
	// until the process ends.
	reserved []net.Listener
	// next is the next port to use, and end the first after the block.
	next, end int
}

// nextPort returns the next port of this process's blocks.
func nextPort() (int, error) {
	b := &portBlock
	b.mu.Lock()
	defer b.mu.Unlock()

	if b.next == b.end {
		l, first, err := reserveBlock()
		if err != nil {
			return 0, err
		}

		b.reserved = append(b.reserved, l)
		b.next, b.end = first+1, first+blockPorts
	}

	b.next++

	return b.next - 1, nil
}

// reserveBlock listens on the first port of a block that no process has reserved.
func reserveBlock() (l net.Listener, first int, err error) {
	const blocks = ports / blockPorts

	start := rand.IntN(blocks) //nolint:gosec // No secret.

	for i := range blocks {
		first = firstPort + blockPorts*((start+i)%blocks)

		l, err = net.Listen("tcp", loopback(first).String())
		if !errors.Is(err, syscall.EADDRINUSE) {
			return l, first, err
		}
	}

	return nil, 0, &NoPortsError{}
}

// NoPortsError reports that all blocks of ports are reserved.
type NoPortsError struct{}

func (*NoPortsError) Error() string { return "site: no block of ports is free" }

func loopback(port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port)) //nolint:gosec // Below 2^16.
}

func (s *Site) free() (netip.AddrPort, error) {
	if s.network != nil {
		return s.network.Free(), nil
	}

	return Free()
}

// Free returns an unused address.
func Free() (netip.AddrPort, error) {
	for {
		port, err := nextPort()
		if err != nil {
			return netip.AddrPort{}, err
		}

		at := loopback(port)

		l, err := net.Listen("tcp", at.String())
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}

		if err != nil {
			return at, err
		}

		return at, l.Close()
	}
}
