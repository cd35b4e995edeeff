// Package revision orders the states of the platform's store. It does no I/O.
package revision

import "fmt"

// Number is a state of the store: its era, which rises when the store comes back from a copy,
// and its version, which grows with each transaction but may be lower in a later era.
// Numbers are ordered by era first, so that <, == and max compare states. Zero stands for no
// state, or for a row that does not exist.
type Number uint64

// versionBits is the width of the version.
const versionBits = 40

// MaxEra and MaxVersion are the highest that a Number holds.
const (
	MaxEra     = 1<<(64-versionBits) - 1
	MaxVersion = 1<<versionBits - 1
)

// RangeError says that an era or a version is too high.
type RangeError struct{ Era, Version uint64 }

func (e *RangeError) Error() string {
	return fmt.Sprintf("revision: era %d, version %d: out of range", e.Era, e.Version)
}

// Of returns the state of an era and a version.
func Of(era, version uint64) (Number, error) {
	if era > MaxEra || version > MaxVersion {
		return 0, &RangeError{Era: era, Version: version}
	}

	return Number(era<<versionBits | version), nil
}

// Era returns the era.
func (n Number) Era() uint64 { return uint64(n) >> versionBits }

// Version returns the version within the era.
func (n Number) Version() uint64 { return uint64(n) & MaxVersion }

// String returns era/version.
func (n Number) String() string { return fmt.Sprintf("%d/%d", n.Era(), n.Version()) }
