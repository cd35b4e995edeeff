// Package weight is the client side of the platform's weight store. Engines
// fetch checkpoints from it by themselves; this program only reads what there
// is to load.
package weight

import "context"

// Checkpoint is a model's or an adapter's weights.
type Checkpoint struct {
	Name string
	// Base is the model that an adapter changes. It is empty for a model.
	Base string
	// Bytes is the memory that the checkpoint holds once it is loaded.
	Bytes int64
}

// Store lists checkpoints.
type Store interface {
	// Checkpoints returns every checkpoint, sorted by name.
	Checkpoints(ctx context.Context) ([]Checkpoint, error)
}
