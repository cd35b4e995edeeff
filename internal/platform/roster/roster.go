// Package roster defines the client interface of the platform's list of
// instances. The list is updated with a delay, so it may be out of date.
package roster

import (
	"context"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

// Service is the platform's list of instances.
type Service interface {
	// Instances returns the live and leaving instances, sorted by id.
	Instances(ctx context.Context) ([]instance.Instance, error)
}
