package holder

import (
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/inventory"
	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
)

// weights are the copies of models that an engine has beside what it serves.
// The zero value has none.
type weights struct {
	disk map[string]bool
	// memory has the copies in the engine's host memory, the one loaded longest
	// ago first. It is what the list says, and what was loaded since.
	memory []memoryCopy
}

// memoryCopy is a copy in host memory.
type memoryCopy struct {
	model string
	// ready is when its load ends; zero means that another holder ordered it.
	ready time.Time
}

// list takes in a row of the list, which may be older than the last load.
func (w *weights) list(t inventory.Target, now time.Time) {
	w.disk = make(map[string]bool, len(t.OnDisk))
	for _, model := range t.OnDisk {
		w.disk[model] = true
	}

	known := make(map[string]bool, len(w.memory))
	w.memory = slices.DeleteFunc(w.memory, func(c memoryCopy) bool {
		known[c.model] = true

		return !slices.Contains(t.InMemory, c.model) && now.Sub(c.ready) > rowLag
	})

	for _, model := range t.InMemory {
		if !known[model] {
			w.memory = slices.Insert(w.memory, 0, memoryCopy{model: model})
		}
	}
}

// load notes a load until the time given, which leaves copies on disk and in
// memory, where the one that was loaded longest ago makes way.
//
// It guards against loads that are foretold from memory when their copies have
// made way since the last row: requests would be sent before the model is there.
func (w *weights) load(model string, e *route.Engine, ready time.Time) {
	if w.disk == nil {
		w.disk = make(map[string]bool)
	}

	w.disk[model] = true
	w.memory = slices.DeleteFunc(w.memory, func(c memoryCopy) bool { return c.model == model })
	w.memory = append(w.memory, memoryCopy{model, ready})

	if e.HostMB <= 0 {
		return
	}

	sum := 0.0
	for _, c := range w.memory {
		sum += e.Models[c.model].MB
	}

	for len(w.memory) > 1 && sum > e.HostMB {
		sum -= e.Models[w.memory[0].model].MB
		w.memory = w.memory[1:]
	}
}

// tiers returns from where models are loaded that are not in the weight store
// only.
func (w *weights) tiers() map[string]target.Tier {
	out := make(map[string]target.Tier, len(w.disk)+len(w.memory))
	for model := range w.disk {
		out[model] = target.TierDisk
	}

	for _, c := range w.memory {
		out[c.model] = target.TierMemory
	}

	return out
}
