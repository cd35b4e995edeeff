// Package table is the client side of the platform's transactional table
// service. It keeps everything that must last or be agreed between instances.
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
	// Version grows with every write to the row and is never reused, not even
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

// Transaction takes effect whole or not at all.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
}

// Service is the table service. Every call may fail with an *UnavailableError
// after it took effect.
type Service interface {
	// Read returns the rows at keys, in order. An absent row has Version zero.
	Read(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns at most limit rows whose keys begin with prefix and sort
	// after the key after, sorted by key.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies tx, or fails with a *ConflictError when a condition does
	// not hold. It returns the version that every written row then has.
	Commit(ctx context.Context, tx Transaction) (uint64, error)
}

// ConflictError says that a transaction had no effect, because the row at Key
// had another version than its condition asks for.
type ConflictError struct {
	Key     string
	Version uint64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("table: row %s is at version %d", e.Key, e.Version)
}

// UnavailableError says that the service gave no answer. The call may have
// taken effect, or may still do so.
type UnavailableError struct {
	Op  string
	Err error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("table: %s: %v", e.Op, e.Err)
}

func (e *UnavailableError) Unwrap() error { return e.Err }

// IsConflict reports whether err says that a transaction had no effect.
func IsConflict(err error) bool {
	var conflict *ConflictError

	return errors.As(err, &conflict)
}

// ScanAll reads every row below prefix, page by page.
func ScanAll(ctx context.Context, s Service, prefix string) ([]Row, error) {
	const page = 500

	var (
		all   []Row
		after string
	)

	for {
		rows, err := s.Scan(ctx, prefix, after, page)
		if err != nil {
			return nil, err
		}

		all = append(all, rows...)
		if len(rows) < page {
			return all, nil
		}

		after = rows[len(rows)-1].Key
	}
}
