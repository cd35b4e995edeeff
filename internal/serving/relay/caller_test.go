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

// TestCallerLeavesBehindBytes: a caller sends a request and, behind it on the
// same connection, the beginning of another, then closes. The HTTP server does
// not read on while it answers, so it does not see the close. The target must
// still be left within half a second, not at the deadline.
func TestCallerLeavesBehindBytes(t *testing.T) {
	asked, left := make(chan struct{}), make(chan struct{})
	w := newFixture(t, func(_ int, _ call, _ io.Writer, c net.Conn) {
		close(asked)

		_, _ = io.Copy(io.Discard, c) // It returns when the entry closes.

		close(left)
	}, route.Route{Kind: route.Stream, Timeout: 9 * time.Second})

	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)

	front := &http.Server{Handler: w.server, ConnContext: WithCaller, ReadHeaderTimeout: time.Second}
	go func() { _ = front.Serve(l) }()

	defer func() { _ = front.Close() }()

	c, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)

	_, err = fmt.Fprint(c, "POST /p/ HTTP/1.1\r\nHost: host\r\nId: q\r\nLeft: 8000\r\nContent-Length: 0\r\n\r\n")
	assert.NilError(t, err)

	<-asked

	_, err = fmt.Fprint(c, "POST /p/ HT")
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond) // So that the server takes these bytes before it could see the close.
	assert.NilError(t, c.Close())

	select {
	case <-left:
	case <-time.After(4 * time.Second):
		t.Fatal("the target was still at work when its caller had left")
	}
}

// slowConn is a caller's connection whose state takes a while to be read.
type slowConn struct {
	net.Conn

	looks *atomic.Int64
}

func (s slowConn) SyscallConn() (syscall.RawConn, error) { return slowRawConn{looks: s.looks}, nil }

// slowRawConn is its raw side.
type slowRawConn struct {
	syscall.RawConn

	looks *atomic.Int64
}

func (r slowRawConn) Control(func(uintptr)) error {
	r.looks.Add(1)
	time.Sleep(closeCheckInterval / 2)

	return net.ErrClosed
}

// TestWatchEnds: a request ends while a look at its caller's connection is on
// its way. The looks must end with it; each one left behind would go on five
// times a second for as long as the process lives.
func TestWatchEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var looks atomic.Int64

		ctx, cancel := context.WithCancel(WithCaller(t.Context(), slowConn{looks: &looks}))
		end := watchClose(ctx, func() { t.Error("the caller is still there") })

		time.Sleep(closeCheckInterval + closeCheckInterval/4) // In the middle of the first look.
		end()
		cancel()
		time.Sleep(time.Minute)
		assert.Equal(t, looks.Load(), int64(1))
	})
}
