// Package ledger counts what is loaded, or may be: one row for each model on
// each target, written before the order that loads it and removed only when
// the unload is proved. It does no I/O and reads no clock.
package ledger

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
)

// Key names a row.
type Key struct {
	Target instance.ID
	Model  string
}

// Row is one counted replica.
type Row struct {
	Key

	Base  string
	Bytes int64
	// Plan is for whom the replica was loaded.
	Plan string
	// Token is the fencing token under which the row was first written.
	Token uint64
	// Holder and Process are who wrote it.
	Holder  instance.ID
	Process string
	// WriteID is unique to the write, so that its writer can recognise it
	// when the answer was lost.
	WriteID string
	// Version is the row's version in the table, the condition of its
	// removal. It is zero while the write is not yet proved.
	Version uint64

	State State
}

// State is what the holder knows of a row. It is not stored: a successor
// learns it from the engines.
type State struct {
	Phase target.Phase
	// Acked says that the engine has answered the load order of this holder.
	Acked bool
	// Incarnation is the engine's when it acknowledged.
	Incarnation string
	// Doubt is when an order for the row was last sent that got no answer, so
	// that it may still arrive. Zero means that all were answered.
	Doubt time.Time
	// Stuck says that the row waits for a proof that will take a while, so
	// that its memory cannot be planned with.
	Stuck bool
	// Retiring says that no new work goes to the replica and that it is
	// unloaded once it is idle.
	Retiring bool
	// Own says that the row was written in this tenure, so that nobody else
	// has ever sent an order for it. The others were found in the table at the
	// take-over, and their writers may still have orders in hand.
	Own bool
	// SettledSince is since when the row's writer is proved to have no order
	// in hand. Zero means that it is not proved.
	SettledSince time.Time
	// Since is when the phase last changed.
	Since time.Time
	// LastUsed is when a request last ran or waited on the replica.
	LastUsed time.Time
	// Running is how many requests run on the replica, over all entries.
	Running int
	// Failures counts failed loads in a row.
	Failures int
	// Busy says that something is under way for the row, so that nothing else
	// may be begun.
	Busy bool
}

// OvercommitError says that a row would exceed the target's memory.
type OvercommitError struct {
	Key          Key
	Held, Memory int64
}

func (e *OvercommitError) Error() string {
	return fmt.Sprintf("ledger: %s on %s: %d of %d bytes are held", e.Key.Model, e.Key.Target, e.Held, e.Memory)
}

// DuplicateError says that the model is already counted on the target.
type DuplicateError struct{ Key Key }

func (e *DuplicateError) Error() string {
	return fmt.Sprintf("ledger: %s is already on %s", e.Key.Model, e.Key.Target)
}

// Book is a cell's ledger in memory. The zero value is empty. It is not safe
// for concurrent use.
type Book struct {
	rows map[Key]*Row
	// held sums the bytes of all rows by target. A row counts from before its
	// write until its removal is proved, whatever its phase.
	held map[instance.ID]int64
	// models lists each model's rows, sorted by target.
	models map[string][]*Row
	// targets lists each target's rows, sorted by model.
	targets map[instance.ID][]*Row
}

// Reserve adds a row, unless it would exceed memory.
func (b *Book) Reserve(r Row, memory int64) (*Row, error) {
	if b.rows[r.Key] != nil {
		return nil, &DuplicateError{Key: r.Key}
	}

	if held := b.held[r.Target]; held+r.Bytes > memory {
		return nil, &OvercommitError{Key: r.Key, Held: held, Memory: memory}
	}

	return b.Adopt(r), nil
}

// Adopt adds a row that exists whether it fits or not: one found in the
// table, or a replica found on an engine.
func (b *Book) Adopt(r Row) *Row {
	if old := b.rows[r.Key]; old != nil {
		return old
	}

	b.init()

	row := &r
	b.rows[r.Key] = row
	b.held[r.Target] += r.Bytes
	b.models[r.Model] = insert(b.models[r.Model], row)
	b.targets[r.Target] = insert(b.targets[r.Target], row)

	return row
}

// Remove takes the row off the book.
func (b *Book) Remove(k Key) {
	row := b.rows[k]
	if row == nil {
		return
	}

	delete(b.rows, k)
	b.held[k.Target] -= row.Bytes
	b.models[k.Model] = remove(b.models, k.Model, row)
	b.targets[k.Target] = remove(b.targets, k.Target, row)

	if len(b.models[k.Model]) == 0 {
		delete(b.models, k.Model)
	}

	if len(b.targets[k.Target]) == 0 {
		delete(b.targets, k.Target)
		delete(b.held, k.Target)
	}
}

func (b *Book) init() {
	if b.rows != nil {
		return
	}

	b.rows = make(map[Key]*Row)
	b.held = make(map[instance.ID]int64)
	b.models = make(map[string][]*Row)
	b.targets = make(map[instance.ID][]*Row)
}

func insert(rows []*Row, row *Row) []*Row {
	at, _ := slices.BinarySearchFunc(rows, row, compare)

	return slices.Insert(rows, at, row)
}

func remove[K comparable](index map[K][]*Row, key K, row *Row) []*Row {
	rows := index[key]
	if at, ok := slices.BinarySearchFunc(rows, row, compare); ok {
		return slices.Delete(rows, at, at+1)
	}

	return rows
}

func compare(a, b *Row) int {
	return cmp.Or(cmp.Compare(a.Target, b.Target), strings.Compare(a.Model, b.Model))
}

// Row returns the row, or nil.
func (b *Book) Row(k Key) *Row { return b.rows[k] }

// Len returns how many rows there are.
func (b *Book) Len() int { return len(b.rows) }

// Held returns the bytes counted on the target.
func (b *Book) Held(t instance.ID) int64 { return b.held[t] }

// Model returns the model's rows, sorted by target.
func (b *Book) Model(name string) []*Row { return b.models[name] }

// Target returns the target's rows, sorted by model.
func (b *Book) Target(t instance.ID) []*Row { return b.targets[t] }

// All calls f for every row.
func (b *Book) All(f func(*Row)) {
	for _, r := range b.rows {
		f(r)
	}
}

// Dependents returns how many adapters on the target need the model.
func (b *Book) Dependents(k Key) int {
	n := 0

	for _, r := range b.targets[k.Target] {
		if r.Base == k.Model {
			n++
		}
	}

	return n
}
