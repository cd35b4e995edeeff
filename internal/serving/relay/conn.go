package relay

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

const (
	// dialTimeout bounds the opening of a connection to a target: two data
	// centres are a millisecond apart, and a lost first packet is sent again
	// after a second.
	dialTimeout = 1100 * time.Millisecond
	// maxIdleTime is how long an idle connection is kept when the target does
	// not say, and idleMargin how long before the target's own time it is
	// dropped, so that a request does not cross the target's close.
	maxIdleTime   = 2 * time.Second
	idleMargin = 500 * time.Millisecond
	// maxHeadBytes bounds the bytes of an answer's head.
	maxHeadBytes = 64 << 10
	// maxIdleConns bounds the idle connections to one target.
	maxIdleConns = 8
)

// targetKey names a target's process at an address.
type targetKey struct {
	id      instance.ID
	address netip.AddrPort
}

// conn is a connection to a target. One request at a time is on it.
type conn struct {
	net.Conn

	key targetKey
	// head bounds what is read of an answer's head.
	head  *io.LimitedReader
	r     *bufio.Reader
	w     *bufio.Writer
	uses  int
	idleSince time.Time
	idleTimeout  time.Duration
}

// Pool keeps idle connections to targets. The zero value dials plain TCP.
type Pool struct {
	// Dial opens a connection. Nil means a dialer with short keep-alives.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

	mu   sync.Mutex
	idle map[targetKey][]*conn
}

// get returns an idle connection, or a new one. A request that may not be
// repeated asks for a new one, because an answer to an earlier request may
// still be on its way on any other.
func (p *Pool) get(ctx context.Context, key targetKey, fresh bool) (*conn, error) {
	for !fresh {
		c := p.takeIdle(key)
		if c == nil {
			break
		}

		if c.usable(time.Now()) {
			return c, nil
		}

		c.Close()
	}

	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()

	dial := p.Dial
	if dial == nil {
		dial = Dial
	}

	nc, err := dial(ctx, key.address)
	if err != nil {
		return nil, err
	}

	c := &conn{Conn: nc, key: key, head: &io.LimitedReader{R: nc}}
	c.r, c.w = bufio.NewReader(c.head), bufio.NewWriter(nc)

	return c, nil
}

func (p *Pool) takeIdle(key targetKey) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()

	list := p.idle[key]
	if len(list) == 0 {
		return nil
	}

	c := list[len(list)-1]
	p.idle[key] = list[:len(list)-1]

	return c
}

// put keeps a connection on which the last answer was read to its end.
func (p *Pool) put(c *conn, keep time.Duration) {
	c.idleSince, c.idleTimeout = time.Now(), maxIdleTime
	if keep > 0 {
		c.idleTimeout = min(maxIdleTime, keep-idleMargin)
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	if c.r.Buffered() > 0 || c.idleTimeout <= 0 || len(p.idle[c.key]) >= maxIdleConns {
		c.Close()

		return
	}

	if p.idle == nil {
		p.idle = make(map[targetKey][]*conn)
	}

	p.idle[c.key] = append(p.idle[c.key], c)
}

// Sweep closes the connections that have been idle for too long.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()

	for key, list := range p.idle {
		kept := list[:0]

		for _, c := range list {
			if now.Sub(c.idleSince) < c.idleTimeout {
				kept = append(kept, c)
			} else {
				c.Close()
			}
		}

		if p.idle[key] = kept; len(kept) == 0 {
			delete(p.idle, key)
		}
	}
}

// usable reports whether nothing has come in on an idle connection: neither
// its end nor bytes, which would be taken for the answer to the next request.
func (c *conn) usable(now time.Time) bool {
	if now.Sub(c.idleSince) >= c.idleTimeout {
		return false
	}

	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}

	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}

	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte

		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = n <= 0 && errors.Is(err, syscall.EAGAIN)

		return true
	})

	return err == nil && quiet
}

const (
	// keepAliveInterval and keepAliveCount bound the life of a connection that
	// went silent: the other end is asked after a second and given up after
	// two more.
	keepAliveInterval = time.Second
	keepAliveCount = 2
	// userTimeout bounds how long sent bytes may stay unacknowledged.
	userTimeout = 3 * time.Second
	// tcpUserTimeout is Linux's option, which package syscall does not name.
	tcpUserTimeout = 18
)

// KeepAlive is how silent connections are found on all connections of a
// process.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount}
}

// Control bounds how long bytes may stay unacknowledged on a socket.
//
// It guards against connections that go silent without a reset: a peer behind
// a partition answers nothing, and a write alone would wait for minutes.
func Control(_, _ string, c syscall.RawConn) error {
	var failed error

	err := c.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})

	return errors.Join(err, failed)
}

// Dialer returns a dialer whose connections find out when their other end is
// silent.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: KeepAlive(), Control: Control}
}

// Dial opens a connection to a target.
func Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	return Dialer(dialTimeout).DialContext(ctx, "tcp", address.String())
}
