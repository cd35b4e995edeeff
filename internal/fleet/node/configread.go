package node

import (
	"context"
	"sync"
	"time"
)

// configRead is the read of the configuration from the store that is in progress. The zero
// value is none.
type configRead struct {
	mu sync.Mutex
	// cancel ends the read, nil if there is none. answerDue is when its answer was due.
	cancel    context.CancelFunc
	answerDue time.Time
}

// slowRead is how long after it was due an answer of the store must not have arrived for
// the read to count as slow.
const slowRead = 300 * time.Millisecond

// begin records a read whose answer is due at a time. It returns the read's context, and a
// function that ends the record.
func (r *configRead) begin(ctx context.Context, answerDue time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)

	r.mu.Lock()
	defer r.mu.Unlock()

	r.cancel, r.answerDue = cancel, answerDue

	return ctx, func() {
		cancel()

		r.mu.Lock()
		defer r.mu.Unlock()

		r.cancel = nil
	}
}

// slow reports whether a read is in progress and slow.
func (r *configRead) slow() bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.cancel != nil && time.Since(r.answerDue) >= slowRead
}

// cancelSlow cancels the read in progress because another entry has a newer configuration.
// The holder's is cancelled only if it is slow: others rely on its reads.
//
// Over a crowded link the text from the store, twenty times as large as what peers send,
// would keep theirs from arriving.
func (r *configRead) cancelSlow(holding bool) {
	if holding && !r.slow() {
		return
	}

	r.mu.Lock()
	defer r.mu.Unlock()

	if r.cancel != nil {
		r.cancel()
	}
}
