package story

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Outcome is a request's outcome for its client.
type Outcome int

// The outcomes that a summary tells apart.
const (
	// Served requests were answered in time, as far as the logs state.
	Served Outcome = iota
	// Late requests were answered after their route's goal.
	Late
	// Unserved requests got no whole answer of a target.
	Unserved
)

// Group contains the requests with the same outcome and cause.
type Group struct {
	Cause   string
	Outcome Outcome
	// Models, Targets and Nodes count the group's requests by their model, the
	// target that they were sent to last, and the entry that received them.
	Models, Targets, Nodes map[string]int
	// Seconds counts them by the second of their arrival since the first line.
	Seconds map[int]int
	// Requests are their ids, in the order in which they arrived.
	Requests []string
}

// Summary groups all requests of some logs.
type Summary struct {
	Requests, Late, Unserved int
	// Calls are the numbers of calls to the store that all processes made, by
	// purpose and cause. Bytes are the bytes that they exchanged with each other, by
	// kind of message. Both end with the last line of each process that states them.
	Calls, Bytes map[string]int
	// Groups contain the requests that were late or not served. Unserved ones come
	// first, then the largest.
	Groups []Group
}

// Summarize groups the requests that were late or not served by their causes.
func Summarize(lines []Line) Summary {
	lines = inOrder(lines)
	if len(lines) == 0 {
		return Summary{}
	}

	first := lines[0].At
	groups := make(map[string]*Group)
	s := Summary{
		Calls: lastCounts(lines, callsCounted, func(l *Line) map[string]int { return l.Calls }),
		Bytes: lastCounts(lines, bytesCounted, func(l *Line) map[string]int { return l.Bytes }),
	}

	for _, f := range requests(lines) {
		s.Requests++

		outcome, cause := f.class()
		if outcome == Served {
			continue
		}

		if outcome == Late {
			s.Late++
		} else {
			s.Unserved++
		}

		g := groups[cause]
		if g == nil {
			g = &Group{
				Cause: cause, Outcome: outcome,
				Models: make(map[string]int), Targets: make(map[string]int), Nodes: make(map[string]int), Seconds: make(map[int]int),
			}
			groups[cause] = g
		}

		g.add(f, first)
	}

	for _, g := range groups {
		s.Groups = append(s.Groups, *g)
	}

	slices.SortFunc(s.Groups, func(a, b Group) int {
		return cmp.Or(-cmp.Compare(a.Outcome, b.Outcome), -cmp.Compare(len(a.Requests), len(b.Requests)), strings.Compare(a.Cause, b.Cause))
	})

	return s
}

// lastCounts sums the counts of the last line with the message of each process.
func lastCounts(lines []Line, message string, counts func(*Line) map[string]int) map[string]int {
	type process struct {
		node   string
		number int
	}

	last := make(map[process]map[string]int)

	for i := range lines {
		if l := &lines[i]; l.Message == message {
			last[process{l.Node, l.process}] = counts(l)
		}
	}

	sums := make(map[string]int)

	for _, counts := range last {
		for name, n := range counts {
			sums[name] += n
		}
	}

	return sums
}

func (g *Group) add(f *facts, first time.Time) {
	if f.model != "" {
		g.Models[f.model]++
	}

	if len(f.targets) > 0 {
		g.Targets[f.lastTarget()]++
	}

	g.Nodes[f.node]++
	g.Seconds[int(f.arrived.Sub(first)/time.Second)]++
	g.Requests = append(g.Requests, f.own[0].Request)
}

// requests returns the facts of each request, without the lines that do not name it.
func requests(lines []Line) []*facts {
	own := make(map[string][]Line)

	for i := range lines {
		if id := lines[i].Request; id != "" {
			own[id] = append(own[id], lines[i])
		}
	}

	out := make([]*facts, 0, len(own))
	for _, id := range slices.Sorted(maps.Keys(own)) {
		out = append(out, gather(own[id], id))
	}

	slices.SortStableFunc(out, func(a, b *facts) int { return a.arrived.Compare(b.arrived) })

	return out
}

// class returns the request's outcome and a cause that is the same for many
// requests.
func (f *facts) class() (Outcome, string) {
	if f.end == nil {
		return Unserved, "no last line: the process ended, or its log"
	}

	switch f.end.Message {
	case answered:
		return f.lateness()
	case refused:
		return Unserved, f.refusalClass()
	case left:
		return Unserved, f.departureClass()
	case brokenOff:
		return Unserved, "answer broken off: " + f.attemptClass()
	default:
		return Unserved, "a target's own failure passed on"
	}
}

func (f *facts) lateness() (Outcome, string) {
	switch {
	case f.end.Goal == 0 || f.end.First <= f.end.Goal:
		return Served, ""
	case f.end.Cold:
		return Late, "late: waited for its model"
	case f.end.Waited > f.end.First/2:
		return Late, "late: waited for a place on a target"
	case f.end.Sends > 1:
		return Late, "late: sent again, " + f.attemptClass()
	default:
		return Late, "late: its target was slow to begin"
	}
}

func (f *facts) refusalClass() string {
	switch {
	case f.end.Why != "":
		return "refused at once: " + f.end.Why
	case strings.Contains(f.end.Error, "shuttingDown"):
		return "refused: the entry was stopping"
	case strings.Contains(f.end.Error, "crashesTargets"):
		return "refused: targets crashed while they ran it"
	case f.end.Sends > 0:
		return "refused or failed after a sending: " + f.attemptClass()
	case strings.Contains(f.end.Error, "targetResting"):
		return "refused at once: its targets asked for rest"
	case strings.Contains(f.end.Error, "all of its targets leave"):
		return "refused at once: all of its targets leave"
	case strings.Contains(f.end.Error, "targetLimited"):
		return "refused at once: the rate limits of its targets left no room"
	case strings.Contains(f.end.Error, "tooCold"):
		return "refused: its model could not be loaded in time"
	default:
		return "refused after waiting: " + f.waitClass()
	}
}

func (f *facts) departureClass() string {
	switch {
	case strings.Contains(f.end.Error, cutOff+"memory is short"):
		return "caller cut off: memory was short, and it read nothing"
	case strings.Contains(f.end.Error, cutOff):
		return "caller cut off: it read nothing"
	case f.end.Sends == 0:
		return "caller left, never sent: " + f.waitClass()
	case f.end.First == 0:
		return "caller left: its target had not answered"
	case f.end.Quiet > stalled:
		return "caller left: the stream had fallen silent"
	default:
		return "caller left in the middle of an answer"
	}
}

// waitClass returns why the targets did not accept a request that waited.
func (f *facts) waitClass() string {
	for _, l := range slices.Backward(f.own) {
		if l.Message != waits || l.Holders == 0 {
			continue
		}

		switch l.Holders {
		case l.Full:
			return "targets with its model were full"
		case l.Leaving:
			return "targets with its model were leaving"
		case l.Dead, l.Ejected:
			return "targets with its model were dead or failing"
		case l.Resting:
			return "targets with its model had asked for rest"
		case l.Limited:
			return "targets with its model had reached their rate limits"
		default:
			return "targets with its model were full, leaving or dead"
		}
	}

	return "no target had its model"
}

// attemptClass returns how the last attempt failed.
func (f *facts) attemptClass() string {
	for _, l := range slices.Backward(f.own) {
		if l.Message != attemptFailed {
			continue
		}

		for _, known := range failures {
			if strings.Contains(l.Error, known.text) {
				return "the target " + known.means
			}
		}
	}

	return "no sending failed"
}
