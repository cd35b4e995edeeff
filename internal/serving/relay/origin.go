package relay

import (
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/serving/origin"
)

// headerSoftware names the software that began the stream, in requests and answers between
// two entries.
const headerSoftware = "Fulmarcross-Software"

// beginStream records which software makes the stream, before its first event is sent.
func (d *delivery) beginStream(a *answer) {
	if !d.req.Origin.Begun() {
		d.req.Origin = a.origin
	}
}

// originOfPassed returns the origin that a neighbour states in its answer, and removes the
// header, which is not for clients.
func originOfPassed(a *answer) origin.Origin {
	defer a.Header.Del(headerSoftware)

	if values := a.Header.Values(headerSoftware); len(values) == 1 {
		return origin.Of(instance.Software(values[0]))
	}

	return origin.Unknown()
}
