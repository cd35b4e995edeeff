package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

var attempts atomic.Int64

// result is what a client got.
type result struct {
	status  int
	stamped bool
	body    string
	// whole says that the answer ended as its framing says.
	whole bool
	err   error
}

// attemptID returns the id of a client's attempt.
func attemptID() string { return fmt.Sprintf("%08x%08x", 0x9c41d07b, attempts.Add(1)) }

// ask sends one request on a new connection and reads the whole answer.
func ask(address, method, path, id string, header map[string]string, body string, deadline time.Duration) result {
	return askAndLeave(address, method, path, id, header, body, deadline, 0)
}

// askAndLeave does the same. If leave is not zero, the client leaves after that time: it closes
// its connection in order, that is, it ends its own side first and reads until the other side has
// ended, too, so that nothing is reset.
func askAndLeave(address, method, path, id string, header map[string]string, body string, deadline, leave time.Duration) result {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return result{err: err}
	}
	defer c.Close()

	_ = c.SetDeadline(time.Now().Add(deadline))

	var head strings.Builder

	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: rig.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", method, path, id, deadline.Milliseconds())

	for name, value := range header {
		fmt.Fprintf(&head, "%s: %s\r\n", name, value)
	}

	if method != http.MethodGet {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(body))
	}

	if _, err := io.WriteString(c, head.String()+"\r\n"+body); err != nil {
		return result{err: err}
	}

	if tcp, ok := c.(*net.TCPConn); ok && leave > 0 {
		defer time.AfterFunc(leave, func() { _ = tcp.CloseWrite() }).Stop()
	}

	return read(bufio.NewReader(c), method)
}

// receiveBuffer is the size of the receive buffer of a client whose windows are small.
const receiveBuffer = 2048

// askSlowly sends one request on a new connection with small windows. It reads nothing for some
// time after the first bytes of the answer, and then reads the rest.
func askSlowly(address, path, id string, header map[string]string, body string, deadline, pause time.Duration) result {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}}

	c, err := d.Dial("tcp", address)
	if err != nil {
		return result{err: err}
	}
	defer c.Close()

	_ = c.SetDeadline(time.Now().Add(deadline))

	var head strings.Builder

	fmt.Fprintf(&head, "POST %s HTTP/1.1\r\nHost: rig.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", path, id, deadline.Milliseconds())

	for name, value := range header {
		fmt.Fprintf(&head, "%s: %s\r\n", name, value)
	}

	fmt.Fprintf(&head, "Content-Length: %d\r\n\r\n%s", len(body), body)

	if _, err := io.WriteString(c, head.String()); err != nil {
		return result{err: err}
	}

	r := bufio.NewReaderSize(c, 16)
	if _, err := r.Peek(1); err != nil {
		return result{err: err}
	}

	time.Sleep(pause)

	return read(r, http.MethodPost)
}

func read(r *bufio.Reader, method string) result {
	resp, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		return result{err: err}
	}
	defer resp.Body.Close()

	data, err := io.ReadAll(resp.Body)

	return result{status: resp.StatusCode, stamped: resp.Header.Get("Server-Stamp") != "", body: string(data), whole: err == nil, err: err}
}

// streamHeader is the header of a request to a model, whose prompt begins with a shared part.
func streamHeader(model string, shared int) map[string]string {
	return map[string]string{"Model": model, "Token-Count": "100,120", "Prompt-Prefix": fmt.Sprintf("5c1e07%02x:50,e440%04x:50", shared, attempts.Load())}
}

func (r result) String() string {
	return fmt.Sprintf("status=%d stamped=%v whole=%v bytes=%d err=%v", r.status, r.stamped, r.whole, len(r.body), r.err)
}
