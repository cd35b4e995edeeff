// Package leaserow writes and reads the row of a lease in the table service,
// for whoever takes part in holding it.
package leaserow

import (
	"context"

	"github.com/fulmarcross/fulmarcross/internal/placement/lease"
	"github.com/fulmarcross/fulmarcross/internal/platform/table"
	"github.com/fulmarcross/fulmarcross/internal/wire/record"
)

// Row is the row of a cell's lease, as one process uses it.
type Row struct {
	Table table.Service
	Cell  int
	// Process is this process, as its leases name it.
	Process string
}

// Decode returns what the row holds: nothing if it was never written.
func (r Row) Decode(row table.Row) (lease.Record, error) {
	if row.Version == 0 {
		return lease.Record{Cell: r.Cell}, nil
	}

	return record.DecodeLease(r.Cell, row.Value)
}

// Write replaces the row of the version given and returns its new version.
func (r Row) Write(ctx context.Context, next lease.Record, version uint64) (uint64, error) {
	key := record.LeaseKey(r.Cell)

	return table.Settle(ctx, r.Table, table.Transaction{
		Conditions: []table.Condition{{Key: key, Version: version}},
		Writes:     []table.Write{{Key: key, Value: record.EncodeLease(next)}},
	})
}

// Own reads the row. It reports whether that still names this process with the
// token, and the row's version.
//
// It guards against a renewal whose answer came too late: it has changed the
// row, so that the next one conflicts although the lease is still held.
func (r Row) Own(ctx context.Context, token uint64) (version uint64, own bool, err error) {
	rows, err := r.Table.Read(ctx, record.LeaseKey(r.Cell))
	if err != nil {
		return 0, false, err
	}

	current, err := r.Decode(rows[0])
	own = err == nil && current.Process == r.Process && current.Token == token && !current.Released

	return rows[0].Version, own, nil
}

// releaseTries is how often a release is written over renewals of the same
// process; no more than one or two are on their way.
const releaseTries = 3

// Release writes the released lease over the row of the version given, also
// when a renewal of this process that was on its way has changed it meanwhile.
// Without that nobody would hold the lease until it runs out.
func (r Row) Release(ctx context.Context, next lease.Record, version uint64) (uint64, error) {
	for try := 1; ; try++ {
		written, err := r.Write(ctx, next, version)
		if err == nil || !table.IsConflict(err) || try == releaseTries {
			return written, err
		}

		now, own, readErr := r.Own(ctx, next.Token)
		if readErr != nil || !own {
			return 0, err
		}

		version = now
	}
}
