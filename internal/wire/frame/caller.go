package frame

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"time"
)

// Times of a caller, of the order of a few round trips over a lossy link.
const (
	dialTimeout = time.Second
	callTimeout = 2 * time.Second
)

// Caller calls one process over one connection, which it dials when needed and
// dials again after any call without an answer in time: a connection may have
// gone silent for good while new ones work.
type Caller struct {
	Address netip.AddrPort
	// TLS is nil for plain TCP.
	TLS *tls.Config
	// Dial opens a connection. It is not used with TLS. If it is nil, TCP is used.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	// Count, if set, is told the size of each message that is sent or received.
	Count func(method string, bytes int)

	mu     sync.Mutex
	client *rpc.Client
	// dialing is closed when the call that dials has ended. It is nil if none does.
	dialing chan struct{}
	// closes counts the calls of Close, so that a connection that was being
	// dialled then is closed as well.
	closes int
}

// ClosedError says that the caller was closed while it dialled.
type ClosedError struct{ Address netip.AddrPort }

func (e *ClosedError) Error() string { return "frame: closed while dialling " + e.Address.String() }

// TimeoutError says that the peer did not answer in time.
type TimeoutError struct{ Method string }

func (e *TimeoutError) Error() string { return "frame: " + e.Method + ": no answer in time" }

// begin returns the connection, if there is one, or what to wait for while another call dials.
// Otherwise the caller has to dial, and to call end then.
func (c *Caller) begin() (client *rpc.Client, dialing <-chan struct{}, closes int) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.client == nil && c.dialing == nil {
		c.dialing = make(chan struct{})

		return nil, nil, c.closes
	}

	return c.client, c.dialing, c.closes
}

// end ends a dial.
func (c *Caller) end() {
	c.mu.Lock()
	defer c.mu.Unlock()

	close(c.dialing)
	c.dialing = nil
}

// connect returns the connection, dialled if need be. One call dials at a time, and the others
// wait for it no longer than their own contexts last.
//
// It guards against a peer that lost power: a dial to it hangs for a second, and whoever closes
// the way to it because it has a new process, or has less time, must not wait for that.
func (c *Caller) connect(ctx context.Context) (*rpc.Client, error) {
	for {
		client, dialing, closes := c.begin()

		switch {
		case client != nil:
			return client, nil
		case dialing == nil:
			return c.dialOnce(ctx, closes)
		}

		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-dialing:
		}
	}
}

// dialOnce dials and keeps the connection.
func (c *Caller) dialOnce(ctx context.Context, closes int) (*rpc.Client, error) {
	defer c.end()

	conn, err := c.dial(ctx)
	if err != nil {
		return nil, err
	}

	client := rpc.NewClientWithCodec(clientCodec{newFrames(conn), c.Count})
	if err := c.keep(client, closes); err != nil {
		_ = client.Close()

		return nil, err
	}

	return client, nil
}

// keep makes a connection the current one, unless Close was called since it was
// asked for.
func (c *Caller) keep(client *rpc.Client, closes int) error {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.closes != closes {
		return &ClosedError{Address: c.Address}
	}

	c.client = client

	return nil
}

func (c *Caller) dial(ctx context.Context) (net.Conn, error) {
	if c.TLS == nil && c.Dial != nil {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()

		return c.Dial(ctx, c.Address)
	}

	d := &net.Dialer{Timeout: dialTimeout}
	if c.TLS == nil {
		return d.DialContext(ctx, "tcp", c.Address.String())
	}

	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()

	return (&tls.Dialer{NetDialer: d, Config: c.TLS}).DialContext(ctx, "tcp", c.Address.String())
}

// drop closes the connection, so that the next call dials anew.
func (c *Caller) drop(client *rpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.client == client {
		c.client = nil
	}

	_ = client.Close()
}

// Close ends the connection.
func (c *Caller) Close() {
	c.mu.Lock()
	client := c.client
	c.closes++
	c.mu.Unlock()

	if client != nil {
		c.drop(client)
	}
}

// Call makes one call. After an error out must not be read: a late answer may
// still be written to it.
func (c *Caller) Call(ctx context.Context, method string, in, out any) error {
	client, err := c.connect(ctx)
	if err != nil {
		return err
	}

	t := time.NewTimer(callTimeout)
	defer t.Stop()

	call := client.Go(method, in, out, make(chan *rpc.Call, 1))

	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		c.drop(client)

		return &TimeoutError{Method: method}
	case <-call.Done:
	}

	var answered rpc.ServerError
	if call.Error != nil && !errors.As(call.Error, &answered) {
		c.drop(client)
	}

	return call.Error
}
