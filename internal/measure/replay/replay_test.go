package replay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/measure/arrival"
)

// TestFrontier holds the product's policy against naive ones on a Monday after
// two weeks: with no more idle hours than an hour's keep-alive it must have
// less tail, and no policy may lose a request or load without end.
func TestFrontier(t *testing.T) {
	site := arrival.Platero(3, 15)
	monday := site.Start.AddDate(0, 0, 14)
	run := func(p Policy) *Result {
		return Run(site, Options{Policy: p, From: monday, To: monday.AddDate(0, 0, 1)})
	}

	product, hour, lru := run(Product{Weight: 0.6}), run(KeepAlive{For: time.Hour}), run(KeepAlive{})

	for name, r := range map[string]*Result{"product": product, "an hour": hour, "LRU": lru} {
		assert.Equal(t, len(r.Waits), len(lru.Waits), name)
		assert.Assert(t, r.Loads < 1000, "%s: %d loads", name, r.Loads)
	}

	assert.Assert(t, product.Idle < hour.Idle, "idle: product %s, an hour %s", product.Idle, hour.Idle)
	assert.Assert(t, product.Wait(0.99) <= hour.Wait(0.99), "p99: product %s, an hour %s", product.Wait(0.99), hour.Wait(0.99))
	assert.Assert(t, hour.Idle < lru.Idle)
}

func TestRecordIsSeeded(t *testing.T) {
	a, b, c := arrival.Vatuvola(1, 2), arrival.Vatuvola(1, 2), arrival.Vatuvola(2, 2)
	assert.DeepEqual(t, a.Uses, b.Uses)
	assert.Assert(t, len(c.Uses) != len(a.Uses) || c.Uses[0] != a.Uses[0])
	assert.Equal(t, len(arrival.Platero(1, 1).Targets), 21)
	assert.Equal(t, len(arrival.Platero(1, 1).Models), 195)
}
