// Package list keeps the operators' two lists: in the platform's store, where
// concurrent edits conflict and one of them is accepted, and in each entry, which
// uses the newest version it has received.
package list

import (
	"context"
	"fmt"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/customer/plan"
	"github.com/fulmarcross/fulmarcross/internal/platform/revision"
	"github.com/fulmarcross/fulmarcross/internal/platform/table"
	"github.com/fulmarcross/fulmarcross/internal/wire/record"
)

// Lists reads and edits the lists in the platform's store.
type Lists struct{ Table table.Service }

// ConflictError says that an edit was based on an old version and was not accepted.
type ConflictError struct {
	Base, Version uint64
	// Since are the edits accepted after Base, oldest first, at most maxHistory.
	Since []plan.Edit
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("list: the edit is based on version %d, but version %d is in force", e.Base, e.Version)
}

// InDoubtError says that an edit is in doubt: it may or may not have been accepted.
// Putting the same edit again with the same WriteID is safe and resolves it.
type InDoubtError struct {
	WriteID string
	Err     error
}

func (e *InDoubtError) Error() string {
	return fmt.Sprintf("list: edit %s may or may not have been accepted: %v", e.WriteID, e.Err)
}

func (e *InDoubtError) Unwrap() error { return e.Err }

// Put is an edit to be accepted.
type Put struct {
	// Base is the version that the operator edited.
	Base    uint64
	WriteID string
	Author  string
	At      time.Time
	Changes []plan.Change
}

// Put accepts the edit and returns it with its version. It refuses it with a
// *ConflictError if Base is not the current version, and fails with an *InDoubtError
// if the outcome is unknown. Any other error means that the current version could not
// be read and that this call wrote nothing. An edit that was accepted before, as its
// WriteID shows, is not applied again.
func (s *Lists) Put(ctx context.Context, p Put) (plan.Edit, error) {
	current, row, err := s.version(ctx)
	if err != nil {
		return plan.Edit{}, err
	}

	if current != p.Base {
		return s.resolveStale(ctx, p, current)
	}

	e := plan.Edit{Version: current + 1, WriteID: p.WriteID, Author: p.Author, At: p.At, Changes: p.Changes}

	_, err = table.Settle(ctx, s.Table, transaction(e, row))

	switch {
	case err == nil:
		return e, nil
	case !table.IsConflict(err):
		return plan.Edit{}, &InDoubtError{WriteID: p.WriteID, Err: err}
	}

	current, _, err = s.version(ctx)
	if err != nil {
		return plan.Edit{}, &InDoubtError{WriteID: p.WriteID, Err: err}
	}

	return s.resolveStale(ctx, p, current)
}

// Resolve finds the outcome of a put that was based on an old version, without
// putting anything: it returns the edit if the put was accepted, and a
// *ConflictError otherwise.
func (s *Lists) Resolve(ctx context.Context, p Put) (plan.Edit, error) {
	current, _, err := s.version(ctx)
	if err != nil {
		return plan.Edit{}, err
	}

	return s.resolveStale(ctx, p, current)
}

// resolveStale finds out whether an edit based on an old version repeats one that
// was accepted. It compares only the first maxHistory edits after Base.
func (s *Lists) resolveStale(ctx context.Context, p Put, current uint64) (plan.Edit, error) {
	since, err := s.History(ctx, p.Base, maxHistory)
	if err != nil {
		return plan.Edit{}, &InDoubtError{WriteID: p.WriteID, Err: err}
	}

	for _, e := range since {
		if e.WriteID == p.WriteID {
			return e, nil
		}
	}

	return plan.Edit{}, &ConflictError{Base: p.Base, Version: current, Since: since}
}

// maxHistory bounds the number of edits read at once.
const maxHistory = 1000

// transaction writes the version first: table.Settle reads the first write back to
// find out whether the transaction was committed. The history and the changed rows
// follow.
func transaction(e plan.Edit, versionRow revision.Number) table.Transaction {
	tx := table.Transaction{
		Conditions: []table.Condition{{Key: record.VersionKey, Version: versionRow}},
		Writes: []table.Write{
			{
				Key:   record.VersionKey,
				Value: record.EncodeVersion(record.Version{Version: e.Version, WriteID: e.WriteID}),
			},
			{Key: record.EditKey(e.Version), Value: record.EncodeEdit(e)},
		},
	}

	for _, c := range e.Changes {
		tx.Writes = append(tx.Writes, write(c))
	}

	return tx
}

func write(c plan.Change) table.Write {
	switch c := c.(type) {
	case plan.SetPlan:
		return table.Write{Key: record.PlanKey(c.Plan.Name), Value: record.EncodePlan(c.Plan)}
	case plan.RemovePlan:
		return table.Write{Key: record.PlanKey(c.Name), Delete: true}
	case plan.Allow:
		return table.Write{Key: record.AllowanceKey(c.Allowance), Value: record.EncodeAllowance(c.Allowance)}
	case plan.Disallow:
		return table.Write{Key: record.AllowanceKey(c.Allowance), Delete: true}
	}

	panic(fmt.Sprintf("list: change %T", c))
}

// Version returns the lists' version in the platform's store.
func (s *Lists) Version(ctx context.Context) (uint64, error) {
	v, _, err := s.version(ctx)

	return v, err
}

func (s *Lists) version(ctx context.Context) (version uint64, row revision.Number, err error) {
	rows, err := s.Table.Read(ctx, record.VersionKey)
	if err != nil {
		return 0, 0, err
	}

	v, err := record.DecodeVersion(rows[0].Value)

	return v.Version, rows[0].Version, err
}

// History returns at most limit edits after the version, oldest first.
func (s *Lists) History(ctx context.Context, after uint64, limit int) ([]plan.Edit, error) {
	rows, err := s.Table.Scan(ctx, record.HistoryPrefix, record.EditKey(after), limit)
	if err != nil {
		return nil, err
	}

	edits := make([]plan.Edit, len(rows))

	for i, row := range rows {
		if edits[i], err = record.DecodeEdit(row.Key, row.Value); err != nil {
			return nil, err
		}
	}

	return edits, nil
}

// Load reads the whole lists. An edit that is accepted during the read may or may
// not be included. Applying it again is harmless, so the state gets the version
// that was read first.
func (s *Lists) Load(ctx context.Context) (plan.State, error) {
	version, _, err := s.version(ctx)
	if err != nil {
		return plan.State{}, err
	}

	planRows, err := table.ScanAll(ctx, s.Table, record.PlansPrefix)
	if err != nil {
		return plan.State{}, err
	}

	allowanceRows, err := table.ScanAll(ctx, s.Table, record.AllowancesPrefix)
	if err != nil {
		return plan.State{}, err
	}

	plans := make([]plan.Plan, len(planRows))
	for i, row := range planRows {
		if plans[i], err = record.DecodePlan(row.Key, row.Value); err != nil {
			return plan.State{}, err
		}
	}

	allowances := make([]plan.Allowance, len(allowanceRows))
	for i, row := range allowanceRows {
		if allowances[i], err = record.DecodeAllowance(row.Key, row.Value); err != nil {
			return plan.State{}, err
		}
	}

	return plan.Restore(version, plans, allowances), nil
}
