package entry

import (
	"context"
	"net/http"
	"net/netip"
	"sync"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
	"github.com/fulmarcross/fulmarcross/internal/serving/router"
	"github.com/fulmarcross/fulmarcross/internal/wire/engine"
)

// targetConns bounds the idle connections to one target.
const targetConns = 64

// targets keeps the clients of the engines. Each target has a transport of
// its own, so that its connections can be dropped alone.
type targets struct {
	client  func(conns int) *http.Client
	clients sync.Map // clients maps a netip.AddrPort to its *engine.Client.
}

func (t *targets) at(id instance.ID, addr netip.AddrPort) *engine.Client {
	if got, ok := t.clients.Load(addr); ok {
		return got.(*engine.Client) //nolint:forcetypeassert // The map holds nothing else.
	}

	made := &engine.Client{Target: id, Address: addr, HTTP: t.client(targetConns)}
	got, _ := t.clients.LoadOrStore(addr, made)

	return got.(*engine.Client) //nolint:forcetypeassert // The map holds nothing else.
}

func (t *targets) engine(rt *router.Target) target.Engine { return t.at(rt.ID, rt.Address) }

// dial returns a client for control, apart from the one for requests.
func (t *targets) dial(in instance.Instance) target.Engine {
	return &engine.Client{Target: in.ID, Address: in.Address, HTTP: t.client(2)} //nolint:mnd // Polls and orders.
}

// probe asks on a connection of its own.
func (t *targets) probe(ctx context.Context, rt *router.Target) (target.Inventory, error) {
	client := t.client(0)
	defer client.CloseIdleConnections()

	c := &engine.Client{Target: rt.ID, Address: rt.Address, HTTP: client}

	return c.Inventory(ctx)
}

// refresh drops the idle connections to the target.
func (t *targets) refresh(rt *router.Target) { t.at(rt.ID, rt.Address).HTTP.CloseIdleConnections() }
