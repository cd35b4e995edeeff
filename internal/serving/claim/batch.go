package claim

import (
	"context"
	"sync"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/platform/revision"
	"github.com/fulmarcross/fulmarcross/internal/platform/table"
)

// batcher combines concurrent claims of one entry into transactions, because
// each transaction is expensive in the store. The zero value is ready for use.
type batcher struct {
	mu      sync.Mutex
	waiting []*claimWrite
	busy    bool
}

// claimWrite is the pending write of one claim.
type claimWrite struct {
	ctx   context.Context //nolint:containedctx // Each claim has its own deadline.
	key   string
	value []byte
	done  chan result
}

type result struct {
	version revision.Number
	err     error
}

// maxBatch bounds the rows of one transaction.
const maxBatch = 32

// batchTimeout bounds the writing of one batch, including the separate
// transactions after a conflict. It is short because clients wait and no request
// has been sent yet.
const batchTimeout = 1500 * time.Millisecond

// put writes the row if it is absent and returns its version. Claims that
// arrive during a transaction are collected for the next one.
func (b *batcher) put(ctx context.Context, s table.Service, key string, value []byte) (revision.Number, error) {
	w := &claimWrite{ctx: ctx, key: key, value: value, done: make(chan result, 1)}

	b.mu.Lock()
	b.waiting = append(b.waiting, w)

	if !b.busy {
		b.busy = true

		go b.run(s)
	}
	b.mu.Unlock()

	select {
	case r := <-w.done:
		return r.version, r.err
	case <-ctx.Done():
		return 0, &table.UnavailableError{Op: "claim", Err: ctx.Err()}
	}
}

func (b *batcher) run(s table.Service) {
	for {
		b.mu.Lock()
		n := min(len(b.waiting), maxBatch)
		batch := b.waiting[:n:n]
		b.waiting = b.waiting[n:]

		if n == 0 {
			b.busy = false
			b.mu.Unlock()

			return
		}
		b.mu.Unlock()

		commit(s, batch)
	}
}

// commit writes the batch. If one of its rows exists already or two of its
// claims have the same key, each claim is written in a transaction of its own,
// so that a repeated key does not fail the others.
func commit(s table.Service, batch []*claimWrite) {
	ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
	defer cancel()

	if len(batch) > 1 && distinct(batch) {
		version, err := table.Settle(ctx, s, transaction(batch))
		if err == nil {
			for _, w := range batch {
				w.done <- result{version: version}
			}

			return
		}

		if !table.IsConflict(err) {
			for _, w := range batch {
				w.done <- result{err: err}
			}

			return
		}
	}

	for _, w := range batch {
		version, err := table.Settle(ctx, s, transaction([]*claimWrite{w}))
		w.done <- result{version: version, err: err}
	}
}

func distinct(batch []*claimWrite) bool {
	seen := make(map[string]bool, len(batch))
	for _, w := range batch {
		if seen[w.key] {
			return false
		}

		seen[w.key] = true
	}

	return true
}

func transaction(batch []*claimWrite) table.Transaction {
	var tx table.Transaction
	for _, w := range batch {
		tx.Conditions = append(tx.Conditions, table.Condition{Key: w.key})
		tx.Writes = append(tx.Writes, table.Write{Key: w.key, Value: w.value})
	}

	return tx
}
