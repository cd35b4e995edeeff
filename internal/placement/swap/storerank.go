package swap

import "github.com/fulmarcross/fulmarcross/internal/serving/route"

// mayUseStore reports whether another replica of a crowded model justifies a load from
// the weight store. For engines with small batches these loads are ranked with all
// others, when no target has loaded the model from its own copy.
func (d *decider) mayUseStore(dem Demand) bool {
	if d.site == nil {
		return d.isOverloaded(dem)
	}

	return d.rankingStore
}

// storeExcess returns how many requests per second of the model exceed the capacity
// of all its copies: of its replicas, and of the targets that have its weights in host
// memory or on disk, could make room for it and have free slots. It is no more than
// the model's request rate, because a load from the weight store serves the requests
// that arrive after it.
func (d *decider) storeExcess(dem Demand) float64 {
	if d.site == nil {
		return 0
	}

	m, left := d.Engine.Models[dem.Model], d.excess(dem)
	if left < evictRunningFrom {
		return 0
	}

	for _, t := range d.copiesAt[m.Name] {
		if !d.ordered[t.ID] && !holds(t, m.Name) && d.couldMakeRoom(t, &m, dem) {
			left -= d.site.free[t.ID]
		}
	}

	return min(max(0, left)/serveTime.Seconds(), max(d.Rate[m.Name], d.LongTermRate[m.Name]))
}

// couldMakeRoom reports whether the target could load the model now or when its order
// in flight has ended.
func (d *decider) couldMakeRoom(t *Target, m *route.Model, dem Demand) bool {
	if !t.AcceptsOrders {
		return true
	}

	_, _, _, ok := d.makeRoomByWorth(t, *m, dem) //nolint:dogsled // Only whether there is room matters here.

	return ok
}

// isPressed reports whether requests are queued for any model, or a model is
// overloaded.
func (d *decider) isPressed() bool {
	for _, dem := range d.Demands {
		if dem.Waiting > 0 || d.excess(dem) > 0 {
			return true
		}
	}

	return false
}

// keepsStoreFree reports whether the load would take the last load of the weight store
// from the models that have queued requests and no copy. Where the store serves only
// one load at full speed, the loads are ranked by worth alone.
func (d *decider) keepsStoreFree(l *storeLoad) bool {
	if d.freeStoreLoads > reservedStoreLoads {
		return false
	}

	if l.worth < highWorth {
		return true
	}

	return d.FreeStoreLoads+len(d.StoreLoadsEndIn) > reservedStoreLoads && d.anyQueuedWithoutCopy()
}

// anyQueuedWithoutCopy reports whether requests are queued for a model that has no copy.
func (d *decider) anyQueuedWithoutCopy() bool {
	for i, dem := range d.Demands[d.site.checked:] {
		if dem.Waiting > 0 && d.nearby[dem.Model] == 0 && d.replicas[dem.Model] == 0 {
			d.site.checked += i

			return true
		}
	}

	d.site.checked = len(d.Demands)

	return false
}
