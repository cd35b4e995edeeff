// Package demand merges the demand that all entries report for a cell's models,
// so that a burst over many entries causes one load. It does no I/O and reads
// no clock.
package demand

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/placement/ledger"
	"github.com/fulmarcross/fulmarcross/internal/placement/replica"
)

// Use counts an entry's requests on one replica.
type Use struct {
	ledger.Key

	Running int
	// Served is the number of requests that ended there since the last report.
	Served int
	// Tokens is the memory for prompts and answers that the running requests may
	// take on the target, in tokens.
	Tokens int
	// Events is the number of pauses between two events of a stream that the entry
	// observed since the last report, and EventTime their sum.
	Events    int
	EventTime time.Duration
}

// Report is the demand that one entry reports to a cell's holder. It replaces
// the entry's previous report.
type Report struct {
	Entry   instance.ID
	Process string
	Cell    int
	// Token and Number identify the snapshot that the entry had applied when it
	// counted its uses.
	Token, Number uint64
	Waiting       []replica.Demand
	Uses          []Use
	// Resting are the targets that have asked the entry for rest.
	Resting []Rest
}

// Rest is a target that has asked an entry for rest, and how long that still lasts.
type Rest struct {
	Target instance.ID
	Left   time.Duration
}

// Expiry is how long a report is valid. An entry that has not reported for that
// long is assumed to have died or to be disconnected, and its requests to have
// ended with it.
const Expiry = 3 * time.Second

// Reports holds the last report of each entry. The zero value is empty. It is
// not safe for concurrent use.
type Reports struct {
	entries map[instance.ID]received
}

type received struct {
	Report

	at time.Time
}

// Record replaces the entry's report.
func (r *Reports) Record(report Report, now time.Time) {
	if r.entries == nil {
		r.entries = make(map[instance.ID]received)
	}

	r.entries[report.Entry] = received{Report: report, at: now}
}

// Merged returns the demand of all entries, one element for each model with
// waiting or running requests, sorted by model. It deletes expired reports.
func (r *Reports) Merged(now time.Time) []replica.Demand {
	merged := make(map[string]*replica.Demand)

	for id, e := range r.entries {
		if now.Sub(e.at) > Expiry {
			delete(r.entries, id)

			continue
		}

		for _, d := range e.Waiting {
			merge(demandOf(merged, d.Model), d)
		}

		for _, u := range e.Uses {
			demandOf(merged, u.Model).Running += u.Running
		}
	}

	out := make([]replica.Demand, 0, len(merged))
	for _, d := range merged {
		if d.Waiting > 0 || d.Running > 0 {
			out = append(out, *d)
		}
	}

	slices.SortFunc(out, func(a, b replica.Demand) int { return strings.Compare(a.Model, b.Model) })

	return out
}

func demandOf(merged map[string]*replica.Demand, model string) *replica.Demand {
	d := merged[model]
	if d == nil {
		d = &replica.Demand{Model: model}
		merged[model] = d
	}

	return d
}

// merge adds d to into. The plan with the highest priority is used for the
// model.
func merge(into *replica.Demand, d replica.Demand) {
	if into.Plan == "" || d.Priority > into.Priority {
		into.Plan = d.Plan
	}

	into.Waiting += d.Waiting + d.Refused
	into.Priority = max(into.Priority, d.Priority)

	into.Deadline = replica.EarlierNonZero(into.Deadline, d.Deadline)
	into.Goal = replica.EarlierNonZero(into.Goal, d.Goal)
}

// WaitingEntries returns, for each group of models, the number of entries at
// which requests wait for one of its models.
func (r *Reports) WaitingEntries(now time.Time, group func(model string) string) map[string]int {
	counts := make(map[string]int)

	for _, e := range r.entries {
		if now.Sub(e.at) > Expiry {
			continue
		}

		seen := make(map[string]bool, len(e.Waiting))

		for _, d := range e.Waiting {
			g := group(d.Model)
			if d.Waiting > 0 && !seen[g] {
				seen[g] = true
				counts[g]++
			}
		}
	}

	return counts
}

// Running returns the number of requests that run on the replica, over all
// reports, including expired ones that Merged has not deleted yet.
func (r *Reports) Running(k ledger.Key) int {
	n := 0

	for _, e := range r.entries {
		for _, u := range e.Uses {
			if u.Key == k {
				n += u.Running
			}
		}
	}

	return n
}

// Uses returns the uses of all reports, including expired ones that Merged has
// not deleted yet.
func (r *Reports) Uses() []Use {
	var out []Use
	for _, e := range r.entries {
		out = append(out, e.Uses...)
	}

	return out
}

// Drained reports whether the entries have stopped sending requests to the
// replica: every entry whose report has not expired has applied the snapshot
// that removed the replica, or a later one, and no request runs there. Entries
// whose reports have expired do not delay the unload, except that the requests
// that they reported as running there count until Merged has deleted the
// reports.
func (r *Reports) Drained(k ledger.Key, token, number uint64, now time.Time) bool {
	for _, e := range r.entries {
		if now.Sub(e.at) > Expiry {
			continue
		}

		behind := cmp.Or(cmp.Compare(e.Token, token), cmp.Compare(e.Number, number)) < 0
		if behind {
			return false
		}
	}

	return r.Running(k) == 0
}

// Entries returns the number of entries whose reports have not expired.
func (r *Reports) Entries(now time.Time) int {
	n := 0

	for _, e := range r.entries {
		if now.Sub(e.at) <= Expiry {
			n++
		}
	}

	return n
}
