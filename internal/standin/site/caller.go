package site

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/serving/relay"
	"github.com/fulmarcross/fulmarcross/platform"
)

// Reply is the answer that a client received.
type Reply struct {
	Status int
	Body   string
	// Signed says that it comes from a target.
	Signed bool
	// Whole says that it is complete.
	Whole bool
	// Header is the answer's header.
	Header http.Header
	// First and Took are the times to the answer's first and last bytes.
	First, Took time.Duration
}

// Ask sends one request to an entry on a new connection.
func Ask(ctx context.Context, e *Entry, path, body string, ask relay.RequestInfo) (Reply, error) {
	return send(ctx, e.client, e.Callers, path, body, ask, true)
}

// AskOn sends one request on one of the client's connections.
func AskOn(ctx context.Context, c *http.Client, at netip.AddrPort, path, body string, ask relay.RequestInfo) (Reply, error) {
	return send(ctx, c, at, path, body, ask, false)
}

func send(ctx context.Context, c *http.Client, at netip.AddrPort, path, body string, ask relay.RequestInfo, last bool) (Reply, error) {
	began := time.Now()

	resp, err := open(ctx, c, at, path, body, ask, last)
	if err != nil {
		return Reply{}, err
	}
	defer resp.Body.Close()

	r := Reply{Status: resp.StatusCode, Signed: platform.Signed(resp.Header), Header: resp.Header, First: time.Since(began)}
	data, err := io.ReadAll(resp.Body)
	r.Body, r.Whole, r.Took = string(data), err == nil, time.Since(began)

	return r, nil
}

// open sends a request and returns the head of its answer.
func open(ctx context.Context, c *http.Client, at netip.AddrPort, path, body string, ask relay.RequestInfo, last bool) (*http.Response, error) {
	method := http.MethodPost
	if body == "" {
		method = http.MethodGet
	}

	req, err := http.NewRequestWithContext(ctx, method, "http://"+at.String()+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}

	req.Host, req.Close = Host, last
	platform.SetAsk(req.Header, ask)

	return c.Do(req)
}
