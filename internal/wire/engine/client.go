package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
	"github.com/fulmarcross/fulmarcross/internal/wire/message"
)

// Bounds of the protocol.
const (
	callTimeout = 2 * time.Second
	maxReply    = 16 << 20
	maxFrame    = 64 << 10
)

// Client speaks to one engine. It implements target.Engine.
type Client struct {
	Target  instance.ID
	Address netip.AddrPort
	// HTTP is the transport. It must set no time limit of its own, because
	// streams last as long as their requests.
	HTTP *http.Client
}

// StatusError is an answer that the protocol does not know.
type StatusError struct {
	Target instance.ID
	Status int
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("target %s: answered status %d", e.Target, e.Status)
}

// Generate implements target.Engine.
func (c *Client) Generate(ctx context.Context, g target.Generation) (target.Stream, error) {
	body, err := json.Marshal(Generation(g))
	if err != nil {
		return nil, &target.NotReachedError{Target: c.Target, Err: err}
	}

	// The failure guarded against is a refusal that wrongly says "not run".
	// It would show when a connection breaks after the request went out.
	// Sent is set before the first byte is written, so an error without it
	// proves that the engine saw nothing. GetBody is cleared so that the
	// HTTP library cannot send the request a second time on its own.
	var sent atomic.Bool

	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}

	req, err := c.request(httptrace.WithClientTrace(ctx, trace), http.MethodPost, PathGenerate, body)
	if err != nil {
		return nil, &target.NotReachedError{Target: c.Target, Err: err}
	}

	req.GetBody = nil

	resp, err := c.HTTP.Do(req)
	if err != nil {
		if !sent.Load() {
			return nil, &target.NotReachedError{Target: c.Target, Err: err}
		}

		return nil, err
	}

	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()

		return nil, c.refusal(resp, g.Model, 0)
	}

	return &stream{body: resp.Body, lines: bufio.NewReaderSize(resp.Body, maxFrame)}, nil
}

// Cancel implements target.Engine.
func (c *Client) Cancel(ctx context.Context, requestID string) error {
	return c.call(ctx, http.MethodPost, PathCancel, Cancel{RequestID: requestID}, nil)
}

// Submit implements target.Engine.
func (c *Client) Submit(ctx context.Context, o target.Order) (target.Inventory, error) {
	var reply Inventory

	err := c.call(ctx, http.MethodPost, PathOrders, FromOrder(o), &reply)

	return ToInventory(reply), err
}

// Inventory implements target.Engine.
func (c *Client) Inventory(ctx context.Context) (target.Inventory, error) {
	var reply Inventory

	err := c.call(ctx, http.MethodGet, PathInventory, nil, &reply)

	return ToInventory(reply), err
}

// Report implements target.Engine.
func (c *Client) Report(ctx context.Context) (target.Report, error) {
	var reply Report

	err := c.call(ctx, http.MethodGet, PathReport, nil, &reply)

	return target.Report(reply), err
}

// Events implements target.Engine.
func (c *Client) Events(ctx context.Context, after uint64) ([]target.CacheEvent, error) {
	var reply []CacheEvent
	if err := c.call(ctx, http.MethodGet, PathEvents+"?after="+strconv.FormatUint(after, 10), nil, &reply); err != nil {
		return nil, err
	}

	out := make([]target.CacheEvent, len(reply))
	for i, e := range reply {
		out[i] = target.CacheEvent(e)
	}

	return out, nil
}

// ExportKV implements target.Engine.
func (c *Client) ExportKV(ctx context.Context, requestID string) ([]byte, error) {
	var state []byte

	err := c.call(ctx, http.MethodGet, PathKV+requestID, nil, &state)

	return state, err
}

// ImportKV implements target.Engine.
func (c *Client) ImportKV(ctx context.Context, requestID string, state []byte) error {
	return c.call(ctx, http.MethodPut, PathKV+requestID, state, nil)
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	var body []byte

	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return err
		}
	}

	req, err := c.request(ctx, method, path, body)
	if err != nil {
		return err
	}

	resp, err := c.HTTP.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()

	if resp.StatusCode != http.StatusOK {
		return c.refusal(resp, modelOf(in), tokenOf(in))
	}

	data, err := message.ReadAll(resp.Body, maxReply)
	if err != nil || out == nil {
		return err
	}

	return json.Unmarshal(data, out)
}

func modelOf(in any) string {
	if o, ok := in.(Order); ok {
		return o.Model
	}

	return ""
}

func tokenOf(in any) uint64 {
	if o, ok := in.(Order); ok {
		return o.Token
	}

	return 0
}

func (c *Client) request(ctx context.Context, method, path string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}

	req.Header.Set("Content-Type", "application/json")

	return req, nil
}

func (c *Client) refusal(resp *http.Response, model string, token uint64) error {
	var r Refusal

	data, err := message.ReadAll(resp.Body, maxFrame)
	if err != nil || json.Unmarshal(data, &r) != nil {
		return &StatusError{Target: c.Target, Status: resp.StatusCode}
	}

	switch r.Code {
	case CodeNotLoaded:
		return &target.NotLoadedError{Target: c.Target, Model: model}
	case CodeLeaving:
		return &target.LeavingError{Target: c.Target}
	case CodeNoMemory:
		return &target.NoMemoryError{Target: c.Target, Model: model}
	case CodeStaleToken:
		return &target.StaleTokenError{Target: c.Target, Token: token, Highest: r.Highest}
	}

	return &StatusError{Target: c.Target, Status: resp.StatusCode}
}

// stream reads frames from an open answer.
type stream struct {
	body  io.ReadCloser
	lines *bufio.Reader
}

func (s *stream) Next() (target.Frame, error) {
	line, err := s.lines.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return target.Frame{}, err
	}

	if err != nil {
		return target.Frame{}, io.EOF
	}

	var f Frame
	if err := json.Unmarshal(line, &f); err != nil {
		return target.Frame{}, err
	}

	return target.Frame(f), nil
}

func (s *stream) Close() error { return s.body.Close() }
