// Package leaserow reads and writes a lease's rows in the store.
package leaserow

import (
	"context"

	"github.com/fulmarcross/fulmarcross/internal/placement/lease"
	"github.com/fulmarcross/fulmarcross/internal/platform/revision"
	"github.com/fulmarcross/fulmarcross/internal/platform/table"
	"github.com/fulmarcross/fulmarcross/internal/wire/record"
)

// Row is the row of a cell's lease, as accessed by one process.
//
// In a store that states eras, a second row with the same content has the era in its key. A
// copy of the store cannot have the row of a later era, so that no write of an earlier era
// takes effect on it, although versions are given out again. The row without the era tells
// processes that know no eras who holds the lease.
type Row struct {
	Table table.Service
	Cell  int
	// Process is this process's id, as written into its leases.
	Process string
	// Era is the store's.
	Era uint64
}

// State is a lease as it was read.
type State struct {
	// Record names no holder if it was written in an earlier era: another may have held the
	// lease since. Its token is the highest of the lease's rows.
	Record lease.Record
	// Version is that of the newest of the lease's rows. In an era in which the lease was
	// not written yet it is not zero, so that nobody takes it for one that was never held.
	Version revision.Number
	// InEra says that the lease was acquired in the era.
	InEra bool
	// conditions hold while the lease is as it was read.
	conditions []table.Condition
}

// keys returns the keys of the lease's rows, that of the era first.
func (r Row) keys() []string {
	plain := record.LeaseKey(r.Cell)
	if r.Era == 0 {
		return []string{plain}
	}

	return []string{record.LeaseKeyInEra(r.Cell, r.Era), plain}
}

// Read reads the lease. It returns a *table.EraChangedError if the store has come back from a
// copy meanwhile.
func (r Row) Read(ctx context.Context) (State, error) {
	rows, err := r.Table.Read(ctx, r.keys()...)
	if err != nil {
		return State{}, err
	}

	if err := table.CheckEra(r.Table, r.Era); err != nil {
		return State{}, err
	}

	out := State{InEra: r.Era == 0 || rows[0].Version != 0}

	for i, row := range rows {
		if err := out.add(r, row, i == 0); err != nil {
			return State{}, err
		}
	}

	if !out.InEra {
		out.Record = lease.Record{Cell: r.Cell, Token: out.Record.Token}

		if out.Version == 0 {
			out.Version, err = revision.Of(r.Era, 0)
		}
	}

	return out, err
}

// add adds one of the lease's rows. The newest names the holder, but a late write of an earlier
// era may be the newest: the highest token counts.
func (s *State) add(r Row, row table.Row, first bool) error {
	current, err := r.Decode(row)
	if err != nil {
		return err
	}

	s.conditions = append(s.conditions, table.Condition{Key: row.Key, Version: row.Version})
	token := max(s.Record.Token, current.Token)

	if first || row.Version > s.Version {
		s.Record, s.Version = current, row.Version
	}

	s.Record.Token = token

	return nil
}

// Decode returns the row's record. A row that was never written gives a record
// without a holder.
func (r Row) Decode(row table.Row) (lease.Record, error) {
	if row.Version == 0 {
		return lease.Record{Cell: r.Cell}, nil
	}

	return record.DecodeLease(r.Cell, row.Value)
}

// Acquire replaces the lease if it is still as it was read, and returns the new version.
func (r Row) Acquire(ctx context.Context, next lease.Record, was State) (revision.Number, error) {
	return r.write(ctx, next, was.conditions)
}

// Write replaces the lease if it still has the given version, and returns the
// new version.
func (r Row) Write(ctx context.Context, next lease.Record, version revision.Number) (revision.Number, error) {
	var conditions []table.Condition
	for _, key := range r.keys() {
		conditions = append(conditions, table.Condition{Key: key, Version: version})
	}

	return r.write(ctx, next, conditions)
}

func (r Row) write(ctx context.Context, next lease.Record, conditions []table.Condition) (revision.Number, error) {
	tx := table.Transaction{Conditions: conditions}
	for _, key := range r.keys() {
		tx.Writes = append(tx.Writes, table.Write{Key: key, Value: record.EncodeLease(next)})
	}

	version, err := table.Settle(ctx, r.Table, tx)
	if err == nil && version.Era() != r.Era {
		return 0, &table.EraChangedError{From: r.Era, To: version.Era()}
	}

	return version, err
}

// CheckOwner reads the lease and returns its version and whether this process still
// holds it with the token: the row names both and is not released.
//
// After a conflict it lets the caller recognise an earlier renewal of this
// process, which took effect although its answer timed out: the row's version
// has changed, but the lease is still held.
func (r Row) CheckOwner(ctx context.Context, token uint64) (version revision.Number, own bool, err error) {
	current, err := r.Read(ctx)
	if err != nil {
		return 0, false, err
	}

	return current.Version, current.HeldBy(r.Process) && current.Record.Token == token, nil
}

// HeldBy reports whether the lease names a process and is not released.
func (s *State) HeldBy(process string) bool { return s.Record.Process == process && !s.Record.Released }

// maxReleaseAttempts bounds the attempts to write a release. Each attempt can
// conflict with a renewal of the same process that is still in flight; at most
// two such renewals are assumed.
const maxReleaseAttempts = 3

// Release writes the released lease over the row of the given version. If a
// renewal of this process that was in flight has changed the row meanwhile, it
// tries again with the new version; otherwise the lease would have no holder
// until it expires.
func (r Row) Release(ctx context.Context, next lease.Record, version revision.Number) (revision.Number, error) {
	for attempt := 1; ; attempt++ {
		written, err := r.Write(ctx, next, version)
		if err == nil || !table.IsConflict(err) || attempt == maxReleaseAttempts {
			return written, err
		}

		current, own, readErr := r.CheckOwner(ctx, next.Token)
		if readErr != nil || !own {
			return 0, err
		}

		version = current
	}
}
