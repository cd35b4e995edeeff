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

// TestClientClosesBehindUnreadBytes covers a client that sends a request and,
// on the same connection, the beginning of another, then closes. The HTTP
// server does not read while it answers, so it does not notice the close. The
// target must still be stopped within half a second, not at the deadline.
func TestClientClosesBehindUnreadBytes(t *testing.T) {
	asked, left := make(chan struct{}), make(chan struct{})
	w := newFixture(t, func(_ int, _ call, _ io.Writer, c net.Conn) {
		close(asked)

		_, _ = io.Copy(io.Discard, c) // Returns when the entry closes the connection.

		close(left)
	}, route.Route{Kind: route.Stream, Timeout: 9 * time.Second})

	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)

	front := &http.Server{Handler: w.server, ConnContext: WithConn, ReadHeaderTimeout: time.Second}
	go func() { _ = front.Serve(l) }()

	defer func() { _ = front.Close() }()

	c, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)

	_, err = fmt.Fprint(c, "POST /p/ HTTP/1.1\r\nHost: host\r\nId: q\r\nLeft: 8000\r\nContent-Length: 0\r\n\r\n")
	assert.NilError(t, err)

	<-asked

	_, err = fmt.Fprint(c, "POST /p/ HT")
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond) // The server must read these bytes before it could notice the close.
	assert.NilError(t, c.Close())

	select {
	case <-left:
	case <-time.After(4 * time.Second):
		t.Fatal("the target still worked after its client had left")
	}
}

// slowConn is a client's connection whose state takes a while to read.
type slowConn struct {
	net.Conn

	looks *atomic.Int64
}

func (s slowConn) SyscallConn() (syscall.RawConn, error) { return slowRawConn{looks: s.looks}, nil }

// slowRawConn is the raw connection of a slowConn.
type slowRawConn struct {
	syscall.RawConn

	looks *atomic.Int64
}

func (r slowRawConn) Control(func(uintptr)) error {
	r.looks.Add(1)
	time.Sleep(closeCheckInterval / 2)

	return net.ErrClosed
}

// TestWatchEnds covers a request that ends during a check of its client's
// connection. The checks must end with it; otherwise each request would leave a
// check behind that runs five times a second for the life of the process.
func TestWatchEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var looks atomic.Int64

		ctx, cancel := context.WithCancel(WithConn(t.Context(), slowConn{looks: &looks}))
		end := watchClose(ctx, func() { t.Error("the client has not closed its connection") })

		time.Sleep(closeCheckInterval + closeCheckInterval/4) // During the first check.
		end()
		cancel()
		time.Sleep(time.Minute)
		assert.Equal(t, looks.Load(), int64(1))
	})
}
