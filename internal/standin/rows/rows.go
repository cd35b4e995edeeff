// Package rows is a small stand-in of the store of the users' platform. It has tables
// of rows with a common increasing version, a change feed with a bounded history, copies
// from which it comes back in a new era, and faults that can be set for each client.
package rows

import (
	"bytes"
	"context"
	"errors"
	"sort"
	"sync"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/inventory"
	"github.com/fulmarcross/fulmarcross/internal/platform/revision"
	"github.com/fulmarcross/fulmarcross/internal/platform/table"
)

// Store contains the rows. The zero value is empty and ready to use.
type Store struct {
	mu sync.Mutex
	// era is how often the store has come back from a copy.
	era    uint64
	tables map[string]map[string]table.Row
	// version is without the era.
	version revision.Number
	// history are the changes in order, of all tables.
	history []change
	// forgotten is the version up to which the history has been dropped.
	forgotten revision.Number
	// changed is closed at the next change.
	changed chan struct{}
}

type change struct {
	table string
	row   table.Row
}

// Faults are the faults of one client's access to the store.
type Faults struct {
	// Down makes every call fail before it takes effect.
	Down bool
	// Silent makes every call hang until its client cancels it.
	Silent bool
	// LoseAnswers is the number of next commits that take effect and then fail.
	LoseAnswers int
	// HangingReads is the number of next reads of the table HangingTable that hang until
	// their client cancels them.
	HangingReads int
	HangingTable string
}

// Door is one client's access to the store.
type Door struct {
	Store *Store

	mu     sync.Mutex
	faults Faults
	// reads counts the reads of each table that were answered.
	reads map[string]int
	// refused counts the calls that failed while the store was down.
	refused int
}

var (
	errDown = errors.New("store is down")
	errLost = errors.New("answer lost")
)

// SetFaults replaces the faults.
func (d *Door) SetFaults(f Faults) {
	d.mu.Lock()
	defer d.mu.Unlock()

	d.faults = f
}

func (d *Door) enter(ctx context.Context) error {
	d.mu.Lock()
	f := d.faults

	if f.Down && !f.Silent {
		d.refused++
	}
	d.mu.Unlock()

	switch {
	case f.Silent:
		<-ctx.Done()

		return ctx.Err()
	case f.Down:
		return errDown
	}

	return nil
}

// Reads returns how many reads of a table were answered.
func (d *Door) Reads(name string) int {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.reads[name]
}

// Refused returns how many calls failed while the store was down.
func (d *Door) Refused() int {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.refused
}

// enterRead is enter for a read of a table.
func (d *Door) enterRead(ctx context.Context, name string) error {
	if err := d.enter(ctx); err != nil {
		return err
	}

	d.mu.Lock()
	hangs := d.faults.HangingReads > 0 && d.faults.HangingTable == name

	if hangs {
		d.faults.HangingReads--
	} else {
		if d.reads == nil {
			d.reads = make(map[string]int)
		}

		d.reads[name]++
	}
	d.mu.Unlock()

	if hangs {
		<-ctx.Done()

		return ctx.Err()
	}

	return nil
}

// Commit implements platform.Rows.
func (d *Door) Commit(ctx context.Context, name string, tx table.Transaction) (revision.Number, error) {
	if err := d.enter(ctx); err != nil {
		return d.Store.Revision(), err
	}

	at, err := d.Store.Commit(name, tx)

	d.mu.Lock()
	defer d.mu.Unlock()

	if err == nil && d.faults.LoseAnswers > 0 {
		d.faults.LoseAnswers--

		return at, errLost
	}

	return at, err
}

// Range implements platform.Rows.
func (d *Door) Range(ctx context.Context, name, from, to string, limit int) ([]table.Row, bool, revision.Number, error) {
	if err := d.enterRead(ctx, name); err != nil {
		return nil, false, d.Store.Revision(), err
	}

	rows, more, at := d.Store.Range(name, from, to, limit)

	return rows, more, at, nil
}

// After implements platform.Rows.
func (d *Door) After(ctx context.Context, name string, after revision.Number, wait time.Duration) ([]table.Row, revision.Number, error) {
	if err := d.enterRead(ctx, name); err != nil {
		return nil, d.Store.Revision(), err
	}

	return d.Store.After(ctx, name, after, wait)
}

// Commit applies a transaction, or fails with a *table.ConflictError.
func (s *Store) Commit(name string, tx table.Transaction) (revision.Number, error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.tables == nil {
		s.tables = make(map[string]map[string]table.Row)
	}

	if s.tables[name] == nil {
		s.tables[name] = make(map[string]table.Row)
	}

	for _, c := range tx.Conditions {
		if got := s.tables[name][c.Key].Version; got != c.Version {
			return s.revision(), &table.ConflictError{Key: c.Key, Version: got}
		}
	}

	s.version++

	for _, w := range tx.Writes {
		row := table.Row{Key: w.Key, Value: bytes.Clone(w.Value), Version: s.version}

		if w.Delete {
			row.Value = nil

			delete(s.tables[name], w.Key)
		} else {
			s.tables[name][w.Key] = row
		}

		s.history = append(s.history, change{name, row})
	}

	s.wake()

	return s.revision(), nil
}

// wake ends the waits for a change. The caller holds the lock.
func (s *Store) wake() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// Revision returns the state that the store is in.
func (s *Store) Revision() revision.Number {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.revision()
}

// revision returns the state that the store is in. The caller holds the lock.
func (s *Store) revision() revision.Number {
	n, err := revision.Of(s.era, s.version.Version())
	if err != nil {
		// No test writes so much.
		panic(err)
	}

	return n
}

// Put writes one row unconditionally.
func (s *Store) Put(name, key string, value []byte) {
	// Without conditions there is no conflict.
	_, _ = s.Commit(name, table.Transaction{Writes: []table.Write{{Key: key, Value: value}}})
}

// Remove deletes one row.
func (s *Store) Remove(name, key string) {
	// Without conditions there is no conflict.
	_, _ = s.Commit(name, table.Transaction{Writes: []table.Write{{Key: key, Delete: true}}})
}

// Forget drops the history, so that clients that wait for changes must read whole
// tables.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.history, s.forgotten = nil, s.version
}

// Range returns the rows between two keys, sorted by key.
func (s *Store) Range(name, from, to string, limit int) (rows []table.Row, more bool, at revision.Number) {
	s.mu.Lock()
	defer s.mu.Unlock()

	for key, row := range s.tables[name] {
		if key >= from && (to == "" || key < to) {
			rows = append(rows, row)
		}
	}

	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })

	if limit > 0 && len(rows) > limit {
		return rows[:limit], true, s.revision()
	}

	return rows, false, s.revision()
}

// After returns the rows of a table that changed after a version, and waits
// for one.
//
// A timer that is due when it is created crashes the race detector in simulated time.
func (s *Store) After(ctx context.Context, name string, after revision.Number, wait time.Duration) ([]table.Row, revision.Number, error) {
	if wait <= 0 {
		rows, at, _, err := s.changes(name, after)

		return rows, at, err
	}

	timeout := time.NewTimer(wait)
	defer timeout.Stop()

	for {
		rows, at, changed, err := s.changes(name, after)
		if err != nil || len(rows) > 0 {
			return rows, at, err
		}

		select {
		case <-ctx.Done():
			return nil, at, ctx.Err()
		case <-timeout.C:
			return nil, at, nil
		case <-changed:
		}
	}
}

func (s *Store) changes(name string, after revision.Number) ([]table.Row, revision.Number, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if after < s.forgotten || after > s.version {
		return nil, s.revision(), nil, &inventory.HistoryGoneError{After: after}
	}

	var rows []table.Row

	for _, c := range s.history {
		if c.table == name && c.row.Version > after {
			rows = append(rows, c.row)
		}
	}

	if s.changed == nil {
		s.changed = make(chan struct{})
	}

	return rows, s.revision(), s.changed, nil
}
