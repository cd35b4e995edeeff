package trial

import (
	"context"
	"fmt"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/customer/key"
	"github.com/fulmarcross/fulmarcross/internal/customer/list"
	"github.com/fulmarcross/fulmarcross/internal/customer/plan"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/platform/weight"
	"github.com/fulmarcross/fulmarcross/internal/standin/engine"
	"github.com/fulmarcross/fulmarcross/internal/standin/service"
)

func centre(i int) instance.DataCentre {
	return instance.DataCentre([]string{"centro-a", "centro-b", "centro-c"}[i%3])
}

func (t *Trial) startTargets() error {
	for i := range engines {
		e := engine.New(engine.Options{
			ID:          instance.ID(fmt.Sprintf("engine-%d", i)),
			Memory:      modelBytes*3 + gib,
			Speed:       []float64{4, 2, 1}[i%3],
			Slots:       8,
			ChecksToken: i != 0,
			FirstToken:  60 * time.Millisecond,
			PerToken:    4 * time.Millisecond,
			ReportLag:   300 * time.Millisecond,
			Restart:     500 * time.Millisecond,
			Weights:     t.weights,
		})
		e.OnChange = t.books.check(t.platform, t.opt.Cells)
		t.engines = append(t.engines, e)

		addr, err := t.listen(engine.Handler(e))
		if err != nil {
			return err
		}

		t.addresses = append(t.addresses, addr)
		t.platform.Announce(instance.Instance{
			ID: e.ID(), DataCentre: centre(i), Role: instance.Engine, Address: addr, State: instance.Live,
		})
	}

	for i := range services {
		s := &service.Service{Delay: 5 * time.Millisecond}
		t.services = append(t.services, s)

		addr, err := t.listen(s)
		if err != nil {
			return err
		}

		t.platform.Announce(instance.Instance{
			ID: instance.ID(fmt.Sprintf("stamps-%d", i)), DataCentre: centre(i), Role: instance.Service,
			Service: serviceName, Address: addr, State: instance.Live,
		})
	}

	return nil
}

func modelName(i int) string { return fmt.Sprintf("draft-%02d", i) }

func adapterName(i int) string { return fmt.Sprintf("mark-%02d", i) }

func (t *Trial) fillWeights() {
	for i := range modelCount {
		t.platform.AddCheckpoints(weight.Checkpoint{Name: modelName(i), Bytes: modelBytes})
	}

	for i := range adapters {
		t.platform.AddCheckpoints(weight.Checkpoint{
			Name: adapterName(i), Base: modelName(i % modelCount), Bytes: modelBytes / 64, //nolint:mnd // Small.
		})
	}
}

// fillLists writes the demo's two lists through the operators' interface.
func (t *Trial) fillLists(ctx context.Context) error {
	changes := []plan.Change{
		plan.SetPlan{Plan: plan.Plan{
			Name: "day", Customer: "platero", Keys: []key.Digest{key.DigestOf(CallerKey)}, Concurrency: 200,
			RequestsPerSecond: 2000, Priority: 5, RequestTimeout: 10 * time.Second, OnRemoval: plan.FinishRunning,
		}},
		plan.SetPlan{Plan: plan.Plan{
			Name: "night", Customer: "vatuvola", Keys: []key.Digest{key.DigestOf(nightKey)}, Concurrency: 100,
			Priority: 2, RequestTimeout: 15 * time.Second, OnRemoval: plan.CancelRunning,
		}},
		plan.Allow{Allowance: plan.Allowance{Plan: "day", Kind: plan.Service, Name: serviceName}},
	}

	for _, name := range []string{"day", "night"} {
		for i := range modelCount {
			a := plan.Allowance{Plan: name, Kind: plan.Model, Name: modelName(i)}
			changes = append(changes, plan.Allow{Allowance: a})
		}

		for i := range adapters {
			a := plan.Allowance{Plan: name, Kind: plan.Model, Name: adapterName(i)}
			changes = append(changes, plan.Allow{Allowance: a})
		}
	}

	store := list.Lists{Table: t.platform}
	_, err := store.Put(ctx, list.Put{WriteID: "demo", Author: "trial", At: time.Now(), Changes: changes})

	return err
}
