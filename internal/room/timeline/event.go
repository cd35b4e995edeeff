package timeline

import (
	"cmp"
	"slices"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

// Kind is the kind of an event.
type Kind string

// The kinds of events. Those of requests and loads come first, roughly in the
// order in which they occur.
const (
	Admitted       Kind = "admitted"
	Queued         Kind = "queued"
	LedgerWritten  Kind = "ledgerWritten"
	LoadOrdered    Kind = "loadOrdered"
	LoadConfirmed  Kind = "loadConfirmed"
	LoadFailed     Kind = "loadFailed"
	UnloadOrdered  Kind = "unloadOrdered"
	LedgerRemoved  Kind = "ledgerRemoved"
	Claimed        Kind = "claimed"
	Sent           Kind = "sent"
	Resumed        Kind = "resumed"
	Answered       Kind = "answered"
	Refused        Kind = "refused"
	CallerLeft     Kind = "callerLeft"
	TargetDied     Kind = "targetDied"
	TargetLeaving  Kind = "targetLeaving"
	PoisonFound    Kind = "poisonFound"
	LeaseTaken     Kind = "leaseTaken"
	LeaseReleased  Kind = "leaseReleased"
	LeaseLost      Kind = "leaseLost"
	LateOrder      Kind = "lateOrder"
	ListInForce    Kind = "listInForce"
	TableDown      Kind = "tableDown"
	TableBack      Kind = "tableBack"
	ProcessStarted Kind = "processStarted"
	ProcessStopped Kind = "processStopped"
)

// Event is one event of the timeline.
type Event struct {
	At       Stamp
	Instance instance.ID
	// Process distinguishes the processes that ran on one instance.
	Process string
	// Number counts the process's events from one, without gaps, so that a
	// missing number means a missing event.
	Number   uint64
	Kind     Kind
	Request  string
	Model    string
	Target   instance.ID
	Customer string
	Detail   string
}

// Filter selects events. Empty fields match every event; Since is inclusive.
type Filter struct {
	Request string
	Model   string
	Since   Stamp
}

// Match reports whether the filter selects e.
func (f Filter) Match(e *Event) bool {
	return (f.Request == "" || e.Request == f.Request) &&
		(f.Model == "" || e.Model == f.Model) &&
		e.At >= f.Since
}

// Gap is a range of missing events of a process.
type Gap struct {
	Instance instance.ID
	Process  string
	// From and To are the first and last missing numbers.
	From, To uint64
}

// Merge returns the events of all parts, ordered by stamp and without
// duplicates.
func Merge(parts ...[]Event) []Event {
	all := slices.Concat(parts...)
	slices.SortFunc(all, func(a, b Event) int {
		return cmp.Or(
			cmp.Compare(a.At, b.At),
			cmp.Compare(a.Process, b.Process),
			cmp.Compare(a.Number, b.Number),
		)
	})

	return slices.CompactFunc(all, func(a, b Event) bool {
		return a.Process == b.Process && a.Number == b.Number
	})
}

// Gaps returns the ranges of missing numbers between the lowest and the highest
// number of each process. The events must be unfiltered, since an event that a
// filter left out would count as missing.
func Gaps(events []Event) []Gap {
	type source struct {
		id      instance.ID
		process string
	}

	numbers := make(map[source][]uint64)

	for _, e := range events {
		s := source{e.Instance, e.Process}
		numbers[s] = append(numbers[s], e.Number)
	}

	var gaps []Gap

	for s, ns := range numbers {
		slices.Sort(ns)

		for i := 1; i < len(ns); i++ {
			if ns[i] > ns[i-1]+1 {
				gaps = append(gaps, Gap{Instance: s.id, Process: s.process, From: ns[i-1] + 1, To: ns[i] - 1})
			}
		}
	}

	slices.SortFunc(gaps, func(a, b Gap) int {
		return cmp.Or(cmp.Compare(a.Process, b.Process), cmp.Compare(a.From, b.From))
	})

	return gaps
}
