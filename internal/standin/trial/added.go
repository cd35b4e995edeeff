package trial

import (
	"context"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
	"github.com/fulmarcross/fulmarcross/internal/platform/weight"
	"github.com/fulmarcross/fulmarcross/internal/standin/engine"
	wire "github.com/fulmarcross/fulmarcross/internal/wire/engine"
)

// addedRounds is how many requests the added latency is measured with.
const addedRounds = 200

// measureAdded measures the latency that an entry adds: the time of short answers
// through an entry minus the median time of the same answers directly from the engine,
// one request at a time, after the load.
func (t *Trial) measureAdded(ctx context.Context) *hdrhistogram.Histogram {
	h := histogram()

	nodes := t.ready()
	if len(nodes) == 0 || t.startFastEngine() != nil {
		return h
	}

	direct := &wire.Client{Target: fastEngine, Address: t.addresses[len(t.addresses)-1], HTTP: client}

	a := ask{key: CallerKey, model: fastModel, tokens: 1}
	if !t.warm(ctx, a) {
		return h
	}

	var straight, through []time.Duration

	for range addedRounds {
		a.started = time.Now()
		if answerDirect(ctx, direct) == nil {
			straight = append(straight, time.Since(a.started))
		}

		a.started = time.Now()

		r, err := t.try(ctx, a)
		if err == nil && r.whole {
			through = append(through, time.Since(a.started))
		}
	}

	if len(straight) == 0 {
		return h
	}

	slices.Sort(straight)
	median := straight[len(straight)/2]

	for _, d := range through {
		_ = h.RecordValue(max(0, (d - median).Microseconds()))
	}

	return h
}

const (
	fastEngine = instance.ID("engine-fast")
	fastModel  = "draft-11"
)

// startFastEngine adds an engine without delays, which is the only one with room for a
// model that has not been requested.
func (t *Trial) startFastEngine() error {
	e := engine.New(engine.Options{ID: fastEngine, Memory: 64 * modelBytes, Speed: 100, Slots: 64, ChecksToken: true})
	e.OnChange = t.books.check(t.platform, t.opt.Cells)

	addr, err := t.listen(engine.Handler(e))
	if err != nil {
		return err
	}

	t.addresses = append(t.addresses, addr)

	for _, other := range t.engines {
		t.platform.Remove(other.ID())
		other.Stop()
	}

	t.platform.AddCheckpoints(weight.Checkpoint{Name: fastModel, Bytes: 1})
	t.platform.Announce(instance.Instance{
		ID: fastEngine, DataCentre: centre(0), Role: instance.Engine, Address: addr, State: instance.Live,
	})

	return nil
}

// warm sends requests until the model is loaded on the fast engine.
func (t *Trial) warm(ctx context.Context, a ask) bool {
	const tries = 40

	for range tries {
		a.started = time.Now()
		if r, err := t.try(ctx, a); err == nil && r.whole {
			return true
		}

		time.Sleep(100 * time.Millisecond)
	}

	return false
}

func answerDirect(ctx context.Context, c *wire.Client) error {
	s, err := c.Generate(ctx, target.Generation{RequestID: "direct", Model: fastModel, MaxTokens: 1})
	if err != nil {
		return err
	}
	defer s.Close()

	for {
		f, err := s.Next()
		if err != nil {
			return err
		}

		if f.End {
			return nil
		}
	}
}
