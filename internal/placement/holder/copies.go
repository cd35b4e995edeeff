package holder

import (
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/inventory"
	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
)

// localCopies are the copies of models' weights that an engine has on disk and
// in host memory. The zero value has none.
type localCopies struct {
	disk map[string]bool
	// memory has the copies in the engine's host memory, oldest load first. It
	// combines the target list with the loads since.
	memory []memoryCopy
}

// memoryCopy is a copy in host memory.
type memoryCopy struct {
	model string
	// ready is when its load ends. Zero means that only the target list shows
	// the copy, as when another holder ordered the load.
	ready time.Time
}

// applyRow applies a row of the target list. The row may predate the last
// loads, so copies in host memory that it lacks are kept until maxListDelay
// after the end of their load.
func (lc *localCopies) applyRow(t inventory.Target, now time.Time) {
	lc.disk = make(map[string]bool, len(t.OnDisk))
	for _, model := range t.OnDisk {
		lc.disk[model] = true
	}

	recorded := make(map[string]bool, len(lc.memory))
	lc.memory = slices.DeleteFunc(lc.memory, func(c memoryCopy) bool {
		recorded[c.model] = true

		return !slices.Contains(t.InMemory, c.model) && now.Sub(c.ready) > maxListDelay
	})

	for _, model := range t.InMemory {
		if !recorded[model] {
			lc.memory = slices.Insert(lc.memory, 0, memoryCopy{model: model})
		}
	}
}

// recordLoad records a load that ends at ready. The load leaves a copy on disk
// and one in host memory. If the copies in host memory exceed e.HostMB, those
// loaded longest ago are removed from the record, down to one, since the engine
// evicts them.
//
// Without the removal a load would be predicted to come from host memory
// although its copy was evicted since the last row, and requests would be sent
// before the model is loaded.
func (lc *localCopies) recordLoad(model string, e *route.Engine, ready time.Time) {
	if lc.disk == nil {
		lc.disk = make(map[string]bool)
	}

	lc.disk[model] = true
	lc.memory = slices.DeleteFunc(lc.memory, func(c memoryCopy) bool { return c.model == model })
	lc.memory = append(lc.memory, memoryCopy{model, ready})

	if e.HostMB <= 0 {
		return
	}

	for len(lc.memory) > 1 && lc.memoryMB(e) > e.HostMB {
		lc.memory = lc.memory[1:]
	}
}

// memoryMB returns what the copies in host memory take.
func (lc *localCopies) memoryMB(e *route.Engine) float64 {
	sum := 0.0
	for _, c := range lc.memory {
		sum += takenBy(e.Models[c.model].MB)
	}

	return sum
}

// tiers returns the fastest tier of each model that has a copy outside the
// weight store.
func (lc *localCopies) tiers() map[string]target.Tier {
	out := make(map[string]target.Tier, len(lc.disk)+len(lc.memory))
	for model := range lc.disk {
		out[model] = target.TierDisk
	}

	for _, c := range lc.memory {
		out[c.model] = target.TierMemory
	}

	return out
}
