package swap

import (
	"cmp"
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

// AdapterOn is an adapter that is loaded on a target.
type AdapterOn struct {
	Name    string
	Running int
	Used    time.Time
}

// Site is a target on which an adapter's base model is ready.
type Site struct {
	ID instance.ID
	// Running is the number of requests that run on the target.
	Running  int
	Adapters []AdapterOn
}

// AdapterMove is the load of an adapter. Unload is empty if a slot is free.
type AdapterMove struct {
	Target instance.ID
	Unload string
}

// PlaceAdapter returns the target on which to load an adapter: the one with the
// fewest running requests among those with a free slot or, if there are none,
// among those with an idle adapter to unload.
func PlaceAdapter(sites []Site, slots int, now time.Time) (AdapterMove, bool) {
	sorted := slices.Clone(sites)
	slices.SortStableFunc(sorted, func(a, b Site) int {
		return cmp.Or(
			cmp.Compare(full(a, slots), full(b, slots)),
			cmp.Compare(a.Running, b.Running),
			cmp.Compare(a.ID, b.ID),
		)
	})

	for _, s := range sorted {
		if len(s.Adapters) < slots {
			return AdapterMove{Target: s.ID}, true
		}

		if idle := oldestIdle(s.Adapters, now); idle != "" {
			return AdapterMove{Target: s.ID, Unload: idle}, true
		}
	}

	return AdapterMove{}, false
}

func full(s Site, slots int) int {
	if len(s.Adapters) >= slots {
		return 1
	}

	return 0
}

func oldestIdle(adapters []AdapterOn, now time.Time) string {
	var oldest *AdapterOn

	for i := range adapters {
		a := &adapters[i]
		if a.Running > 0 || now.Sub(a.Used) < minIdleTime {
			continue
		}

		if oldest == nil || a.Used.Before(oldest.Used) {
			oldest = a
		}
	}

	if oldest == nil {
		return ""
	}

	return oldest.Name
}
