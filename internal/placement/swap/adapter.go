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
}

// AdapterTarget is a target on which an adapter's base model is ready.
type AdapterTarget struct {
	ID instance.ID
	// Running is the number of requests that run on the target.
	Running  int
	Adapters []LoadedAdapter
}

// AdapterSwap is the load of an adapter. Unload is empty if a slot is free.
type AdapterSwap struct {
	Target instance.ID
	Unload string
}

// PlaceAdapter returns the target on which to load an adapter: the one with the
// fewest running requests among those with a free slot or, if there are none,
// among those with an idle adapter to unload.
func PlaceAdapter(sites []AdapterTarget, slots int, now time.Time) (AdapterSwap, bool) {
	sorted := slices.Clone(sites)
	slices.SortStableFunc(sorted, func(a, b AdapterTarget) int {
		return cmp.Or(
			cmp.Compare(full(a, slots), full(b, slots)),
			cmp.Compare(a.Running, b.Running),
			cmp.Compare(a.ID, b.ID),
		)
	})

	for _, s := range sorted {
		if len(s.Adapters) < slots {
			return AdapterSwap{Target: s.ID}, true
		}

		if idle := oldestIdle(s.Adapters, now); idle != "" {
			return AdapterSwap{Target: s.ID, Unload: idle}, true
		}
	}

	return AdapterSwap{}, false
}

func full(s AdapterTarget, slots int) int {
	if len(s.Adapters) >= slots {
		return 1
	}

	return 0
}

func oldestIdle(adapters []LoadedAdapter, now time.Time) string {
	var oldest *LoadedAdapter

	for i := range adapters {
		a := &adapters[i]
		if a.Running > 0 || now.Sub(a.LastUsed) < minIdleTime {
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
