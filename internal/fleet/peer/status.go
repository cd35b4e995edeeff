// Package peer keeps an entry's view of the others: who is on the platform's
// list, who answers, and what each says of itself.
package peer

import (
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/room/timeline"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
)

// Lease is a lease that an instance believes to hold.
type Lease struct {
	Cell  int
	Token uint64
}

// PlanCount is what an entry counted for a plan since it started.
type PlanCount struct {
	Plan     string
	Running  int
	Waiting  int
	Answered int64
	Tokens   int64
	// Refused counts by code.
	Refused map[request.Code]int64
}

// Status is what an entry says of itself with each heartbeat.
type Status struct {
	ID         instance.ID
	DataCentre instance.DataCentre
	// Process tells apart the processes that ran on the instance.
	Process  string
	Started  time.Time
	Draining bool
	Ready    bool
	// ListVersion is the version of the lists in force on the entry.
	ListVersion uint64
	Leases      []Lease
	// OrdersInHand are the cells for which the process has an order that it
	// may still send or that was not answered.
	OrdersInHand []int
	// Leaving are targets that the entry knows to be leaving.
	Leaving []instance.ID
	// Poisoned are requests that crash targets.
	Poisoned []request.Fingerprint
	Plans    []PlanCount
	Clock    timeline.Stamp
}

// Settled reports whether the process has nothing to do with the cell any
// more.
func (s *Status) Settled(cell int) bool {
	holds := slices.ContainsFunc(s.Leases, func(l Lease) bool { return l.Cell == cell })

	return !holds && !slices.Contains(s.OrdersInHand, cell)
}
