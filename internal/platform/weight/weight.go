// Package weight defines the client interface of the platform's weight store.
// Engines fetch checkpoints directly from the store; this program only lists
// them.
package weight

import "context"

// Checkpoint describes the weights of a model or an adapter.
type Checkpoint struct {
	Name string
	// Base is the base model of an adapter. It is empty for a model.
	Base string
	// Bytes is the memory that the loaded checkpoint occupies.
	Bytes int64
}

// Store lists checkpoints.
type Store interface {
	// Checkpoints returns every checkpoint, sorted by name.
	Checkpoints(ctx context.Context) ([]Checkpoint, error)
}
