package ledger

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
)

// TestAgainstReference runs random reservations, adoptions and removals on a
// ledger and on a plain map, and compares the counts and sums after each.
func TestAgainstReference(t *testing.T) {
	const memory = 100

	rapid.Check(t, func(t *rapid.T) {
		var l Ledger

		reference := make(map[Key]Row)

		usedBytes := func(id instance.ID) int64 {
			var n int64

			for k, r := range reference {
				if k.Target == id {
					n += r.Bytes
				}
			}

			return n
		}

		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			k := Key{
				Target: instance.ID(fmt.Sprint("t", rapid.IntRange(0, 2).Draw(t, "target"))),
				Model:  fmt.Sprint("m", rapid.IntRange(0, 4).Draw(t, "model")),
			}
			row := Row{Key: k, Bytes: rapid.Int64Range(0, 60).Draw(t, "bytes")}
			_, exists := reference[k]

			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				_, err := l.Reserve(row, memory)
				fits := !exists && usedBytes(k.Target)+row.Bytes <= memory

				if fits != (err == nil) {
					t.Fatalf("fits: %v, but Reserve returned %v", fits, err)
				}

				if fits {
					reference[k] = row
				}
			case 2:
				l.Adopt(row)

				if !exists {
					reference[k] = row
				}
			case 3:
				l.Remove(k)
				delete(reference, k)
			}

			if l.Len() != len(reference) || l.UsedBytes(k.Target) != usedBytes(k.Target) {
				t.Fatalf("ledger: %d rows, %d bytes; reference: %d, %d", l.Len(), l.UsedBytes(k.Target), len(reference), usedBytes(k.Target))
			}

			replicas := 0

			for other := range reference {
				if other.Model == k.Model {
					replicas++
				}
			}

			if len(l.Model(k.Model)) != replicas {
				t.Fatalf("ledger: %d replicas; reference: %d", len(l.Model(k.Model)), replicas)
			}
		}
	})
}

func TestReserveErrors(t *testing.T) {
	var l Ledger

	_, err := l.Reserve(Row{Key: Key{"t", "a"}, Bytes: 60}, 100)
	assert.NilError(t, err)

	_, err = l.Reserve(Row{Key: Key{"t", "b"}, Bytes: 41}, 100)

	var over *OvercommitError

	assert.Assert(t, errors.As(err, &over))
	assert.Equal(t, over.Used, int64(60))

	_, err = l.Reserve(Row{Key: Key{"t", "a"}}, 100)

	var duplicate *DuplicateError

	assert.Assert(t, errors.As(err, &duplicate))
}

// TestRemovable guards against an order that arrives after its row was removed
// and loads a replica that the ledger does not count. A row may be removed only
// when the engine does not hold its model and no order for it can take effect
// any more.
func TestRemovable(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	empty := &target.Inventory{Incarnation: "i2", Token: 5}
	holding := &target.Inventory{Incarnation: "i2", Token: 5, Resident: []target.ResidentModel{{Model: "m"}}}
	long := OrderLifetime + time.Second

	for name, tc := range map[string]struct {
		state State
		e     Evidence
		want  bool
	}{
		"own, answered":                                        {State{OwnTerm: true, Acknowledged: true, Incarnation: "i2"}, Evidence{Inventory: empty}, true},
		"own, no order sent":                                   {State{OwnTerm: true}, Evidence{Inventory: empty}, true},
		"own, still loaded":                                    {State{OwnTerm: true, Acknowledged: true, Incarnation: "i2"}, Evidence{Inventory: holding}, false},
		"own, no inventory":                                    {State{OwnTerm: true, Acknowledged: true, Incarnation: "i2"}, Evidence{}, false},
		"own, order in doubt":                                  {State{OwnTerm: true, InDoubtSince: now.Add(-time.Second)}, Evidence{Inventory: empty}, false},
		"own, in doubt for longer than OrderLifetime":          {State{OwnTerm: true, InDoubtSince: now.Add(-long)}, Evidence{Inventory: empty}, true},
		"own, in doubt, an order answered by this incarnation": {State{OwnTerm: true, Acknowledged: true, Incarnation: "i2", InDoubtSince: now}, Evidence{Inventory: empty}, true},
		"own, in doubt, an order answered by an earlier incarnation": {
			State{OwnTerm: true, Acknowledged: true, Incarnation: "i1", InDoubtSince: now}, Evidence{Inventory: empty}, false,
		},
		"adopted, writer not proved idle, token raised": {
			State{Acknowledged: true, Incarnation: "i2"}, Evidence{Inventory: empty, ChecksTokens: true, Token: 5}, false,
		},
		"adopted, writer idle, token raised": {
			State{}, Evidence{Inventory: empty, ChecksTokens: true, Token: 5, WriterIdle: 1}, true,
		},
		"adopted, writer idle, token not raised yet": {
			State{}, Evidence{Inventory: empty, ChecksTokens: true, Token: 6, WriterIdle: time.Second}, false,
		},
		"adopted, writer just proved idle, tokens ignored": {
			State{}, Evidence{Inventory: empty, Token: 5, WriterIdle: time.Second}, false,
		},
		"adopted, writer idle for longer than OrderLifetime, tokens ignored": {
			State{}, Evidence{Inventory: empty, Token: 5, WriterIdle: long}, true,
		},
		"target gone": {State{InDoubtSince: now}, Evidence{TargetGone: true}, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := &Row{Key: Key{"t", "m"}, State: tc.state}
			tc.e.Now = now
			assert.Equal(t, r.Removable(tc.e), tc.want)
		})
	}
}
