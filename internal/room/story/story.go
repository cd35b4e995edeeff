package story

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// The messages of the lines that end a request.
const (
	answered  = "request answered"
	refused   = "request refused"
	left      = "caller left"
	brokenOff = "answer broken off"
	failed    = "failure of a target passed on"
)

// The messages of other lines that Tell and Summarize use.
const (
	waits         = "request waits"
	attemptFailed = "attempt failed"
	swapDecided   = "swap decided"
	adapterTold   = "adapter decided"
	orderAccepted = "order accepted"
	leaseTaken    = "lease taken"
	leaseLost     = "lease lost"
	leaseReleased = "lease released"
	// leaseNotReleased means that the lease remains valid until it expires.
	leaseNotReleased = "lease not released"
	leaseNotRenewed  = "lease not renewed"
	callsCounted     = "store calls"
	bytesCounted     = "bytes between entries"
	targetDied       = "target died under a request"
	stopMessage      = "stopping"
	linesDropped     = "log lines dropped"
)

// Story is the history of one request.
type Story struct {
	Request string
	// Lines are the lines about the request and those about its model, targets and
	// entry, in order of time.
	Lines []Line
	// Cause says in one sentence why the request ended as it did.
	Cause string
	// Missing lists logs and lines that are missing.
	Missing []string
}

const (
	// before is how long before a request's arrival a line may be to concern the
	// request: a load from the weight store takes six seconds or more.
	before = 10 * time.Second
	// after is the same after the request's end, when a target's death is detected.
	after = time.Second
)

// facts are what the lines state about a request.
type facts struct {
	own     []Line
	end     *Line
	node    string
	arrived time.Time
	ended   time.Time
	// model and adapter are what it requires of an engine. They are empty for a
	// request to a plain service.
	model, adapter string
	// targets are those that it was sent to.
	targets []string
	// around are the lines that concern it without naming it.
	around []Line
}

// Tell returns the story of a request from the lines of all processes.
func Tell(lines []Line, request string) Story {
	lines = inOrder(lines)
	f := gather(lines, request)
	s := Story{Request: request}

	if len(f.own) == 0 {
		s.Cause = "no line names this request"
		s.Missing = append(s.Missing, "the log of the instance that took it, or it never arrived")

		return s
	}

	s.Lines = append(slices.Clone(f.own), f.around...)
	slices.SortStableFunc(s.Lines, func(a, b Line) int { return a.At.Compare(b.At) })
	s.Cause = f.cause()
	s.Missing = f.missing(lines)

	return s
}

func gather(lines []Line, request string) *facts {
	f := &facts{}

	for i := range lines {
		l := &lines[i]
		if l.Request != request {
			continue
		}

		f.own = append(f.own, *l)
		f.node = l.Node

		if l.Key != "" {
			_, rest, _ := strings.Cut(l.Key, "/")
			f.model, f.adapter, _ = strings.Cut(rest, "/")
		}

		if l.Target != "" && !slices.Contains(f.targets, l.Target) {
			f.targets = append(f.targets, l.Target)
		}

		switch l.Message {
		case answered, refused, left, brokenOff, failed:
			f.end = l
		}
	}

	if len(f.own) == 0 {
		return f
	}

	f.arrived, f.ended = f.own[0].At, f.own[len(f.own)-1].At
	if f.end != nil {
		f.arrived = f.end.At.Add(-f.end.Took)
	}

	for _, l := range lines {
		if l.Request != request && l.At.After(f.arrived.Add(-before)) && l.At.Before(f.ended.Add(after)) && f.concerns(&l) {
			f.around = append(f.around, l)
		}
	}

	return f
}

// concerns reports whether a line that does not name the request concerns it.
func (f *facts) concerns(l *Line) bool {
	switch l.Message {
	case leaseTaken, leaseLost, leaseReleased, leaseNotRenewed, leaseNotReleased:
		return f.model != ""
	case "configuration in force", "store lost", "store regained", startMessage, stopMessage, "stopped", linesDropped, "targets learnt from a peer":
		return l.Node == f.node
	case targetDied, "target not reached", "target leaving", "target asks for rest", "target gone from the list", "address belongs to another target", "rate limit of target changed":
		return l.Node == f.node && slices.Contains(f.targets, l.Target)
	}

	if l.Request != "" || f.model == "" {
		return false
	}

	if l.Adapter != "" && l.Adapter != f.adapter {
		return false
	}

	return l.Load == f.model || l.Model == f.model || slices.Contains(l.Unload, f.model)
}

// missing returns descriptions of the logs and lines that are missing.
func (f *facts) missing(lines []Line) []string {
	var out []string

	dropped := 0

	for _, l := range f.around {
		dropped += l.Dropped
	}

	if dropped > 0 {
		out = append(out, fmt.Sprintf("%s wrote %d lines too many, which were dropped", f.node, dropped))
	}

	logged := make(map[string]bool)
	for _, l := range lines {
		logged[l.Node] = true
	}

	for _, l := range f.around {
		if l.Message != leaseTaken {
			continue
		}

		if former := fieldOf(l.Details, "former"); former != "" && !logged[former] {
			out = append(out, "the log of "+former+", which held the lease before "+l.Node)
		}
	}

	return out
}

// fieldOf returns the text value of a field in a line's details.
func fieldOf(details, name string) string {
	_, rest, found := strings.Cut(" "+details, " "+name+"=\"")
	if !found {
		return ""
	}

	value, _, _ := strings.Cut(rest, "\"")

	return value
}
