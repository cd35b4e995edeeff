package network

import (
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// silencePoll is how often a connection checks whether its address is still silent.
	silencePoll = 10 * time.Millisecond
	// maxQueued is the number of writes in transit on a connection.
	maxQueued = 4096
	// segmentSize is the number of bytes that arrive at a time.
	segmentSize = 1460
)

// Silence makes an address silent or ends that: connections to it stay open and deliver
// nothing in either direction, as if the process there were cut off. It has an effect
// only if Delay is set.
func (n *Network) Silence(at netip.AddrPort, silent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()

	if n.silent == nil {
		n.silent = make(map[netip.AddrPort]bool)
	}

	n.silent[at] = silent
}

func (n *Network) isSilent(at netip.AddrPort) bool {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.silent[at]
}

// SetRate limits what a process may send, and what it may receive, to so many bytes a
// second over all of its connections; zero ends that. The process is known by the address
// that it listens on or dials from. It has an effect only if Delay is set.
func (n *Network) SetRate(at netip.AddrPort, bytesPerSecond float64) {
	n.mu.Lock()
	defer n.mu.Unlock()

	if n.links == nil {
		n.links = make(map[netip.AddrPort]*link)
	}

	n.links[at] = &link{rate: bytesPerSecond}
}

// link is a process's link with a rate in bytes a second.
type link struct {
	rate float64
	// sentBy and receivedBy are when the link has sent and received what was given to it.
	sentBy, receivedBy time.Time
}

// transmit returns how long it takes until size bytes that are written now have left from
// and have arrived at to.
func (n *Network) transmit(from, to netip.AddrPort, size int) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()

	now := time.Now()
	done := now

	if l := n.links[from]; l != nil && l.rate > 0 {
		l.sentBy = later(l.sentBy, now).Add(l.time(size))
		done = l.sentBy
	}

	if l := n.links[to]; l != nil && l.rate > 0 {
		l.receivedBy = later(l.receivedBy, now).Add(l.time(size))
		done = later(done, l.receivedBy)
	}

	return done.Sub(now)
}

func (l *link) time(size int) time.Duration {
	return time.Duration(float64(size) / l.rate * float64(time.Second))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}

// Close ends the deliveries of all connections subject to a delay, also of those that
// nobody has closed, and waits for their end.
func (n *Network) Close() {
	n.over.Store(true)
	n.mu.Lock()

	for _, d := range n.ends {
		_ = d.Close()
		_ = d.Conn.Close() // A delivery may wait for a reader.
	}

	n.ends = nil
	n.mu.Unlock()

	n.deliveries.Wait()
}

// delayed is one end of a connection to an address. Writes return at once, as with TCP,
// and are delivered in their order after the network's delay.
//
// A write that waited would hold its writer's locks, for which other goroutines would wait,
// and simulated time does not advance while a goroutine waits for a lock.
type delayed struct {
	net.Conn

	network *Network
	// at is the address that was dialled.
	at netip.AddrPort
	// from is the address of the process that writes, and to that of the one that reads.
	from, to netip.AddrPort
	queue    chan []byte
	once     sync.Once
	closed   chan struct{}
	// ended and otherEnded are closed when this end and the other deliver nothing more.
	ended, otherEnded chan struct{}
	// reset is set when a partition resets the connection.
	reset atomic.Bool
}

// delay makes the two ends of a connection subject to the network's delay.
func (n *Network) delay(near, far net.Conn, from, at netip.AddrPort) (net.Conn, net.Conn) {
	if n.Delay == nil {
		return near, far
	}

	a, b := n.delayed(near, from, at), n.delayed(far, at, from)
	a.at, b.at = at, at
	a.otherEnded, b.otherEnded = b.ended, a.ended

	n.mu.Lock()
	n.ends = append(n.ends, a, b)
	n.mu.Unlock()

	n.deliveries.Go(a.deliver)
	n.deliveries.Go(b.deliver)

	return dialled{a}, b
}

func (n *Network) delayed(c net.Conn, from, to netip.AddrPort) *delayed {
	return &delayed{Conn: c, network: n, from: from, to: to, queue: make(chan []byte, maxQueued), closed: make(chan struct{}), ended: make(chan struct{})}
}

// Read fails after a reset as it does with TCP.
func (d *delayed) Read(p []byte) (int, error) {
	n, err := d.Conn.Read(p)
	if err != nil && d.reset.Load() {
		err = &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}
	}

	return n, err
}

func (d *delayed) Write(p []byte) (int, error) {
	select {
	case <-d.closed:
		return 0, net.ErrClosed
	case <-d.ended:
		return 0, net.ErrClosed
	case d.queue <- slices.Clone(p):
		return len(p), nil
	}
}

// Close delivers what has been written before the connection ends.
func (d *delayed) Close() error {
	d.once.Do(func() { close(d.closed) })

	return nil
}

func (d *delayed) deliver() {
	defer close(d.ended)
	defer d.Conn.Close()

	for {
		select {
		case p := <-d.queue:
			if !d.deliverOne(p) {
				return
			}

			continue
		default:
		}

		select {
		case p := <-d.queue:
			if !d.deliverOne(p) {
				return
			}
		case <-d.closed:
			if len(d.queue) == 0 {
				return
			}
		case <-d.otherEnded:
			return
		}
	}
}

// retransmitTime is how long a kernel sends again what a process has written before it closed the
// connection, as long as nothing is acknowledged.
const retransmitTime = 3 * time.Second

// awaitDelivery waits until no partition holds a write back any more. It reports false if the
// connection has ended, or has been closed for too long.
func (d *delayed) awaitDelivery() bool {
	var closedAt time.Time

	for {
		held, accepted := d.held()
		if !held {
			return true
		}

		select {
		case <-d.closed:
			if closedAt.IsZero() {
				closedAt = time.Now()
			}
		default:
		}

		if d.network.over.Load() || !accepted && !closedAt.IsZero() && time.Since(closedAt) >= retransmitTime {
			return false
		}

		select {
		case <-d.otherEnded:
			return false
		case <-time.After(silencePoll):
		}
	}
}

// deliverOne delivers one write. It reports false if the connection has ended.
func (d *delayed) deliverOne(p []byte) bool {
	time.Sleep(d.network.Delay())

	if !d.awaitDelivery() {
		return false
	}

	for segment := range slices.Chunk(p, segmentSize) {
		time.Sleep(d.network.transmit(d.from, d.to, len(segment)))

		if _, err := d.Conn.Write(segment); err != nil {
			return false
		}
	}

	return true
}
