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
func (s standing) cause() cause {
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
func (n *Node) noteLook(what call, s standing, after uint64) {
	if after == 0 && !s.holding {
		n.calls.note(what, causeStart)

		return
	}

	n.calls.note(what, s.cause())
}

// calls counts the calls to the platform's store, which are priced. Set metrics
// before use.
type calls struct {
	counts

	metrics tally.Scope
}

func (c *calls) note(what call, why cause) {
	c.metrics.Tagged(map[string]string{"call": string(what), "cause": string(why)}).Counter("store_calls").Inc(1)
	c.add(string(what)+" "+string(why), 1)
}

// callsEvery is the time between two lines that tell the counts so far.
const callsEvery = 10 * time.Second

// logCalls tells how many calls to the store were made since the process
// started, and how many bytes were exchanged with other entries.
func (n *Node) logCalls(ctx context.Context) {
	var calls, bytes int

	for clock.Sleep(ctx, callsEvery) == nil {
		calls = n.logCounts("store calls", "calls", n.calls.counted(), calls)
		bytes = n.logCounts("bytes between entries", "bytes", n.traffic.counted(), bytes)
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

	note func(key string)
}

// noteTable counts a call for a key of the product's own table.
func (n *Node) noteTable(key string) {
	if strings.HasPrefix(key, entryPrefix) {
		n.calls.note(callEntries, causeStart)
	} else {
		n.calls.note(callLease, n.standing().cause())
	}
}

// Read implements table.Service.
func (t countedTable) Read(ctx context.Context, keys ...string) ([]table.Row, error) {
	t.note(keys[0])

	return t.Service.Read(ctx, keys...)
}

// Scan implements table.Service.
func (t countedTable) Scan(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	t.note(prefix)

	return t.Service.Scan(ctx, prefix, after, limit)
}

// Commit implements table.Service.
func (t countedTable) Commit(ctx context.Context, tx table.Transaction) (uint64, error) {
	t.note(tx.Writes[0].Key)

	return t.Service.Commit(ctx, tx)
}
