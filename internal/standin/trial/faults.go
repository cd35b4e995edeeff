package trial

import (
	"context"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/standin/engine"
	"github.com/fulmarcross/fulmarcross/internal/standin/platform"
)

// fault is a fault of the trial.
type fault struct {
	// at is the fraction of the load's duration after which it is injected.
	at     float64
	inject func(context.Context)
}

// inject injects the faults in order. Some overlap.
func (t *Trial) inject(ctx context.Context) {
	started := time.Now()

	for _, f := range []fault{
		{0.08, t.killHolder},
		{0.20, t.slowTable},
		{0.28, t.stopTable},
		{0.42, t.loseAnswers},
		{0.46, t.pauseHolder},
		{0.62, t.silenceStreams},
		{0.66, t.confuseEngines},
		{0.70, t.sendPoison},
		{0.82, t.reclaimTarget},
	} {
		wait := time.Duration(f.at*float64(t.opt.For)) - time.Since(started)

		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}

		f.inject(ctx)
	}
}

// killHolder ends the process that holds the lease during a load and starts another on a
// new instance.
func (t *Trial) killHolder(ctx context.Context) {
	n := t.holder()
	if n == nil {
		return
	}

	t.awaitLoad(ctx)
	t.Kill(n.Entry)

	_, _ = t.StartEntry(ctx, t.opt.Entries)
}

// awaitLoad waits for a short time until an engine is loading a model.
func (t *Trial) awaitLoad(ctx context.Context) {
	const patience = time.Second

	for end := time.Now().Add(patience); time.Now().Before(end) && ctx.Err() == nil; {
		for _, e := range t.engines {
			inv, err := e.Inventory(ctx)
			if err != nil {
				continue
			}

			for _, h := range inv.Resident {
				if h.Phase == "loading" {
					return
				}
			}
		}

		time.Sleep(time.Millisecond)
	}
}

func (t *Trial) slowTable(context.Context) {
	t.platform.SetFaults(platform.Faults{TableDelay: 150 * time.Millisecond})
	time.AfterFunc(t.opt.For/16, func() { t.platform.SetFaults(platform.Faults{}) }) //nolint:mnd // A while.
}

func (t *Trial) stopTable(context.Context) {
	t.platform.SetFaults(platform.Faults{TableDown: true})
	time.AfterFunc(t.opt.For/8, func() { t.platform.SetFaults(platform.Faults{}) }) //nolint:mnd // A while.
}

func (t *Trial) loseAnswers(context.Context) {
	t.platform.SetFaults(platform.Faults{LoseAnswers: 6})
}

// pauseHolder blocks all that the holder sends, with its orders in flight, for longer
// than its lease.
func (t *Trial) pauseHolder(context.Context) {
	n := t.holder()
	if n == nil {
		return
	}

	n.gate.Close()
	time.AfterFunc(2500*time.Millisecond, n.gate.Open) //nolint:mnd // Longer than a lease.
}

func (t *Trial) silenceStreams(context.Context) {
	for _, e := range t.engines {
		e.Silence()
	}
}

// confuseEngines makes an engine swap two answers and another cut one short.
func (t *Trial) confuseEngines(context.Context) {
	for i, e := range t.engines {
		e.SetFaults(engine.Faults{SwapAnswers: i%2 == 0, Truncate: i%2 == 1})
	}
}

// sendPoison repeatedly sends a request that crashes every target.
func (t *Trial) sendPoison(ctx context.Context) {
	const repeats = 5

	go func() {
		for range repeats {
			a := ask{
				number: -1, key: CallerKey, model: modelName(0), prompt: "please " + engine.Poison, tokens: 4,
				started: time.Now(),
			}

			ctx, cancel := context.WithTimeout(ctx, timeout)
			_, _ = t.try(ctx, a)

			cancel()
			time.Sleep(200 * time.Millisecond)
		}
	}()
}

// reclaimTarget removes a target: first the list shows that it is leaving, and soon
// after the engine stops.
func (t *Trial) reclaimTarget(context.Context) {
	e := t.engines[1]

	in, err := t.platform.Instances(context.Background())
	if err != nil {
		return
	}

	for _, line := range in {
		if line.ID == e.ID() {
			line.State = instance.Leaving
			t.platform.Announce(line)
		}
	}

	e.Leave()
	time.AfterFunc(2*time.Second, func() {
		t.platform.Remove(e.ID())
		e.Stop()
	})
}
