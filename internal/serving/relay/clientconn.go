package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/fulmarcross/fulmarcross/internal/serving/memory"
)

const (
	// stallTimeout is how long a client may read nothing while a write to it is
	// blocked, until it is disconnected. Targets abort answers that stay unread for
	// longer.
	stallTimeout = 4 * time.Second
	// unseenReading is how much longer the send queue may stay unchanged. A client's
	// kernel reports what was read in steps of 2 to 5 KB, which take a client of 1 KB/s
	// up to 5.3 s. The first step after its receive buffer was filled may be half of
	// the buffer; a client that needs longer for it cannot be told from one that reads
	// nothing.
	unseenReading = 1500 * time.Millisecond
	// firstStallCheck is how long a write is blocked until the send queue is read for
	// the first time. The time without progress counts from then, so it bounds the
	// error of that time.
	firstStallCheck = 100 * time.Millisecond
	// stallCheckInterval is the time between two checks of a blocked write. With a
	// thousand blocked writes, checks take about a hundredth of a core.
	stallCheckInterval = 400 * time.Millisecond
	// sendBuffer is the size of the send buffer of a client's socket, which the kernel
	// doubles for its overhead. It bounds what the kernel holds for a client. An answer
	// of 600 events of 60 bytes fits, so writes of it are not blocked by a slow client
	// and its target can finish.
	sendBuffer = 32 << 10
	// maxSegment is the largest TCP segment that clients are sent. A client whose
	// receive window is closed reports progress only when it has read a segment;
	// those of the loopback interface have 64 KB. It is the size of segments on
	// Ethernet.
	maxSegment = 1460
)

// StalledClientError reports that a client was disconnected because it read nothing
// for a time.
type StalledClientError struct {
	For time.Duration
	// MemoryShort is set if it was disconnected before stallTimeout because memory was
	// short.
	MemoryShort bool
}

func (e *StalledClientError) Error() string {
	if e.MemoryShort {
		return fmt.Sprintf("client cut off: memory is short, and it read nothing for %v", e.For.Round(time.Millisecond))
	}

	return fmt.Sprintf("client cut off: it read nothing for %v", e.For.Round(time.Millisecond))
}

// Listener returns a listener for clients' connections. If s.CutOffStalled is set, its
// connections disconnect clients that do not read; otherwise it returns l.
func (s *Server) Listener(l net.Listener) net.Listener {
	if !s.CutOffStalled {
		return l
	}

	if sc, ok := l.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, maxSegment) })
		}
	}

	s.Memory.OnShort = func(held, limit int64) {
		s.Log.Warn().Int64("held", held).Int64("limit", limit).Msg("memory short")
	}

	return &clientListener{Listener: l, server: s}
}

type clientListener struct {
	net.Listener

	server *Server
}

// Accept implements net.Listener.
func (l *clientListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}

	return l.server.newClientConn(c), nil
}

// clientConn is a client's connection. A write to it fails with a
// *StalledClientError if the client reads nothing for stallTimeout.
type clientConn struct {
	net.Conn

	server *Server
	// raw is nil if the connection is not a socket.
	raw  syscall.RawConn
	held *memory.Holding
	// cut is set once the client has been cut off.
	cut atomic.Bool
	// reclaimed is set, to how long the client had read nothing, once it is to be cut
	// off because memory is short.
	reclaimed atomic.Int64

	mu sync.Mutex
	// id and team are those of the last request on the connection.
	id, team string
}

func (s *Server) newClientConn(nc net.Conn) *clientConn {
	c := &clientConn{Conn: nc, server: s}

	if sc, ok := nc.(syscall.Conn); ok {
		c.raw, _ = sc.SyscallConn() // It fails if the connection is closed already.
	}

	if c.raw != nil {
		_ = c.raw.Control(func(fd uintptr) {
			// They fail only on sockets that are not TCP, which lack these bounds.
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBuffer)
			// With a limit, the kernel closes connections of slow readers: it does not
			// restart the time if the receive window opens by less than a segment.
			// clientSilent detects unresponsive clients instead.
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, 0)
		})
	}

	c.held = s.Memory.Open(connBytes, c.reclaim)

	return c
}

// Close implements net.Conn.
func (c *clientConn) Close() error {
	c.held.Close()

	return c.Conn.Close()
}

// CloseWrite lets the server end an answer before it closes the connection.
func (c *clientConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}

	return nil
}

// reclaim makes the write that is blocked fail, or, if stalled is zero, closes the
// connection, which is idle.
func (c *clientConn) reclaim(stalled time.Duration) {
	if stalled == 0 {
		c.server.Log.Warn().Str("reason", "idle").Msg("client cut off")
		c.server.countCutOff("idle")
		c.Conn.Close()

		return
	}

	c.reclaimed.Store(int64(stalled))
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // It fails if the connection is closed already.
}

// clientConnOf returns the client's connection of a request, or nil if it is not
// watched for progress.
func clientConnOf(ctx context.Context) *clientConn {
	c, _ := ctx.Value(connKey{}).(*clientConn)

	return c
}

// begin records which request the connection serves and returns what is held for it,
// counted for the customer. c may be nil; then it returns nil.
func (c *clientConn) begin(id, team, customer string) *memory.Holding {
	if c == nil {
		return nil
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	c.id, c.team = id, team
	c.held.SetTeam(customer)

	return c.held
}

// SyscallConn implements syscall.Conn.
func (c *clientConn) SyscallConn() (syscall.RawConn, error) {
	if c.raw == nil {
		return nil, net.ErrClosed
	}

	return c.raw, nil
}

// Write implements net.Conn.
func (c *clientConn) Write(b []byte) (int, error) {
	if err := c.reclaimError(0); err != nil {
		return 0, err
	}

	if err := c.SetWriteDeadline(time.Now().Add(firstStallCheck)); err != nil {
		return 0, err
	}

	n, err := c.Conn.Write(b)
	if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}

	return c.writeBlocked(b, n)
}

// writeBlocked continues a blocked write of which n bytes were written, as long as
// the client reads.
func (c *clientConn) writeBlocked(b []byte, n int) (int, error) {
	progressed := time.Now()
	queued, known := c.unacked()
	queue := memory.Buffer{Holding: c.held}

	defer queue.SetSize(0)
	defer c.held.Progressed()

	for {
		queue.SetSize(queued)
		c.held.Stalled(progressed)

		if err := c.SetWriteDeadline(time.Now().Add(stallCheckInterval)); err != nil {
			return n, err
		}

		if err := c.reclaimError(queued); err != nil {
			return n, err
		}

		written, err := c.Conn.Write(b[n:])
		n += written

		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}

		left, stillKnown := c.unacked()
		// What the client has acknowledged is what left the send queue. Without a
		// send queue, bytes that were accepted show progress.
		if known && stillKnown && queued+written > left || !known && written > 0 {
			progressed = time.Now()
		}

		queued = left

		if idle := time.Since(progressed); idle >= stallTimeout+unseenReading {
			c.cutOff(idle, left, "stalled")

			return n, &StalledClientError{For: idle}
		}
	}
}

// reclaimError cuts the client off if that was requested because memory is short, and
// returns the error then.
func (c *clientConn) reclaimError(queued int) error {
	stalled := time.Duration(c.reclaimed.Load())
	if stalled == 0 {
		return nil
	}

	c.cutOff(stalled, queued, "memory")

	return &StalledClientError{For: stalled, MemoryShort: true}
}

// unacked returns the number of bytes that were written and that the client has not
// acknowledged.
func (c *clientConn) unacked() (int, bool) {
	if c.raw == nil {
		return 0, false
	}

	var (
		queued int
		err    error
	)

	ctrlErr := c.raw.Control(func(fd uintptr) { queued, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })

	return queued, ctrlErr == nil && err == nil
}

// answerTime is how long a client's kernel may take to acknowledge a segment.
const answerTime = 500 * time.Millisecond

// clientSilent reports whether a client's kernel has acknowledged nothing for
// userTimeout and did not answer the last segment sent.
//
// The time alone does not show it: a client that does not read answers every segment,
// also those that it has to drop, but the time between them grows to several seconds.
func clientSilent(info *unix.TCPInfo) bool {
	sinceAck := time.Duration(info.Last_ack_recv) * time.Millisecond
	sinceSent := time.Duration(info.Last_data_sent) * time.Millisecond

	return info.Unacked > 0 && sinceAck >= userTimeout && sinceSent >= answerTime && sinceAck > sinceSent+answerTime
}

// cutOff logs and counts the cut-off of the client. When the connection is then
// closed, the kernel drops its send queue.
func (c *clientConn) cutOff(idle time.Duration, queued int, reason string) {
	if c.cut.Swap(true) {
		return
	}

	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // It fails if the connection is closed already.
	}

	c.mu.Lock()
	id, team := c.id, c.team
	c.mu.Unlock()

	c.server.Log.Warn().Str("id", id).Str("team", team).Dur("idle", idle).Str("reason", reason).Int64("held", c.held.Held()).Int("queued", queued).Msg("client cut off")
	c.server.countCutOff(reason)
}

// countCutOff counts a client that was cut off.
func (s *Server) countCutOff(reason string) {
	if s.Metrics != nil {
		s.Metrics.Tagged(map[string]string{"reason": reason}).Counter("clients_cut_off").Inc(1)
	}
}
