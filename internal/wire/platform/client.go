package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/platform/object"
	"github.com/fulmarcross/fulmarcross/internal/platform/revision"
	"github.com/fulmarcross/fulmarcross/internal/platform/table"
	"github.com/fulmarcross/fulmarcross/internal/platform/weight"
	"github.com/fulmarcross/fulmarcross/internal/wire/message"
)

// callTimeout bounds one call to the platform. A longer silence counts as an
// answer that was lost.
const callTimeout = 2 * time.Second

// maxReply bounds the bytes of one reply.
const maxReply = 64 << 20

// Client speaks to the platform's services over HTTP. It implements
// table.Service, object.Store, weight.Store and roster.Service.
type Client struct {
	// Address is the platform's endpoint.
	Address netip.AddrPort
	// HTTP is the transport; nil means message.DefaultClient.
	HTTP *http.Client
}

// StatusError is an answer of the platform that is not a success.
type StatusError struct {
	Path   string
	Status int
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("platform: %s answered status %d", e.Path, e.Status)
}

// Read implements table.Service.
func (c *Client) Read(ctx context.Context, keys ...string) ([]table.Row, error) {
	var reply RowsReply
	if err := c.call(ctx, PathRead, ReadRequest{Keys: keys}, &reply); err != nil {
		return nil, &table.UnavailableError{Op: "read", Err: err}
	}

	return ToRows(reply.Rows), nil
}

// Scan implements table.Service.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	var reply RowsReply

	req := ScanRequest{Prefix: prefix, After: after, Limit: limit}
	if err := c.call(ctx, PathScan, req, &reply); err != nil {
		return nil, &table.UnavailableError{Op: "scan", Err: err}
	}

	return ToRows(reply.Rows), nil
}

// Commit implements table.Service.
func (c *Client) Commit(ctx context.Context, tx table.Transaction) (revision.Number, error) {
	var reply CommitReply
	if err := c.call(ctx, PathCommit, FromTransaction(tx), &reply); err != nil {
		return 0, &table.UnavailableError{Op: "commit", Err: err}
	}

	if reply.Conflict != nil {
		return 0, &table.ConflictError{Key: reply.Conflict.Key, Version: revision.Number(reply.Conflict.Version)}
	}

	return revision.Number(reply.Version), nil
}

// Put implements object.Store.
func (c *Client) Put(ctx context.Context, name string, data []byte) error {
	_, err := c.do(ctx, http.MethodPut, objectPath(name), data)

	return err
}

// Get implements object.Store.
func (c *Client) Get(ctx context.Context, name string) ([]byte, error) {
	data, err := c.do(ctx, http.MethodGet, objectPath(name), nil)

	var status *StatusError
	if errors.As(err, &status) && status.Status == http.StatusNotFound {
		return nil, &object.NotFoundError{Name: name}
	}

	return data, err
}

// List implements object.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]string, error) {
	data, err := c.do(ctx, http.MethodGet, PathObjects+"?prefix="+url.QueryEscape(prefix), nil)
	if err != nil {
		return nil, err
	}

	var reply NamesReply
	if err := json.Unmarshal(data, &reply); err != nil {
		return nil, fmt.Errorf("platform: list: %w", err)
	}

	return reply.Names, nil
}

// Delete implements object.Store.
func (c *Client) Delete(ctx context.Context, name string) error {
	_, err := c.do(ctx, http.MethodDelete, objectPath(name), nil)

	return err
}

// Checkpoints implements weight.Store.
func (c *Client) Checkpoints(ctx context.Context) ([]weight.Checkpoint, error) {
	data, err := c.do(ctx, http.MethodGet, PathCheckpoints, nil)
	if err != nil {
		return nil, err
	}

	var reply CheckpointsReply
	if err := json.Unmarshal(data, &reply); err != nil {
		return nil, fmt.Errorf("platform: checkpoints: %w", err)
	}

	out := make([]weight.Checkpoint, len(reply.Checkpoints))
	for i, cp := range reply.Checkpoints {
		out[i] = weight.Checkpoint{Name: cp.Name, Base: cp.Base, Bytes: cp.Bytes}
	}

	return out, nil
}

// Instances implements roster.Service.
func (c *Client) Instances(ctx context.Context) ([]instance.Instance, error) {
	data, err := c.do(ctx, http.MethodGet, PathInstances, nil)
	if err != nil {
		return nil, err
	}

	var reply InstancesReply
	if err := json.Unmarshal(data, &reply); err != nil {
		return nil, fmt.Errorf("platform: instances: %w", err)
	}

	return toInstances(reply.Instances)
}

func toInstances(all []Instance) ([]instance.Instance, error) {
	out := make([]instance.Instance, len(all))

	for i, in := range all {
		addr, err := netip.ParseAddrPort(in.Address)
		if err != nil {
			return nil, fmt.Errorf("platform: instance %s: %w", in.ID, err)
		}

		out[i] = instance.Instance{
			ID:         instance.ID(in.ID),
			DataCentre: instance.DataCentre(in.DataCentre),
			Role:       instance.Role(in.Role),
			Address:    addr,
			Service:    in.Service,
			State:      instance.State(in.State),
		}
	}

	return out, nil
}

func objectPath(name string) string { return PathObjects + url.PathEscape(name) }

func (c *Client) call(ctx context.Context, path string, req, reply any) error {
	body, err := json.Marshal(req)
	if err != nil {
		return err
	}

	data, err := c.do(ctx, http.MethodPost, path, body)
	if err != nil {
		return err
	}

	return json.Unmarshal(data, reply)
}

func (c *Client) do(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}

	client := c.HTTP
	if client == nil {
		client = message.DefaultClient
	}

	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()

	data, err := message.ReadAll(resp.Body, maxReply)
	if err != nil {
		return nil, err
	}

	if resp.StatusCode >= http.StatusMultipleChoices {
		return nil, &StatusError{Path: path, Status: resp.StatusCode}
	}

	return data, nil
}
