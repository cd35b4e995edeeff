package node

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/platform/table"
	"github.com/fulmarcross/fulmarcross/internal/serving/origin"
)

const (
	// streamPrefix is the key prefix of the rows of streams.
	streamPrefix = "stream/"
	// minStoreInterval is the shortest time between two writes of streams by one entry, and
	// storeWritesPerSecond what all entries together write at most. The store allows 200
	// transactions a second for all rows of the entries.
	minStoreInterval     = 100 * time.Millisecond
	storeWritesPerSecond = 80
	// expiryInterval is the time between two looks for streams that can no longer be resumed.
	expiryInterval = 5 * time.Second
	// maxStoreBatch bounds the rows of one write. The store allows 100.
	maxStoreBatch = 90
	// streamSweepInterval is the time between two looks of the lease holder for rows that entries
	// left behind when they died, and streamSweepMargin how long after their end they are removed.
	streamSweepInterval = time.Minute
	streamSweepMargin   = 30 * time.Second
)

// streamRow is a stream's row in the store.
type streamRow struct {
	Software string `json:"software"`
	UntilMs  int64  `json:"untilMs"`
}

// storedOrigin is what the store says of a stream.
type storedOrigin struct {
	origin origin.Origin
	err    error
}

// readStored reads from the store which software began a stream: the only one of its service,
// or that in the stream's row.
func (o *origins) readStored(ctx context.Context, service string, k origin.Key) storedOrigin {
	read, err := o.readHistories(ctx)
	if err != nil {
		return storedOrigin{err: err}
	}

	only := read.byService[service].OnlyOf(o.listed()[service])
	if _, known := only.Known(); known && !read.incomplete {
		return storedOrigin{origin: only}
	}

	rows, err := o.node.cfg.Table.Read(ctx, streamPrefix+k.String())
	if err != nil {
		return storedOrigin{err: err}
	}

	var row streamRow
	if rows[0].Version == 0 || json.Unmarshal(rows[0].Value, &row) != nil {
		return storedOrigin{origin: origin.Unknown()}
	}

	return storedOrigin{origin: origin.Of(instance.Software(row.Software))}
}

// store writes the rows of this entry's streams that last, and removes those that are not
// needed any more.
func (o *origins) store(ctx context.Context) {
	for clock.Sleep(ctx, o.storeInterval()) == nil {
		select {
		case <-ctx.Done():
			return
		case <-o.storeSoon:
		case <-time.After(expiryInterval):
		}

		writes, records := o.pendingWrites()
		for len(writes) > 0 {
			n := min(len(writes), maxStoreBatch)
			if _, err := o.node.cfg.Table.Commit(ctx, table.Transaction{Writes: writes[:n]}); err != nil {
				o.restore(writes, records)

				break
			}

			writes = writes[n:]
		}
	}
}

// writeAgain makes the rows of this entry's streams and the histories be written again, where the
// store has lost them.
func (o *origins) writeAgain() {
	o.mu.Lock()
	o.book.UnstoreAll()
	o.mu.Unlock()

	o.histories.mu.Lock()
	o.histories.mayBeLost = true
	o.histories.mu.Unlock()

	signal(o.storeSoon)
	signal(o.listChanged)
}

// storeInterval returns the time between two writes by this entry.
func (o *origins) storeInterval() time.Duration {
	return max(minStoreInterval, time.Duration(o.node.aliveEntries())*time.Second/storeWritesPerSecond)
}

// pendingWrites returns what is to be written, and the streams among it.
func (o *origins) pendingWrites() ([]table.Write, []origin.Record) {
	records := o.takeWhereSeveral((*origin.Book).TakeUnstored)

	o.mu.Lock()
	defer o.mu.Unlock()

	o.unwanted = append(o.unwanted, o.book.Expired(time.Now())...)
	writes := make([]table.Write, 0, len(records)+len(o.unwanted))

	for _, k := range o.unwanted {
		writes = append(writes, table.Write{Key: streamPrefix + k.String(), Delete: true})
	}

	o.unwanted = nil

	for _, r := range records {
		data, err := json.Marshal(streamRow{Software: string(r.Software), UntilMs: r.Until.UnixMilli()})
		if err == nil {
			writes = append(writes, table.Write{Key: streamPrefix + r.Key.String(), Value: data})
		}
	}

	return writes, records
}

// restore makes the next write include the streams of one that failed. Rows that were not
// removed are left to the lease holder's sweep.
func (o *origins) restore(writes []table.Write, records []origin.Record) {
	failed := make(map[string]bool, len(writes))
	for _, w := range writes {
		failed[w.Key] = true
	}

	o.mu.Lock()
	defer o.mu.Unlock()

	for _, r := range records {
		if failed[streamPrefix+r.Key.String()] {
			o.book.Unstore(r.Key)
		}
	}
}

// sweep removes, while this entry holds the lease, the rows that entries left behind when they
// died.
func (o *origins) sweep(ctx context.Context) {
	for clock.Sleep(ctx, streamSweepInterval) == nil {
		if !o.node.holder.Holding() {
			continue
		}

		if err := o.sweepOnce(ctx); err != nil && !errors.Is(err, context.Canceled) {
			o.node.cfg.Log.Info().Err(err).Msg("old rows of streams not removed")
		}
	}
}

func (o *origins) sweepOnce(ctx context.Context) error {
	rows, err := table.ScanAll(ctx, o.node.cfg.Table, streamPrefix)
	if err != nil {
		return err
	}

	var old []table.Write

	for _, r := range rows {
		var row streamRow
		if json.Unmarshal(r.Value, &row) != nil || time.Since(time.UnixMilli(row.UntilMs)) > streamSweepMargin {
			old = append(old, table.Write{Key: r.Key, Delete: true})
		}
	}

	for len(old) > 0 {
		n := min(len(old), maxStoreBatch)
		if _, err := o.node.cfg.Table.Commit(ctx, table.Transaction{Writes: old[:n]}); err != nil {
			return err
		}

		old = old[n:]
	}

	return nil
}
