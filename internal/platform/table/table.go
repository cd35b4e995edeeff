// Package table is the client side of the platform's transactional table
// service, the store. The store holds all state that must be durable or
// consistent across instances.
package table

import (
	"context"
	"errors"
	"fmt"

	"github.com/fulmarcross/fulmarcross/internal/platform/revision"
)

// Row is one row of the table.
type Row struct {
	Key   string
	Value []byte
	// Version is the state of the store that the last write to the row led to. Zero means
	// that the row is absent.
	Version revision.Number
}

// Condition holds when the row at Key has exactly Version. A version of an earlier era never
// holds.
type Condition struct {
	Key     string
	Version revision.Number
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
	// written rows. It returns a *ConflictError if a condition does not hold, and an
	// *EraChangedError if a condition is of an era before the one of the store.
	Commit(ctx context.Context, tx Transaction) (revision.Number, error)
}

// EraChangedError says that the store has come back from a copy since a transaction was
// prepared. The transaction is in doubt. What its conditions were read from is gone.
type EraChangedError struct{ From, To uint64 }

func (e *EraChangedError) Error() string {
	return fmt.Sprintf("table: prepared in era %d, the store is in era %d", e.From, e.To)
}

// IsEraChanged reports whether err is or wraps an *EraChangedError.
func IsEraChanged(err error) bool {
	var changed *EraChangedError

	return errors.As(err, &changed)
}

// Era returns the highest era that the store has stated, zero if it states none.
func Era(s Service) uint64 {
	if e, ok := s.(interface{ Era() uint64 }); ok {
		return e.Era()
	}

	return 0
}

// CheckEra returns an *EraChangedError if the store is not in the era.
func CheckEra(s Service, era uint64) error {
	if now := Era(s); now != era {
		return &EraChangedError{From: era, To: now}
	}

	return nil
}

// ConflictError reports that a transaction had no effect because the row at
// Key has Version, which differs from the version that a condition requires.
type ConflictError struct {
	Key     string
	Version revision.Number
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("table: row %s is at version %s", e.Key, e.Version)
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
