// Package object is the client side of the platform's object store, which
// keeps large or rarely read data.
package object

import (
	"context"
	"fmt"
)

// Store keeps objects by name.
type Store interface {
	// Put stores data under name, replacing what was there.
	Put(ctx context.Context, name string, data []byte) error
	// Get returns the object, or a *NotFoundError.
	Get(ctx context.Context, name string) ([]byte, error)
	// List returns the names that begin with prefix, sorted.
	List(ctx context.Context, prefix string) ([]string, error)
	// Delete removes the object. Deleting an absent object succeeds.
	Delete(ctx context.Context, name string) error
}

// NotFoundError says that no object has this name.
type NotFoundError struct {
	Name string
}

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("object: %s not found", e.Name)
}
