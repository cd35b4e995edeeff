package node

import (
	"context"
	"slices"
	"strings"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/inventory"
	"github.com/fulmarcross/fulmarcross/internal/placement/holder"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
	"github.com/fulmarcross/fulmarcross/internal/serving/router"
)

// listedTarget returns a target as it is listed, and its service. It returns false if the target is not
// listed, or no configuration is known.
func (n *Node) listedTarget(id instance.ID) (inventory.Target, route.Service, bool) {
	n.mu.Lock()
	t, listed := n.targetsByID[id]
	n.mu.Unlock()

	routes := n.routes.Load()
	if !listed || routes == nil {
		return inventory.Target{}, route.Service{}, false
	}

	return t, routes.Config.Services[t.Service], true
}

// reportedProcess asks a target which process it is. Only engines tell.
func (n *Node) reportedProcess(ctx context.Context, t *router.Target) (string, error) {
	listed, service, ok := n.listedTarget(t.ID)
	if !ok || service.Engine == nil {
		return "", nil
	}

	report, err := n.cfg.Engines.Report(ctx, listed)
	if err != nil || report.Born == 0 {
		return "", err
	}

	return incarnationOf(report.Born), nil
}

// answers asks a target for a sign that it answers now: an engine for a report, a plain target for
// what it says of its health. It reports whether the target is able to run requests for the routing
// key, which it is where neither is possible.
func (n *Node) answers(ctx context.Context, t *router.Target, routingKey string) (able bool, err error) {
	listed, service, ok := n.listedTarget(t.ID)

	switch {
	case !ok:
		return true, nil
	case service.Engine != nil:
		report, err := n.cfg.Engines.Report(ctx, listed)

		return holds(report, routingKey), err
	case n.cfg.Health != nil && service.HealthPath != "":
		return n.cfg.Health(ctx, listed, service.HealthPath)
	}

	return true, nil
}

// holds reports whether an engine holds the model of a routing key.
func holds(r holder.Report, routingKey string) bool {
	_, model, _ := strings.Cut(routingKey, "/")
	base, _, _ := strings.Cut(model, "/")

	return slices.ContainsFunc(r.Resident, func(m inventory.ResidentModel) bool { return m.Model == base })
}
