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

	mu     sync.Mutex
	client *rpc.Client
}

// TimeoutError says that the peer did not answer in time.
type TimeoutError struct{ Method string }

func (e *TimeoutError) Error() string { return "frame: " + e.Method + ": no answer in time" }

func (c *Caller) connect() (*rpc.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.client != nil {
		return c.client, nil
	}

	conn, err := c.dial()
	if err != nil {
		return nil, err
	}

	c.client = rpc.NewClientWithCodec(clientCodec{newFrames(conn)})

	return c.client, nil
}

func (c *Caller) dial() (net.Conn, error) {
	d := &net.Dialer{Timeout: dialTimeout}
	if c.TLS == nil {
		return d.Dial("tcp", c.Address.String())
	}

	return tls.DialWithDialer(d, "tcp", c.Address.String(), c.TLS)
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
	c.mu.Unlock()

	if client != nil {
		c.drop(client)
	}
}

// Call makes one call. After an error out must not be read: a late answer may
// still be written to it.
func (c *Caller) Call(ctx context.Context, method string, in, out any) error {
	client, err := c.connect()
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
