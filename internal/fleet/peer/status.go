// Package peer maintains an entry's record of the other instances: which are on
// the platform's list, which send heartbeats, and what each reports about itself.
package peer

import (
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/room/timeline"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
)

// Lease is a lease that an instance reports as its own. It may have expired.
type Lease struct {
	Cell  int
	Token uint64
}

// PlanCount is what an entry has counted for a plan since it started.
type PlanCount struct {
	Plan     string
	Running  int
	Waiting  int
	Answered int64
	Tokens   int64
	// Refused counts refusals by code.
	Refused map[request.Code]int64
}

// Status is what an entry reports about itself with each heartbeat.
type Status struct {
	ID         instance.ID
	DataCentre instance.DataCentre
	// Process distinguishes the processes that ran on the instance.
	Process  string
	Started  time.Time
	Draining bool
	Ready    bool
	// ListVersion is the version of the lists in force on the entry.
	ListVersion uint64
	Leases      []Lease
	// OrdersInFlight are the cells for which the process has an order that it may still
	// send or that has not been answered.
	OrdersInFlight []int
	// Leaving are the targets that the entry has recorded as leaving.
	Leaving []instance.ID
	// BlockedFingerprints are the fingerprints of requests that crash targets.
	BlockedFingerprints []request.Fingerprint
	Plans               []PlanCount
	Clock               timeline.Stamp
}

// ProvedIdle reports whether the process neither holds the cell's lease nor has an
// order in flight for the cell.
func (s *Status) ProvedIdle(cell int) bool {
	holds := slices.ContainsFunc(s.Leases, func(l Lease) bool { return l.Cell == cell })

	return !holds && !slices.Contains(s.OrdersInFlight, cell)
}
