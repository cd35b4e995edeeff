package soak

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// Trouble is what a proxy does to the connections through it.
type Trouble int

// The troubles of a link.
const (
	// Calm passes everything on.
	Calm Trouble = iota
	// Slow holds every piece for slowBy.
	Slow
	// Silent passes nothing on, in either way, and resets nothing.
	Silent
	// OneWay passes on what is sent and nothing of what is answered.
	OneWay
	// Reset resets all connections, and new ones at once.
	Reset
)

// slowBy is how long a slow link holds a piece: fifty times what the users'
// store takes for an answer.
const slowBy = 200 * time.Millisecond

// proxy stands on loopback before one address.
type proxy struct {
	to netip.AddrPort
	l  net.Listener

	mu      sync.Mutex
	trouble Trouble
	conns   map[net.Conn]bool
	// changed is closed when the trouble changes.
	changed chan struct{}
}

func newProxy(to netip.AddrPort) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}

	p := &proxy{to: to, l: l, conns: make(map[net.Conn]bool), changed: make(chan struct{})}

	go p.accept()

	return p, nil
}

func (p *proxy) address() (netip.AddrPort, error) { return netip.ParseAddrPort(p.l.Addr().String()) }

// set begins a trouble and ends the one before. What a silent link held back
// is passed on then, as behind a cut that its ends outlast.
func (p *proxy) set(t Trouble) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if t == Reset {
		for c := range p.conns {
			reset(c)
		}
	}

	p.trouble = t
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *proxy) state() (Trouble, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.trouble, p.changed
}

func (p *proxy) close() {
	_ = p.l.Close()

	p.set(Reset)
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // On a closed connection there is nothing to reset.
	}

	_ = c.Close()
}

func (p *proxy) accept() {
	for {
		c, err := p.l.Accept()
		if err != nil {
			return
		}

		go p.link(c)
	}
}

func (p *proxy) link(near net.Conn) {
	if t, _ := p.state(); t == Reset {
		reset(near)

		return
	}

	far, err := net.Dial("tcp", p.to.String())
	if err != nil {
		reset(near)

		return
	}

	p.mu.Lock()
	p.conns[near], p.conns[far] = true, true
	p.mu.Unlock()

	var both sync.WaitGroup

	both.Go(func() { p.pass(far, near, Silent) })
	both.Go(func() { p.pass(near, far, Silent, OneWay) })
	both.Wait()

	p.mu.Lock()
	delete(p.conns, near)
	delete(p.conns, far)
	p.mu.Unlock()
}

// pass copies one way, but for what comes during the troubles given.
func (p *proxy) pass(to, from net.Conn, mute ...Trouble) {
	buf := make([]byte, 32<<10) //nolint:mnd // As io.Copy's.

	for {
		n, err := from.Read(buf)

		for {
			t, changed := p.state()
			if !slices.Contains(mute, t) {
				break
			}

			<-changed
		}

		if t, _ := p.state(); t == Slow {
			time.Sleep(slowBy)
		}

		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}

		if err == nil {
			continue
		}

		if errors.Is(err, io.EOF) {
			_ = to.Close()
		} else {
			reset(to)
		}

		_ = from.Close()

		return
	}
}
