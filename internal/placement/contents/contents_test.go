package contents

import (
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 12, 5, 10, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func items(names ...string) Items {
	out := make(Items)
	for _, name := range names {
		out[item(name)] = true
	}

	return out
}

// item returns a model, or an adapter if the name has a slash.
func item(name string) Item {
	model, adapter, _ := strings.Cut(name, "/")

	return Item{Model: model, Adapter: adapter}
}

// shown returns the record of an engine that holds items after two orders.
func shown(names ...string) Record {
	return Record{shown: true, sequence: 2, items: items(names...)}
}

func load(name string, sequence uint64) Order { return Order{Item: item(name), Sequence: sequence} }

func unload(name string, sequence uint64) Order {
	return Order{Item: item(name), Unload: true, Sequence: sequence}
}

// TestReportThatLacksAnOrder guards against a report that counts although the models in it are older than its sequence.
func TestReportThatLacksAnOrder(t *testing.T) {
	for name, tc := range map[string]struct {
		before Record
		report Report
		counts bool
	}{
		"nothing has changed":              {shown("a"), Report{Sequence: 2, Items: items("a")}, true},
		"a load is visible":                {shown("a"), Report{Sequence: 3, Items: items("a", "b")}, true},
		"an unload is visible":             {shown("a", "b"), Report{Sequence: 3, Items: items("b")}, true},
		"a swap is visible":                {shown("a"), Report{Sequence: 4, Items: items("b")}, true},
		"an unload takes adapters along":   {shown("a", "a/1", "a/2", "b"), Report{Sequence: 3, Items: items("b")}, true},
		"an adapter is visible":            {shown("a"), Report{Sequence: 3, Items: items("a", "a/1")}, true},
		"an order is missing":              {shown("a"), Report{Sequence: 3, Items: items("a")}, false},
		"the load of a swap is missing":    {shown("a", "b"), Report{Sequence: 4, Items: items("b")}, false},
		"a swap is missing":                {shown("a"), Report{Sequence: 4, Items: items("a")}, false},
		"reload, which drops all adapters": {shown("a", "a/1", "a/2", "a/3"), Report{Sequence: 5, Items: items("a")}, false},
		"an order is being carried out":    {shown("a"), Report{Sequence: 2, Busy: true, Items: items("a")}, false},
		"it is older than what is known":   {shown("a"), Report{Sequence: 1, Items: items("b")}, false},
		"nothing is known":                 {Record{}, Report{Sequence: 2, Items: items("a")}, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := tc.before
			assert.Equal(t, c.Observe(tc.report, at(0), at(1)), tc.counts)
		})
	}
}

// TestReportThatIsRepeated guards against reports that count because they say the same, though not for longer than a report can be old.
func TestReportThatIsRepeated(t *testing.T) {
	same := Report{Sequence: 4, Items: items("a")}

	for name, tc := range map[string]struct {
		// second is a report that arrives between the first and the last.
		second     Report
		orderedAt  bool
		unanswered bool
		last       int
		counts     bool
	}{
		"for a second":              {second: same, last: 1001, counts: true},
		"for less":                  {second: same, last: 1000},
		"something else between":    {second: Report{Sequence: 4, Items: items("a", "b")}, last: 1400},
		"another sequence between":  {second: Report{Sequence: 5, Items: items("a")}, last: 1400},
		"busy between":              {second: Report{Sequence: 4, Busy: true, Items: items("a")}, last: 1400},
		"an order was sent between": {second: same, orderedAt: true, last: 1400},
		"no answer between":         {second: same, unanswered: true, last: 1400},
	} {
		t.Run(name, func(t *testing.T) {
			c := shown("a")
			assert.Assert(t, !c.Observe(same, at(0), at(1)))
			assert.Assert(t, !c.Observe(tc.second, at(500), at(501)))

			if tc.orderedAt {
				c.Sent(unload("a", 4), at(15000))
			}

			if tc.unanswered {
				c.Unanswered()
			}

			assert.Equal(t, c.Observe(same, at(tc.last), at(tc.last+1)), tc.counts)
		})
	}
}

// TestMost guards against loads for which orders that were sent may have left no room, whatever the answers to them were.
func TestMost(t *testing.T) {
	sizes := map[string]float64{"a": 1, "b": 2, "c": 4, "d": 8}
	size := func(model string) float64 {
		if mb, known := sizes[model]; known {
			return mb
		}

		return math.Inf(1)
	}

	for name, tc := range map[string]struct {
		before   Record
		sent     []Order
		load     Order
		mb       float64
		adapters int
	}{
		"into free room":                    {before: shown("a"), load: load("b", 2), mb: 3},
		"after its unload":                  {before: shown("a", "b"), sent: []Order{unload("b", 2)}, load: load("c", 3), mb: 5},
		"after another load":                {before: shown("a"), sent: []Order{load("b", 2)}, load: load("c", 3), mb: 7},
		"either one or the other":           {before: shown("a"), sent: []Order{load("b", 2)}, load: load("c", 2), mb: 5},
		"an unload or a load":               {before: shown("a"), sent: []Order{unload("a", 2), load("b", 2)}, load: load("c", 3), mb: 7},
		"a load that was sent for later":    {before: shown("a"), sent: []Order{load("b", 3)}, load: load("c", 2), mb: 7},
		"loaded and unloaded":               {before: shown(), sent: []Order{load("b", 2), unload("b", 3)}, load: load("c", 4), mb: 4},
		"somebody else's order before":      {before: shown("a"), load: load("b", 3), mb: math.Inf(1), adapters: math.MaxInt},
		"before what is known":              {before: shown("a"), load: load("b", 1), mb: math.Inf(1), adapters: math.MaxInt},
		"nothing is known":                  {load: load("b", 0), mb: math.Inf(1), adapters: math.MaxInt},
		"of unknown size":                   {before: shown("a"), load: load("x", 2), mb: math.Inf(1)},
		"beside a model of unknown size":    {before: shown("x"), load: load("a", 2), mb: math.Inf(1)},
		"an adapter":                        {before: shown("a", "a/1"), load: load("a/2", 2), mb: 1, adapters: 2},
		"an adapter, one may be in use":     {before: shown("a", "a/1"), sent: []Order{unload("a/1", 2)}, load: load("a/2", 3), mb: 1, adapters: 2},
		"adapters are gone with their base": {before: shown("a", "a/1", "b"), sent: []Order{unload("a", 2)}, load: load("b/1", 3), mb: 2, adapters: 1},
	} {
		t.Run(name, func(t *testing.T) {
			c := tc.before
			for _, o := range tc.sent {
				c.Sent(o, at(15000))
			}

			mb, adapters := c.Most(tc.load, size)
			assert.Equal(t, mb, tc.mb)
			assert.Equal(t, adapters, tc.adapters)
		})
	}
}

// TestModelKeepsItsLargestSize guards against room that a configuration frees by stating a smaller size, or none, of a model that the engine holds.
func TestModelKeepsItsLargestSize(t *testing.T) {
	c := shown("a")

	for _, stated := range []float64{8, 4, math.Inf(1)} {
		mb, _ := c.Most(load("b", 2), func(model string) float64 {
			if model == "a" {
				return stated
			}

			return 1
		})
		assert.Equal(t, mb, 9.0)
	}
}
