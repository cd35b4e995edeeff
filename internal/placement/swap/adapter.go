package swap

import (
	"cmp"
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

// LoadedAdapter is an adapter that is loaded on a target.
type LoadedAdapter struct {
	Name     string
	Running  int
	LastUsed time.Time
	// Unloading reports that the adapter is being unloaded. It keeps its slot until then.
	Unloading bool
}

// AdapterTarget is a target on which an adapter's base model is ready.
type AdapterTarget struct {
	ID instance.ID
	// Running is the number of requests that run on the target.
	Running  int
	Adapters []LoadedAdapter
	// Limited reports that the target states a rate limit.
	Limited bool
	// ReservedSlots are slots that must stay free, because an order to a former process
	// of the target may still be carried out.
	ReservedSlots int
}

// AdapterSwap is the load of an adapter. Unload is empty if a slot is free.
type AdapterSwap struct {
	Target instance.ID
	Unload string
}

// PlaceAdapter returns the target on which to load an adapter: the one with the
// fewest running requests among those with a free slot or, if there are none,
// among those with an idle adapter to unload. Targets that state a rate limit are
// used only if no other can load the adapter.
func PlaceAdapter(targets []AdapterTarget, slots int, now time.Time) (AdapterSwap, bool) {
	sorted := slices.Clone(targets)
	slices.SortStableFunc(sorted, func(a, b AdapterTarget) int {
		return cmp.Or(
			cmp.Compare(limited(a), limited(b)),
			cmp.Compare(full(a, slots), full(b, slots)),
			cmp.Compare(a.Running, b.Running),
			cmp.Compare(a.ID, b.ID),
		)
	})

	for _, t := range sorted {
		if t.taken() < slots {
			return AdapterSwap{Target: t.ID}, true
		}

		if idle := oldestIdle(t.Adapters, now); idle != "" && t.taken() == slots {
			return AdapterSwap{Target: t.ID, Unload: idle}, true
		}
	}

	return AdapterSwap{}, false
}

func limited(t AdapterTarget) int {
	if t.Limited {
		return 1
	}

	return 0
}

// taken returns the number of slots that are not free.
func (t AdapterTarget) taken() int { return len(t.Adapters) + t.ReservedSlots }

func full(t AdapterTarget, slots int) int {
	if t.taken() >= slots {
		return 1
	}

	return 0
}

func oldestIdle(adapters []LoadedAdapter, now time.Time) string {
	var oldest *LoadedAdapter

	for i := range adapters {
		a := &adapters[i]
		if a.Unloading || a.Running > 0 || now.Sub(a.LastUsed) < minIdleTime {
			continue
		}

		if oldest == nil || a.LastUsed.Before(oldest.LastUsed) {
			oldest = a
		}
	}

	if oldest == nil {
		return ""
	}

	return oldest.Name
}
