package soak

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Trouble is a fault of a link.
type Trouble int

// The faults of a link.
const (
	// Calm forwards everything.
	Calm Trouble = iota
	// Slow delays all data by slowBy.
	Slow
	// Silent forwards nothing in either direction and resets nothing.
	Silent
	// OneWay forwards requests and no answers.
	OneWay
	// Reset resets all connections, also new ones.
	Reset
	// Refuse resets new connections.
	Refuse
)

func (t Trouble) String() string {
	return [...]string{Calm: "calm", Slow: "slow", Silent: "silent", OneWay: "silent in one direction", Reset: "reset", Refuse: "refused"}[t]
}

// slowBy is the delay of a slow link: fifty times the response time of the users'
// store.
const slowBy = 200 * time.Millisecond

// proxy is a TCP proxy on loopback for one address.
type proxy struct {
	to netip.AddrPort
	// at is the proxy's own address, and l its listener while it accepts connections.
	at netip.AddrPort
	l  net.Listener

	// owner returns the process that has opened a connection. If it is nil, none is known.
	owner func(net.Conn) string
	// acceptTime is how long it takes to accept a connection, in nanoseconds.
	acceptTime atomic.Int64
	// smallBuffers says that links hold little of what is sent, as those between machines do.
	smallBuffers atomic.Bool
	// opened counts the connections that were accepted.
	opened atomic.Int64

	mu      sync.Mutex
	trouble Trouble
	// cuts are the faults for the connections of single processes.
	cuts map[string]Trouble
	// conns are the connections that were accepted, with the process that has opened each,
	// empty if it is not known.
	conns map[net.Conn]string
	// accepted is when they were.
	accepted map[net.Conn]time.Time
	// changed is closed when the trouble changes.
	changed chan struct{}
}

func newProxy(to netip.AddrPort, owner func(net.Conn) string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}

	at, err := netip.ParseAddrPort(l.Addr().String())
	if err != nil {
		return nil, errors.Join(err, l.Close())
	}

	p := &proxy{to: to, at: at, l: l, owner: owner, cuts: make(map[string]Trouble), conns: make(map[net.Conn]string), accepted: make(map[net.Conn]time.Time), changed: make(chan struct{})}

	go p.accept(l)

	return p, nil
}

func (p *proxy) address() (netip.AddrPort, error) { return p.at, nil }

// end resets all connections and refuses new ones, as when the process behind has ended.
func (p *proxy) end() {
	p.endSparing(0)
}

// endSparing does the same but leaves the connections of the last moment, which a process that is
// dying may still answer.
func (p *proxy) endSparing(moment time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()

	_ = p.l.Close() // It may have ended already.

	for c := range p.conns {
		if time.Since(p.accepted[c]) >= moment {
			reset(c)
		}
	}

	p.change(Reset)
}

// startNext accepts connections again after end, or resets those of before.
func (p *proxy) startNext() error {
	p.set(Reset)
	p.set(Calm)

	l, err := net.Listen("tcp", p.at.String())
	if errors.Is(err, syscall.EADDRINUSE) {
		return nil // It had not ended.
	}

	if err != nil {
		return err
	}

	p.mu.Lock()
	p.l = l
	p.mu.Unlock()

	go p.accept(l)

	return nil
}

// set begins a fault and ends the one before. It then forwards the data that a silent
// link held back, as after a partition that the connections survive.
func (p *proxy) set(t Trouble) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if t == Reset {
		for c := range p.conns {
			reset(c)
		}
	}

	p.change(t)
}

// change records a fault and tells the connections. The caller holds the lock.
func (p *proxy) change(t Trouble) {
	p.trouble = t
	close(p.changed)
	p.changed = make(chan struct{})
}

// cut does the same for the connections of one process.
func (p *proxy) cut(process string, t Trouble) {
	p.mu.Lock()
	p.cuts[process] = t
	unknown := p.withoutOwner()
	p.mu.Unlock()

	// It takes some milliseconds to find the owners.
	owners := make(map[net.Conn]string)
	for _, c := range unknown {
		owners[c] = p.owner(c)
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	for c, owner := range owners {
		if _, open := p.conns[c]; open {
			p.conns[c] = owner
		}
	}

	if t == Reset {
		for c, from := range p.conns {
			if from == process {
				reset(c)
			}
		}
	}

	close(p.changed)
	p.changed = make(chan struct{})
}

// withoutOwner returns the connections whose owner is not known. The caller holds the lock.
func (p *proxy) withoutOwner() []net.Conn {
	var out []net.Conn

	for c, owner := range p.conns {
		if owner == "" {
			out = append(out, c)
		}
	}

	return out
}

// ownerOf returns the process that has opened a new connection, if some process is cut off.
func (p *proxy) ownerOf(c net.Conn) string {
	p.mu.Lock()
	cutting := false

	for _, t := range p.cuts {
		cutting = cutting || t != Calm
	}
	p.mu.Unlock()

	if !cutting {
		return ""
	}

	return p.owner(c)
}

// state returns the fault of a connection.
func (p *proxy) state(near net.Conn) (Trouble, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if t := p.cuts[p.conns[near]]; t != Calm {
		return t, p.changed
	}

	return p.trouble, p.changed
}

func (p *proxy) close() { p.end() }

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // On a closed connection there is nothing to reset.
	}

	_ = c.Close()
}

func (p *proxy) accept(l net.Listener) {
	for {
		time.Sleep(time.Duration(p.acceptTime.Load()))

		c, err := l.Accept()
		if err != nil {
			return
		}

		p.opened.Add(1)

		go p.link(c)
	}
}

func (p *proxy) link(near net.Conn) {
	p.mu.Lock()
	p.conns[near], p.accepted[near] = "", time.Now()
	p.mu.Unlock()

	defer p.forget(near)

	if owner := p.ownerOf(near); owner != "" {
		p.mu.Lock()
		p.conns[near] = owner
		p.mu.Unlock()
	}

	if t, _ := p.state(near); t == Reset || t == Refuse {
		reset(near)

		return
	}

	far, err := net.Dial("tcp", p.to.String())
	if err != nil {
		reset(near)

		return
	}

	if p.smallBuffers.Load() {
		bound(near, far)
	}

	var both sync.WaitGroup

	both.Go(func() { p.pass(near, far, near, Silent) })
	both.Go(func() { p.pass(near, near, far, Silent, OneWay) })
	both.Wait()
}

// linkBuffer is the size of small buffers, in bytes.
const linkBuffer = 64 << 10

// bound makes the buffers between two connections small.
func bound(near, far net.Conn) {
	if c, ok := near.(*net.TCPConn); ok {
		_ = c.SetReadBuffer(linkBuffer) // It fails if the connection is closed already.
	}

	if c, ok := far.(*net.TCPConn); ok {
		_ = c.SetWriteBuffer(linkBuffer) // As above.
	}
}

func (p *proxy) forget(near net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()

	delete(p.conns, near)
	delete(p.accepted, near)
}

// pass copies in one direction, except during the given faults.
func (p *proxy) pass(near, to, from net.Conn, mute ...Trouble) {
	buf := make([]byte, 32<<10) //nolint:mnd // As io.Copy's.

	for {
		n, err := from.Read(buf)

		for {
			t, changed := p.state(near)
			if !slices.Contains(mute, t) {
				break
			}

			<-changed
		}

		if t, _ := p.state(near); t == Slow {
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
