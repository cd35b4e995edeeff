package frame

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"errors"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestCloseDuringDial: a peer lost power and is listed again with a new process
// while a dial to the old one hangs. Whoever replaces the way to it closes the
// old one under a lock that every request needs; that waited for the dial, and
// all callers of the entry stood still for a second.
func TestCloseDuringDial(t *testing.T) {
	// A listener that never speaks makes the handshake hang.
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)

	defer func() { _ = l.Close() }()

	c := &Caller{Address: netip.MustParseAddrPort(l.Addr().String()), TLS: &tls.Config{MinVersion: tls.VersionTLS13}}
	ended := make(chan error, 1)

	go func() { ended <- c.Call(t.Context(), "Peer.Greet", 1, new(int)) }()

	conn, err := l.Accept()
	assert.NilError(t, err)

	defer func() { _ = conn.Close() }()

	began := time.Now()

	c.Close()
	assert.Assert(t, time.Since(began) < dialTimeout/2, "closed after %s", time.Since(began))
	assert.Assert(t, <-ended != nil)
}

// TestClosedWhileDialling: a connection that is made after its caller was
// closed must not become the current one, since nobody would close it.
func TestClosedWhileDialling(t *testing.T) {
	var (
		c      Caller
		closed *ClosedError
	)

	_, _, before := c.begin()
	c.end()

	c.Close()
	assert.Assert(t, errors.As(c.keep(&rpc.Client{}, before), &closed))

	client, dialing, now := c.begin()
	c.end()
	assert.Assert(t, client == nil && dialing == nil)
	assert.NilError(t, c.keep(&rpc.Client{}, now))
}

// TestCallOutlastsItsContext guards against a call that waits for another call's dial to a silent peer for longer than its own context lasts.
func TestCallOutlastsItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &Caller{Dial: func(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
			<-ctx.Done()

			return nil, ctx.Err()
		}}

		go func() { _ = c.Call(t.Context(), "Peer.Greet", 1, new(int)) }() // Its dial hangs.

		synctest.Wait()

		ctx, cancel := context.WithTimeout(t.Context(), dialTimeout/10)
		defer cancel()

		began := time.Now()

		assert.Assert(t, c.Call(ctx, "Peer.Greet", 1, new(int)) != nil)
		assert.Equal(t, time.Since(began), dialTimeout/10)
		time.Sleep(dialTimeout)
	})
}

// Echo answers with what it is given.
type Echo struct{}

// Same is the remote call.
func (Echo) Same(in []byte, out *[]byte) error {
	*out = in

	return nil
}

// Messages were counted without their bodies.
func TestCount(t *testing.T) {
	const (
		size     = 10_000
		headMost = 100
	)

	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)

	defer func() { _ = l.Close() }()

	go func() { _ = Serve(t.Context(), l, "Echo", Echo{}) }() // Ends with the listener.

	var (
		mu  sync.Mutex
		got []int
	)

	c := &Caller{Address: netip.MustParseAddrPort(l.Addr().String()), Count: func(method string, bytes int) {
		mu.Lock()
		defer mu.Unlock()

		assert.Check(t, method == "Echo.Same", method)

		got = append(got, bytes)
	}}
	defer c.Close()

	var out []byte

	in := make([]byte, size)
	_, _ = rand.Read(in) // Does not get smaller when it is compressed.

	assert.NilError(t, c.Call(t.Context(), "Echo.Same", in, &out))
	assert.DeepEqual(t, out, in)

	mu.Lock()
	defer mu.Unlock()

	assert.Equal(t, len(got), 2, "the call and its answer")

	for _, n := range got {
		assert.Assert(t, n > size && n < size+headMost, "%d bytes", n)
	}

	// What repeats itself is told in short.
	got = nil

	mu.Unlock()
	assert.NilError(t, c.Call(t.Context(), "Echo.Same", make([]byte, size), &out))
	mu.Lock()
	assert.DeepEqual(t, out, make([]byte, size))

	for _, n := range got {
		assert.Assert(t, n < size/10, "%d bytes", n) //nolint:mnd // A tenth.
	}
}
