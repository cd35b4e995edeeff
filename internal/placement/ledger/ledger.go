// Package ledger counts the replicas that are or may be loaded: one row for
// each model on each target, written before the load order is sent and removed
// only once Removable allows it. It does no I/O and reads no clock.
package ledger

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
	"github.com/fulmarcross/fulmarcross/internal/platform/revision"
)

// Key identifies a row.
type Key struct {
	Target instance.ID
	Model  string
}

// Row is one counted replica.
type Row struct {
	Key

	Base  string
	Bytes int64
	// Plan is the plan whose requests the replica was loaded for.
	Plan string
	// Token is the fencing token under which the row was written.
	Token uint64
	// Holder and Process are the instance and the process that wrote the row.
	Holder  instance.ID
	Process string
	// WriteID is unique to the write, so that a writer that got no answer can
	// recognise its own row.
	WriteID string
	// Version is the row's version in the store, a condition of its removal.
	// It is zero until the write is confirmed.
	Version revision.Number

	State State
}

// State is the holder's own state of a row. It is not stored: a successor
// rebuilds it from the engines' inventories.
type State struct {
	Phase target.Phase
	// Acknowledged says that the engine has answered this holder's load order,
	// or that the row was added because its inventory showed the replica.
	Acknowledged bool
	// Incarnation is the engine's incarnation when it acknowledged.
	Incarnation string
	// InDoubtSince is when the latest unanswered order for the row was sent;
	// that order may still arrive at the engine. Zero means that this holder has
	// no unanswered order for the row.
	InDoubtSince time.Time
	// Stuck says that the row is to be removed but has waited for longer than
	// the cell's stuckAfter for proof that it may be, so that decisions must not
	// rely on its memory becoming free.
	Stuck bool
	// Retiring says that the replica gets no new work and is unloaded once it
	// is idle.
	Retiring bool
	// OwnTerm says that the row was written in this lease term, so that no other
	// process has sent an order for it. It is false for rows that were found in
	// the store at the takeover: their writers may still have orders in flight.
	OwnTerm bool
	// WriterIdleSince is the time from which the row's writer has been proved to
	// have no order in flight. Zero means that it is not proved.
	WriterIdleSince time.Time
	// Since is when the phase last changed.
	Since time.Time
	// LastUsed is when an entry last reported that requests run or have run on
	// the replica; before the first such report, it is when the row was added.
	LastUsed time.Time
	// Running is how many requests run on the replica, over all entries.
	Running int
	// Failures is how many loads of the row's model, on any target of the cell,
	// had failed in a row when this row was added, or when its own load last
	// failed.
	Failures int
	// Busy says that an operation on the row is running, so that no other may
	// start.
	Busy bool
}

// OvercommitError says that a row would exceed the target's memory.
type OvercommitError struct {
	Key          Key
	Used, Memory int64
}

func (e *OvercommitError) Error() string {
	return fmt.Sprintf("ledger: %s does not fit on %s: %d of %d bytes are in use", e.Key.Model, e.Key.Target, e.Used, e.Memory)
}

// DuplicateError says that the model is already counted on the target.
type DuplicateError struct{ Key Key }

func (e *DuplicateError) Error() string {
	return fmt.Sprintf("ledger: %s is already counted on %s", e.Key.Model, e.Key.Target)
}

// Ledger is a cell's ledger in memory. The zero value is empty and ready to use.
// It is not safe for concurrent use.
type Ledger struct {
	rows map[Key]*Row
	// usedBytes sums the bytes of all rows by target. A row counts, in every
	// phase, from before it is written to the store until it is removed from
	// there.
	usedBytes map[instance.ID]int64
	// models lists each model's rows, sorted by target.
	models map[string][]*Row
	// targets lists each target's rows, sorted by model.
	targets map[instance.ID][]*Row
}

// Reserve adds a row. It fails if the key is already counted, or if the
// target's rows would exceed its memory.
func (l *Ledger) Reserve(r Row, memory int64) (*Row, error) {
	if l.rows[r.Key] != nil {
		return nil, &DuplicateError{Key: r.Key}
	}

	if used := l.usedBytes[r.Target]; used+r.Bytes > memory {
		return nil, &OvercommitError{Key: r.Key, Used: used, Memory: memory}
	}

	return l.Adopt(r), nil
}

// Adopt adds a row, whether it fits or not, for a replica that is or may be
// loaded already: one whose row was found in the store, or one found on an
// engine. If the key is already counted, Adopt returns the counted row.
func (l *Ledger) Adopt(r Row) *Row {
	if counted := l.rows[r.Key]; counted != nil {
		return counted
	}

	l.init()

	row := &r
	l.rows[r.Key] = row
	l.usedBytes[r.Target] += r.Bytes
	l.models[r.Model] = insert(l.models[r.Model], row)
	l.targets[r.Target] = insert(l.targets[r.Target], row)

	return row
}

// Remove deletes the row, if there is one.
func (l *Ledger) Remove(k Key) {
	row := l.rows[k]
	if row == nil {
		return
	}

	delete(l.rows, k)
	l.usedBytes[k.Target] -= row.Bytes
	l.models[k.Model] = remove(l.models, k.Model, row)
	l.targets[k.Target] = remove(l.targets, k.Target, row)

	if len(l.models[k.Model]) == 0 {
		delete(l.models, k.Model)
	}

	if len(l.targets[k.Target]) == 0 {
		delete(l.targets, k.Target)
		delete(l.usedBytes, k.Target)
	}
}

func (l *Ledger) init() {
	if l.rows != nil {
		return
	}

	l.rows = make(map[Key]*Row)
	l.usedBytes = make(map[instance.ID]int64)
	l.models = make(map[string][]*Row)
	l.targets = make(map[instance.ID][]*Row)
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

// Row returns the row with the key, or nil.
func (l *Ledger) Row(k Key) *Row { return l.rows[k] }

// Len returns the number of rows.
func (l *Ledger) Len() int { return len(l.rows) }

// UsedBytes returns the bytes counted on the target.
func (l *Ledger) UsedBytes(t instance.ID) int64 { return l.usedBytes[t] }

// Model returns the model's rows, sorted by target.
func (l *Ledger) Model(name string) []*Row { return l.models[name] }

// Target returns the target's rows, sorted by model.
func (l *Ledger) Target(t instance.ID) []*Row { return l.targets[t] }

// All calls f for every row.
func (l *Ledger) All(f func(*Row)) {
	for _, r := range l.rows {
		f(r)
	}
}

// Dependents returns how many adapters on the target have the model as their
// base.
func (l *Ledger) Dependents(k Key) int {
	n := 0

	for _, r := range l.targets[k.Target] {
		if r.Base == k.Model {
			n++
		}
	}

	return n
}
