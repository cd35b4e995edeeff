// Package origin decides at which targets a stream may go on. What targets of different
// software write does not fit together, so a stream goes on only at the software that began
// it. The package does no I/O and reads no clock.
package origin

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

// Origin is what is known of the software that began a stream. A stream has begun once an
// event of it was sent to its client. The zero value is a stream that has not begun.
type Origin struct {
	knowledge knowledge
	software  instance.Software
}

type knowledge int

const (
	notBegun knowledge = iota
	unknown
	known
)

// Of returns the origin of a stream that the software began.
func Of(s instance.Software) Origin { return Origin{knowledge: known, software: s} }

// Unknown returns the origin of a stream that some software began.
func Unknown() Origin { return Origin{knowledge: unknown} }

// Allows reports whether the stream may go on at a target of the software. It is the only
// place that decides this.
func (o Origin) Allows(s instance.Software) bool {
	switch o.knowledge {
	case notBegun:
		return true
	case known:
		return s == o.software
	case unknown:
	}

	return false
}

// Begun reports whether the stream has begun.
func (o Origin) Begun() bool { return o.knowledge != notBegun }

// Known returns the software that began the stream. It returns false if that is not known,
// or if the stream has not begun.
func (o Origin) Known() (instance.Software, bool) { return o.software, o.knowledge == known }

// String returns the origin as it stands in logs.
func (o Origin) String() string {
	switch o.knowledge {
	case known:
		return string(o.software)
	case unknown:
		return "unknown"
	case notBegun:
	}

	return ""
}

// Key identifies a stream among those of all clients of all services.
type Key uint64

// KeyOf returns the key of the stream that an attempt began. Clients of other teams, and
// requests for other models, have other keys, even for the same id.
func KeyOf(team, routingKey, attempt string) Key {
	d := xxhash.New()
	for _, s := range []string{team, routingKey, attempt} {
		_, _ = d.WriteString(s)
		_, _ = d.WriteString("\x00")
	}

	return Key(d.Sum64())
}

// String returns the key in hexadecimal digits, of which it always has 16.
func (k Key) String() string {
	const digits, base = 16, 16

	text := strconv.FormatUint(uint64(k), base)

	return "0000000000000000"[:digits-len(text)] + text
}

// Record says that a stream was begun by software.
type Record struct {
	Key      Key
	Software instance.Software
	// Until is when the stream's client gives up, so that it can no longer be resumed.
	Until time.Time
}
