package claim

import (
	"context"
	"sync"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/platform/table"
)

// batcher puts the claims of one entry that come together into one
// transaction, because the table service counts transactions dearly. The zero
// value is ready.
type batcher struct {
	mu      sync.Mutex
	waiting []*claimWrite
	busy    bool
}

// claimWrite is one claim on its way.
type claimWrite struct {
	ctx   context.Context //nolint:containedctx // Each claim has its caller's deadline.
	key   string
	value []byte
	done  chan result
}

type result struct {
	version uint64
	err     error
}

// maxBatch bounds the rows of one transaction.
const maxBatch = 32

// batchTimeout bounds how long one transaction is tried. It is short, because
// callers wait and nothing was sent yet.
const batchTimeout = 1500 * time.Millisecond

// put writes the row if it is absent and returns its version. While one
// transaction is on its way, further claims gather for the next.
func (b *batcher) put(ctx context.Context, s table.Service, key string, value []byte) (uint64, error) {
	p := &claimWrite{ctx: ctx, key: key, value: value, done: make(chan result, 1)}

	b.mu.Lock()
	b.waiting = append(b.waiting, p)

	if !b.busy {
		b.busy = true

		go b.run(s)
	}
	b.mu.Unlock()

	select {
	case r := <-p.done:
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

// commit writes the batch. If a row of it exists already, or two claims of it
// are for the same key, each is tried on its own, so that one repeat does not
// fail the others.
func commit(s table.Service, batch []*claimWrite) {
	ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
	defer cancel()

	if len(batch) > 1 && distinct(batch) {
		version, err := table.Settle(ctx, s, transaction(batch))
		if err == nil {
			for _, p := range batch {
				p.done <- result{version: version}
			}

			return
		}

		if !table.IsConflict(err) {
			for _, p := range batch {
				p.done <- result{err: err}
			}

			return
		}
	}

	for _, p := range batch {
		version, err := table.Settle(ctx, s, transaction([]*claimWrite{p}))
		p.done <- result{version: version, err: err}
	}
}

func distinct(batch []*claimWrite) bool {
	seen := make(map[string]bool, len(batch))
	for _, p := range batch {
		if seen[p.key] {
			return false
		}

		seen[p.key] = true
	}

	return true
}

func transaction(batch []*claimWrite) table.Transaction {
	var tx table.Transaction
	for _, p := range batch {
		tx.Conditions = append(tx.Conditions, table.Condition{Key: p.key})
		tx.Writes = append(tx.Writes, table.Write{Key: p.key, Value: p.value})
	}

	return tx
}
