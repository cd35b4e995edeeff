package holder

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/fleet/inventory"
	"github.com/fulmarcross/fulmarcross/internal/placement/ledger"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
)

// TestLateOrdersReserve checks which unanswered orders keep memory and slots free.
func TestLateOrdersReserve(t *testing.T) {
	now := time.Date(2026, 12, 3, 23, 0, 0, 0, time.UTC)
	until := now.Add(time.Second)
	load := lateOrder{process: 1, sequence: 4, mb: 10, until: until}
	adapter := lateOrder{process: 1, sequence: 4, adapter: true, until: until}

	for name, tc := range map[string]struct {
		orders   []lateOrder
		process  int64
		sequence uint64
		mb       float64
		slots    int
	}{
		"none":                      {process: 2},
		"same process":              {orders: []lateOrder{load}, process: 1, sequence: 4},
		"next process, before":      {orders: []lateOrder{load}, process: 2, sequence: 0, mb: 10},
		"next process, at":          {orders: []lateOrder{load}, process: 2, sequence: 4, mb: 10},
		"next process, beyond":      {orders: []lateOrder{load}, process: 2, sequence: 5},
		"over":                      {orders: []lateOrder{{process: 1, sequence: 4, mb: 10, until: now}}, process: 2},
		"one after the other":       {orders: []lateOrder{load, {process: 1, sequence: 5, mb: 20, until: until}, {process: 1, sequence: 6, adapter: true, until: until}}, process: 2, sequence: 4, mb: 30, slots: 1},
		"load, unload and load":     {orders: []lateOrder{load, {process: 1, sequence: 5, until: until}, {process: 1, sequence: 6, mb: 20, until: until}}, process: 2, mb: 30},
		"two of one sequence":       {orders: []lateOrder{load, {process: 1, sequence: 4, mb: 20, until: until}, adapter, adapter}, process: 2, sequence: 4, mb: 20, slots: 1},
		"adapter":                   {orders: []lateOrder{adapter}, process: 2, slots: 1},
		"the largest of several":    {orders: []lateOrder{load, {process: 1, sequence: 9, mb: 30, until: until}, adapter}, process: 2, mb: 30, slots: 1},
		"of two processes before":   {orders: []lateOrder{load, {process: 2, sequence: 4, mb: 20, until: until}}, process: 3, mb: 20},
		"of the present one beside": {orders: []lateOrder{load, {process: 2, sequence: 4, mb: 20, until: until}}, process: 2, mb: 10},
	} {
		t.Run(name, func(t *testing.T) {
			l := make(lateOrders)
			for _, o := range tc.orders {
				l.record("t", o, now.Add(-time.Second))
			}

			mb, slots := l.reserve("t", tc.process, tc.sequence, now)
			assert.Equal(t, mb, tc.mb)
			assert.Equal(t, slots, tc.slots)
		})
	}
}

// TestUnloadWithoutAnswerLinksLateLoads guards against room for only one of two late loads whose sequences an unload without an answer lies between.
func TestUnloadWithoutAnswerLinksLateLoads(t *testing.T) {
	now := time.Now()
	e := &route.Engine{Models: map[string]route.Model{"a": {MB: 10}, "b": {MB: 20}}}
	h := &Holder{cfg: Config{Routes: func() *route.Config { return &route.Config{Services: map[string]route.Service{"s": {Engine: e}}} }}}
	eng := &trackedEngine{born: 1}
	eng.origin.ID, eng.target.Service = "t", "s"

	for _, o := range []Order{{Model: "a", Sequence: 3}, {Unload: true, Model: "a", Sequence: 4}, {Model: "b", Sequence: 5}} {
		h.recordInDoubt(eng, o, now)
	}

	mb, _ := h.lateOrders.reserve("t", 2, 0, now)
	assert.Equal(t, mb, 30.0)
}

// TestRoomOnReplacedTarget guards against room by an order's answer where orders to the target's former processes may take its place.
func TestRoomOnReplacedTarget(t *testing.T) {
	now := time.Now()
	e := &route.Engine{MemoryMB: 36, Models: map[string]route.Model{"a": {MB: 10}, "b": {MB: 10}, "c": {MB: 10}, "d": {MB: 10}}}

	for name, tc := range map[string]struct {
		replacedAt time.Time
		// listed is the process in the target list.
		listed int64
		shown  bool
		room   bool
	}{
		"never replaced":                  {listed: 2, room: true},
		"replaced just now":               {listed: 2, replacedAt: now},
		"replaced just now, report":       {listed: 2, replacedAt: now, shown: true, room: true},
		"replaced, not in the list yet":   {listed: 1},
		"replaced, orders may still come": {listed: 2, replacedAt: now.Add(time.Second - ledger.OrderLifetime)},
		"replaced long ago":               {listed: 2, replacedAt: now.Add(-ledger.OrderLifetime), room: true},
	} {
		t.Run(name, func(t *testing.T) {
			h := &Holder{cfg: Config{Routes: func() *route.Config { return &route.Config{Services: map[string]route.Service{"s": {Engine: e}}} }}}
			eng := &trackedEngine{born: 2}
			eng.target = inventory.Target{Service: "s", StartedMs: tc.listed, ReplacedAt: tc.replacedAt}

			for _, requested := range []time.Time{now.Add(-5 * time.Second), now.Add(-3 * time.Second)} {
				eng.observe(Report{Resident: []inventory.ResidentModel{{Model: "a"}, {Model: "b"}, {Model: "c"}}}, requested, requested)
			}

			eng.recordSent(Order{Unload: true, Model: "a"}, now)

			if tc.shown {
				eng.observe(Report{Sequence: 1, Resident: []inventory.ResidentModel{{Model: "b"}, {Model: "c"}}}, now, now)
			}

			assert.Equal(t, h.hasRoom(eng, Order{Model: "d", Sequence: 1}, now), tc.room)
		})
	}
}
