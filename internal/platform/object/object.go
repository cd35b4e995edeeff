// Package object defines the client interface of the platform's object store,
// which holds large or rarely read data.
package object

import (
	"context"
	"fmt"
)

// Store stores objects by name.
type Store interface {
	// Put stores data under name, replacing any existing object.
	Put(ctx context.Context, name string, data []byte) error
	// Get returns the object, or a *NotFoundError if there is none.
	Get(ctx context.Context, name string) ([]byte, error)
	// List returns the names that begin with prefix, sorted.
	List(ctx context.Context, prefix string) ([]string, error)
	// Delete removes the object. Deleting an absent object succeeds.
	Delete(ctx context.Context, name string) error
}

// NotFoundError reports that no object is stored under Name.
type NotFoundError struct {
	Name string
}

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("object: %s not found", e.Name)
}
