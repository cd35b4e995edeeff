package node

import (
	"context"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/platform/table"
)

// call is what a call to the platform's store is for.
type call string

// The calls to the store.
const (
	callConfig  call = "config"
	callTargets call = "targets"
	callLease   call = "lease"
	callEntries call = "entries"
)

// cause is why a call to the store is made.
type cause string

// The causes of calls.
const (
	// causeStart calls learn what a process does not know at all.
	causeStart cause = "start"
	// causeHolding calls are those of the holder, on which the others rest.
	causeHolding cause = "holding"
	// causeLed calls are those of entries that the holder tells of changes.
	causeLed cause = "led"
	// causeAlone calls are those of entries that hear no holder, or one that
	// does not hear the store.
	causeAlone cause = "alone"
)

// cause returns why an entry that knows the store calls it.
func (s pollState) cause() cause {
	switch {
	case s.holding:
		return causeHolding
	case s.led:
		return causeLed
	default:
		return causeAlone
	}
}

// noteLook counts a look at the store by an entry that knows it as of a version,
// or not at all if that is zero.
func (n *Node) countRead(what call, s pollState, after uint64) {
	if after == 0 && !s.holding {
		n.calls.count(what, causeStart)

		return
	}

	n.calls.count(what, s.cause())
}

// calls counts the calls to the platform's store, which are priced. Set metrics
// before use.
type calls struct {
	counts

	metrics tally.Scope
}

func (c *calls) count(what call, why cause) {
	c.metrics.Tagged(map[string]string{"call": string(what), "cause": string(why)}).Counter("store_calls").Inc(1)
	c.add(string(what)+" "+string(why), 1)
}

// callsEvery is the time between two lines that tell the counts so far.
const callsLogInterval = 10 * time.Second

// logCalls tells how many calls to the store were made since the process
// started, and how many bytes were exchanged with other entries.
func (n *Node) logCalls(ctx context.Context) {
	var calls, bytes int

	for clock.Sleep(ctx, callsLogInterval) == nil {
		calls = n.logCounts("store calls", "calls", n.calls.totals(), calls)
		bytes = n.logCounts("bytes between entries", "bytes", n.traffic.totals(), bytes)
	}
}

// logCounts tells counts unless their sum is the last one, and returns it.
func (n *Node) logCounts(message, name string, counts map[string]int, last int) int {
	sum := 0
	line := zerolog.Dict()

	for what, count := range counts {
		sum += count
		line.Int(what, count)
	}

	if sum != last {
		n.cfg.Log.Info().Int("sum", sum).Dict(name, line).Msg(message)
	}

	return sum
}

// countedTable counts the calls to the product's own table.
type countedTable struct {
	table.Service

	count func(key string)
}

// noteTable counts a call for a key of the product's own table.
func (n *Node) countTableCall(key string) {
	if strings.HasPrefix(key, entryPrefix) {
		n.calls.count(callEntries, causeStart)
	} else {
		n.calls.count(callLease, n.pollState().cause())
	}
}

// Read implements table.Service.
func (t countedTable) Read(ctx context.Context, keys ...string) ([]table.Row, error) {
	t.count(keys[0])

	return t.Service.Read(ctx, keys...)
}

// Scan implements table.Service.
func (t countedTable) Scan(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	t.count(prefix)

	return t.Service.Scan(ctx, prefix, after, limit)
}

// Commit implements table.Service.
func (t countedTable) Commit(ctx context.Context, tx table.Transaction) (uint64, error) {
	t.count(tx.Writes[0].Key)

	return t.Service.Commit(ctx, tx)
}
