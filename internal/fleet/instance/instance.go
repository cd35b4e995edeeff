// Package instance describes the machines on the platform's list: the entry
// instances, which run this program, and the targets behind them.
package instance

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ID names an instance. It is unique over the lifetime of the platform's list.
type ID string

// DataCentre names the zone in which an instance runs.
type DataCentre string

// Software is the version of a target's program. It says nothing about the weights of its
// models. Versions have no order, and one compares only with itself.
type Software string

// Role is the purpose of an instance.
type Role string

// The roles on the platform's list.
const (
	Entry   Role = "entry"
	Engine  Role = "engine"
	Service Role = "service"
)

// State says whether an instance may receive work.
type State string

// The states on the platform's list. An instance that is gone is not listed.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Instance is one row of the platform's list.
type Instance struct {
	ID         ID
	DataCentre DataCentre
	Role       Role
	// Address is where the instance accepts work: the peer protocol for an entry, the
	// engine protocol for an engine, HTTP for a service.
	Address netip.AddrPort
	// Service is the service's name. It is empty unless Role is Service.
	Service string
	State   State
}

// Rank sorts ids by their rendezvous hash for key, highest first. Removing one id
// leaves the order of all others unchanged.
func Rank(key string, ids []ID) []ID {
	type scored struct {
		id    ID
		score uint64
	}

	all := make([]scored, len(ids))
	for i, id := range ids {
		all[i] = scored{id, Score(key, id)}
	}

	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})

	ranked := make([]ID, len(all))
	for i, s := range all {
		ranked[i] = s.id
	}

	return ranked
}

// Score returns the rendezvous hash of id for key.
func Score(key string, id ID) uint64 {
	return mix(xxhash.Sum64String(key) ^ mix(xxhash.Sum64String(string(id))))
}

// mix spreads the bits of x, because the exclusive or of two hashes alone gives a
// poor order. It is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb

	return x ^ x>>31
}
