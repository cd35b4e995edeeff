package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/serving/route"
)

// TestClientClosesAfterUnreadBytes covers a client that sends a request and,
// on the same connection, the beginning of another, then closes. The HTTP
// server reads no further than the second request's beginning while it handles
// the first, so it does not notice the close. The target must still be stopped
// within half a second, not at the deadline.
func TestClientClosesAfterUnreadBytes(t *testing.T) {
	requestReceived, connClosed := make(chan struct{}), make(chan struct{})
	f := newFixture(t, func(_ int, _ call, _ io.Writer, c net.Conn) {
		close(requestReceived)

		_, _ = io.Copy(io.Discard, c) // Returns when the entry closes the connection.

		close(connClosed)
	}, route.Route{Kind: route.Stream, Timeout: 9 * time.Second})

	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)

	front := &http.Server{Handler: f.server, ConnContext: WithConn, ReadHeaderTimeout: time.Second}
	go func() { _ = front.Serve(l) }()

	defer func() { _ = front.Close() }()

	c, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)

	_, err = fmt.Fprint(c, "POST /p/ HTTP/1.1\r\nHost: host\r\nId: q\r\nLeft: 8000\r\nContent-Length: 0\r\n\r\n")
	assert.NilError(t, err)

	<-requestReceived

	_, err = fmt.Fprint(c, "POST /p/ HT")
	assert.NilError(t, err)
	// The server must have read these bytes before the client closes; otherwise
	// it would notice the close.
	time.Sleep(50 * time.Millisecond)
	assert.NilError(t, c.Close())

	select {
	case <-connClosed:
	case <-time.After(4 * time.Second):
		t.Fatal("the target still worked after its client had left")
	}
}

// slowConn is a client's connection whose state takes half of closeCheckInterval
// to read.
type slowConn struct {
	net.Conn

	// checks counts how often the state was read.
	checks *atomic.Int64
}

func (s slowConn) SyscallConn() (syscall.RawConn, error) { return slowRawConn{checks: s.checks}, nil }

// slowRawConn is the raw connection of a slowConn.
type slowRawConn struct {
	syscall.RawConn

	checks *atomic.Int64
}

func (r slowRawConn) Control(func(uintptr)) error {
	r.checks.Add(1)
	time.Sleep(closeCheckInterval / 2)

	return net.ErrClosed
}

// TestWatchCloseEndsWithRequest covers a request that ends during a check of its
// client's connection. The checks must end with it; otherwise each request would
// leave a check behind that runs five times a second for the life of the process.
func TestWatchCloseEndsWithRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var checks atomic.Int64

		ctx, cancel := context.WithCancel(WithConn(t.Context(), slowConn{checks: &checks}))
		end := watchClose(ctx, func() { t.Error("the client has not closed its connection") })

		time.Sleep(closeCheckInterval + closeCheckInterval/4) // During the first check.
		end()
		cancel()
		time.Sleep(time.Minute)
		assert.Equal(t, checks.Load(), int64(1))
	})
}
