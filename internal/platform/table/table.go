// Package table is the client side of the platform's transactional table
// service, the store. The store holds all state that must be durable or
// consistent across instances.
package table

import (
	"context"
	"errors"
	"fmt"
)

// Row is one row of the table.
type Row struct {
	Key   string
	Value []byte
	// Version increases with every write to the row and is never reused, not even
	// after the row was deleted. Zero means that the row is absent.
	Version uint64
}

// Condition holds when the row at Key has exactly Version.
type Condition struct {
	Key     string
	Version uint64
}

// Write sets the row at Key, or deletes it.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Transaction is applied atomically: either all writes take effect, when every
// condition holds, or none does.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
}

// Service is the table service. Any call may return an *UnavailableError even
// though it took effect.
type Service interface {
	// Read returns the rows at keys, in order. An absent row has Version zero.
	Read(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns at most limit rows whose keys begin with prefix and sort
	// after the key after, sorted by key.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies tx and returns the new version, which is the same for all
	// written rows. It returns a *ConflictError if a condition does not hold.
	Commit(ctx context.Context, tx Transaction) (uint64, error)
}

// ConflictError reports that a transaction had no effect because the row at
// Key has Version, which differs from the version that a condition requires.
type ConflictError struct {
	Key     string
	Version uint64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("table: row %s is at version %d", e.Key, e.Version)
}

// UnavailableError reports that the service did not answer. The call is in
// doubt: it may have taken effect, or may still do so.
type UnavailableError struct {
	Op  string
	Err error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("table: %s: %v", e.Op, e.Err)
}

func (e *UnavailableError) Unwrap() error { return e.Err }

// IsConflict reports whether err is or wraps a *ConflictError.
func IsConflict(err error) bool {
	var conflict *ConflictError

	return errors.As(err, &conflict)
}

// ScanAll returns all rows whose keys begin with prefix, sorted by key. It
// reads them in several calls, so the result is not a snapshot.
func ScanAll(ctx context.Context, s Service, prefix string) ([]Row, error) {
	const pageSize = 500

	var (
		all   []Row
		after string
	)

	for {
		rows, err := s.Scan(ctx, prefix, after, pageSize)
		if err != nil {
			return nil, err
		}

		all = append(all, rows...)
		if len(rows) < pageSize {
			return all, nil
		}

		after = rows[len(rows)-1].Key
	}
}
