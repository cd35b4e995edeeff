// Package network is a TCP network in memory. Processes of a test that use it instead of
// the machine's can run in simulated time.
package network

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Network connects listeners and dialers by address. The zero value is ready to use.
type Network struct {
	// Delay returns the delay of a write. If it is nil, there is none.
	Delay func() time.Duration

	mu        sync.Mutex
	listeners map[netip.AddrPort]*listener
	lastPort  uint16
	// silent are the addresses made silent.
	silent map[netip.AddrPort]bool
	// links are the links with a rate, and cuts the partitions between two addresses.
	links map[netip.AddrPort]*link
	cuts  map[[2]netip.AddrPort]Cut
	// ends are the ends of connections subject to a delay.
	ends       []*delayed
	deliveries sync.WaitGroup
	// over is set by Close.
	over atomic.Bool
}

// Free returns an address that was not returned before.
func (n *Network) Free() netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()

	n.lastPort++

	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), n.lastPort)
}

// Listen listens on an address.
func (n *Network) Listen(_ context.Context, at netip.AddrPort) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()

	if n.listeners[at] != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Addr: net.TCPAddrFromAddrPort(at), Err: syscall.EADDRINUSE}
	}

	if n.listeners == nil {
		n.listeners = make(map[netip.AddrPort]*listener)
	}

	l := &listener{network: n, at: at, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[at] = l

	return l, nil
}

// Dial connects to an address. Without a listener there it fails at once.
func (n *Network) Dial(ctx context.Context, at netip.AddrPort) (net.Conn, error) {
	return n.DialFrom(ctx, netip.AddrPort{}, at)
}

// DialFrom does the same for the process whose own address is from.
func (n *Network) DialFrom(ctx context.Context, from, at netip.AddrPort) (net.Conn, error) {
	refused := &net.OpError{Op: "dial", Net: "tcp", Addr: net.TCPAddrFromAddrPort(at), Err: syscall.ECONNREFUSED}

	switch n.cutBetween(from, at) {
	case Silent:
		if err := n.awaitHealed(ctx, from, at); err != nil {
			return nil, err
		}
	case Reset, Refuse:
		return nil, refused
	case Whole, Break, Still:
	}

	n.mu.Lock()
	l := n.listeners[at]
	n.mu.Unlock()

	if l == nil {
		return nil, refused
	}

	near, far := net.Pipe()
	near, far = n.delay(near, far, from, at)

	select {
	case l.accepted <- far:
		if n.cutBetween(from, at) == Break {
			reset(near)
		}

		return near, nil
	case <-l.closed:
		near.Close()

		return nil, refused
	case <-ctx.Done():
		near.Close()

		return nil, ctx.Err()
	}
}

// reset resets a connection that has just opened.
func reset(c net.Conn) {
	if d, ok := c.(dialled); ok {
		d.reset.Store(true)
		_ = d.Conn.Close() // Both ends then fail.

		return
	}

	_ = c.Close()
}

// Client returns an HTTP client on the network, which opens a connection for each request.
func (n *Network) Client() *http.Client { return n.ClientFrom(netip.AddrPort{}) }

// ClientFrom does the same for the process whose own address is from.
func (n *Network) ClientFrom(from netip.AddrPort) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			at, err := netip.ParseAddrPort(address)
			if err != nil {
				return nil, err
			}

			return n.DialFrom(ctx, from, at)
		},
	}}
}

// listener implements net.Listener.
type listener struct {
	network  *Network
	at       netip.AddrPort
	accepted chan net.Conn
	once     sync.Once
	closed   chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		delete(l.network.listeners, l.at)
		l.network.mu.Unlock()
		close(l.closed)
	})

	return nil
}

func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.at) }
