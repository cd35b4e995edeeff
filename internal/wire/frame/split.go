package frame

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// firstByteTimeout is how long a new connection may take until its first byte.
const firstByteTimeout = 5 * time.Second

// Split splits the connections of a listener by their first byte: frames begin with zero,
// and requests of HTTP with a letter. Both listeners end with l.
func Split(l net.Listener) (frames, requests net.Listener) {
	s := &splitter{Listener: l, ended: make(chan struct{})}
	f, r := &part{splitter: s, conns: make(chan net.Conn)}, &part{splitter: s, conns: make(chan net.Conn)}

	go s.accept(f, r)

	return f, r
}

type splitter struct {
	net.Listener

	once  sync.Once
	err   error
	ended chan struct{}
}

// part is one of the listeners that Split returns. It implements net.Listener.
type part struct {
	*splitter

	conns chan net.Conn
}

// Accept implements net.Listener.
func (p *part) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.ended:
		return nil, p.err
	}
}

func (s *splitter) accept(frames, requests *part) {
	for {
		c, err := s.Accept()
		if err != nil {
			s.once.Do(func() {
				s.err = err
				close(s.ended)
			})

			return
		}

		go s.hand(c, frames, requests)
	}
}

// hand gives a connection to one of the listeners.
func (s *splitter) hand(c net.Conn, frames, requests *part) {
	peeked := &peekedConn{Conn: c, r: bufio.NewReader(c)}
	_ = c.SetReadDeadline(time.Now().Add(firstByteTimeout)) // Connections of tests may lack deadlines.

	first, err := peeked.r.Peek(1)
	if err != nil {
		_ = c.Close()

		return
	}

	_ = c.SetReadDeadline(time.Time{})

	to := frames
	if first[0] != 0 {
		to = requests
	}

	select {
	case to.conns <- peeked:
	case <-s.ended:
		_ = c.Close()
	}
}

// peekedConn is a connection of which some bytes have been read ahead.
type peekedConn struct {
	net.Conn

	r *bufio.Reader
}

// Read implements net.Conn.
func (c *peekedConn) Read(p []byte) (int, error) { return c.r.Read(p) }

// errNotSocket says that a connection is no socket.
var errNotSocket = errors.New("frame: no socket")

// SyscallConn implements syscall.Conn.
func (c *peekedConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errNotSocket
	}

	return sc.SyscallConn()
}
