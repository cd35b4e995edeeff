// Package roster is the client side of the platform's list of instances. The
// list lags behind what happens.
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
