// Package clock waits on the runtime's clock, which tests pause and advance.
package clock

import (
	"context"
	"time"
)

// Sleep waits for d. It returns the context's error if that ends first.
func Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()

	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
