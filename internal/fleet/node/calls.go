package node

import (
	"context"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/platform/revision"
	"github.com/fulmarcross/fulmarcross/internal/platform/table"
)

// purpose is what a call to the platform's store is for.
type purpose string

// The purposes of calls to the store.
const (
	purposeConfig  purpose = "config"
	purposeTargets purpose = "targets"
	purposeLease   purpose = "lease"
	purposeEntries purpose = "entries"
	purposeStreams purpose = "streams"
	purposeCrashes purpose = "crashes"
)

// cause is why a call to the store is made.
type cause string

// The causes of calls.
const (
	// causeStart is for reads of data that the process has not read yet, unless
	// it holds the lease, and for all calls for the entries' rows.
	causeStart cause = "start"
	// causeHolding is for calls of the holder, on which the other entries rely.
	causeHolding cause = "holding"
	// causeLed is for calls of entries to which the holder announces changes.
	causeLed cause = "led"
	// causeAlone is for calls of entries that receive nothing from a holder, or
	// whose holder cannot read the store.
	causeAlone cause = "alone"
)

// cause returns the cause of a call by an entry that has read the store before.
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

// countRead counts a read of the store for changes after a version; zero means
// that this entry has no data yet.
func (n *Node) countRead(p purpose, s pollState, after revision.Number) {
	if after == 0 && !s.holding {
		n.calls.count(p, causeStart)

		return
	}

	n.calls.count(p, s.cause())
}

// calls counts the calls to the platform's store, which are charged for. Set
// metrics before use.
type calls struct {
	counts

	metrics tally.Scope
}

func (s *calls) count(p purpose, c cause) {
	s.metrics.Tagged(map[string]string{"call": string(p), "cause": string(c)}).Counter("store_calls").Inc(1)
	s.add(string(p)+" "+string(c), 1)
}

// callsLogInterval is the time between two log lines with the counts so far.
const callsLogInterval = 10 * time.Second

// logCalls logs how many calls to the store were made since the process
// started, and how many bytes were exchanged with other entries.
func (n *Node) logCalls(ctx context.Context) {
	var calls, bytes int

	for clock.Sleep(ctx, callsLogInterval) == nil {
		calls = n.logCounts("store calls", "calls", n.calls.totals(), calls)
		bytes = n.logCounts("bytes between entries", "bytes", n.traffic.totals(), bytes)
	}
}

// logCounts logs the counts if their sum differs from the last one, and returns
// the sum.
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

// countedTable counts the calls to the entries' own table.
type countedTable struct {
	table.Service

	count func(key string)
}

// countTableCall counts a call for a key of the entries' own table.
func (n *Node) countTableCall(key string) {
	switch {
	case strings.HasPrefix(key, entryPrefix):
		n.calls.count(purposeEntries, causeStart)
	case key == historiesKey, strings.HasPrefix(key, streamPrefix):
		n.calls.count(purposeStreams, n.pollState().cause())
	case key == blocksKey:
		n.calls.count(purposeCrashes, n.pollState().cause())
	default:
		n.calls.count(purposeLease, n.pollState().cause())
	}
}

// Era returns the era of the store.
func (t countedTable) Era() uint64 { return table.Era(t.Service) }

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
func (t countedTable) Commit(ctx context.Context, tx table.Transaction) (revision.Number, error) {
	t.count(tx.Writes[0].Key)

	return t.Service.Commit(ctx, tx)
}
