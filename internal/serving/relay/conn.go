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
	"github.com/fulmarcross/fulmarcross/internal/serving/router"
	"github.com/fulmarcross/fulmarcross/internal/serving/statement"
	"github.com/fulmarcross/fulmarcross/internal/wire/message"
)

const (
	// dialTimeout limits how long a connection to a target may take to open.
	// Two data centres are a millisecond apart, and a lost first packet is
	// retransmitted after a second, so a connection opens in time even if its
	// first packet is lost.
	dialTimeout = 1100 * time.Millisecond
	// maxIdleTime is the longest time that an idle connection is kept, also if
	// the target states a longer one or none. See smallBatchIdleTime for targets that
	// are balanced by work. idleMargin is how long before the
	// target's idle timeout the entry closes the connection; otherwise a request
	// could be sent just as the target closes it.
	maxIdleTime = 2 * time.Second
	idleMargin  = 500 * time.Millisecond
	// maxHeadBytes limits the size of an answer's head.
	maxHeadBytes = 64 << 10
	// maxIdleConns limits the idle connections to one target.
	maxIdleConns = 8
)

// idleShare returns how many idle connections one of several entries may keep to a
// target that accepts maxConns from all of them: half of its share, so that the rest is
// left to requests, but one where each entry can have one. Zero for maxConns means that
// no limit is known.
func idleShare(maxConns, entries int) int {
	switch share := maxConns / max(1, entries); {
	case maxConns <= 0:
		return maxIdleConns
	case share < 2: //nolint:mnd // One connection cannot be halved.
		return share
	default:
		return min(maxIdleConns, share/2) //nolint:mnd // Half of the share.
	}
}

// targetKey identifies a target at an address.
type targetKey struct {
	id      instance.ID
	address netip.AddrPort
}

// conn is a connection to a target. It carries one request at a time.
type conn struct {
	net.Conn

	key targetKey
	// process is the target's process when the connection was opened.
	process statement.Process
	// limited is the reader under r. It limits how many bytes are read while an
	// answer's head is read.
	limited *io.LimitedReader
	r       *message.Reader
	w       *bufio.Writer
	// maxIdle limits the idle connections to the target, including this one, and
	// maxIdleTime the time that it is kept.
	maxIdle     int
	maxIdleTime time.Duration
	// target counts the connection while it is in the pool.
	target *router.Target
	// uses counts the requests sent on the connection.
	uses int
	// idleSince and idleTimeout are set while the connection is in the pool.
	idleSince   time.Time
	idleTimeout time.Duration
}

// Pool keeps idle connections to targets. The zero value dials plain TCP.
type Pool struct {
	// Dial opens a connection. If it is nil, the function Dial is used.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

	mu   sync.Mutex
	idle map[targetKey][]*conn
	// total is the number of connections in idle.
	total int
}

// Open opens a connection that is in no pool.
func (p *Pool) Open(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	if p.Dial != nil {
		return p.Dial(ctx, address)
	}

	return Dial(ctx, address)
}

// newConn returns a connection that is in no pool.
func newConn(nc net.Conn) *conn {
	c := &conn{Conn: nc, limited: &io.LimitedReader{R: nc}}
	c.r, c.w = message.NewReader(c.limited), bufio.NewWriter(nc)

	return c
}

// get returns an idle connection to the target, or a new one if there is none or unused
// is set. Requests that must not be retried use a new connection, because a late
// answer to an earlier request may still arrive on a reused one.
func (p *Pool) get(ctx context.Context, t *router.Target, unused bool) (*conn, error) {
	key := targetKey{t.ID, t.Address}

	for !unused {
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

	nc, err := p.Open(ctx, key.address)
	if err != nil {
		return nil, err
	}

	c := newConn(nc)
	c.key, c.target, c.maxIdle, c.maxIdleTime = key, t, maxIdleConns, maxIdleTime

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
	p.count(c, -1)

	return c
}

// put returns an unused connection, or one whose answer was read completely, to
// the pool. It closes the connection instead if bytes beyond the answer are
// buffered, if the target would close it within idleMargin, or if the pool has as
// many as it may, for the target or in all. timeout is how long the target keeps an idle
// connection open, or zero if that is unknown.
func (p *Pool) put(c *conn, timeout time.Duration) {
	c.idleSince, c.idleTimeout = time.Now(), c.maxIdleTime
	if timeout > 0 {
		c.idleTimeout = min(c.maxIdleTime, timeout-idleMargin)
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	if c.r.Buffered() > 0 || c.idleTimeout <= 0 || len(p.idle[c.key]) >= c.maxIdle || p.total >= maxTotalIdle() {
		c.Close()

		return
	}

	if p.idle == nil {
		p.idle = make(map[targetKey][]*conn)
	}

	p.idle[c.key] = append(p.idle[c.key], c)
	p.count(c, 1)
}

// CloseExpired closes the connections that have been idle for too long.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()

	for key, list := range p.idle {
		kept := list[:0]

		for _, c := range list {
			if now.Sub(c.idleSince) < c.idleTimeout {
				kept = append(kept, c)
			} else {
				p.count(c, -1)
				c.Close()
			}
		}

		if p.idle[key] = kept; len(kept) == 0 {
			delete(p.idle, key)
		}
	}
}

// usable reports whether an idle connection can carry another request: it has not
// been idle for too long, was not closed by the target, and has received no
// bytes, since those would be taken for the answer to the next request. Only the
// idle time is checked if the connection is not a syscall.Conn.
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

	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte

		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = n <= 0 && errors.Is(err, syscall.EAGAIN)

		return true
	})

	return err == nil && idle
}

const (
	// keepAliveInterval and keepAliveCount limit how long an unresponsive
	// connection stays open: after a second without traffic it is probed once a
	// second, and closed when two probes have gone unanswered.
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// userTimeout limits how long sent bytes may stay unacknowledged.
	userTimeout = 3 * time.Second
	// tcpUserTimeout is Linux's TCP_USER_TIMEOUT, which package syscall lacks.
	tcpUserTimeout = 18
)

// KeepAliveConfig returns the TCP keep-alive configuration for all connections of a
// process.
func KeepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount}
}

// SetUserTimeout sets a limit on how long sent bytes may stay unacknowledged on a
// socket.
//
// A partition can break a connection without a reset. Without this limit, a
// write would then block for minutes.
func SetUserTimeout(_, _ string, c syscall.RawConn) error {
	var optErr error

	err := c.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})

	return errors.Join(err, optErr)
}

// Dialer returns a dialer whose connections detect an unresponsive other end.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAliveConfig: KeepAliveConfig(), Control: SetUserTimeout}
}

// Dial opens a connection to a target.
func Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	return Dialer(dialTimeout).DialContext(ctx, "tcp", address.String())
}
