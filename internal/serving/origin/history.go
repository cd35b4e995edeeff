package origin

import (
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

// Span is the time in which targets of a service had software.
type Span struct {
	Software instance.Software
	// GoneAt is when the last target of the software was missing from the list. Zero means
	// that there still are some.
	GoneAt time.Time
}

// History is the software that a service's targets have, and had so lately that streams
// which it began may be resumed. Software that is not recorded has begun no stream. The zero
// value records none.
type History struct{ Spans []Span }

// MaxStreamAge is the longest time between the beginning of a stream and the last time that
// its client takes it up. No client waits that long, and it leaves room for clocks that
// differ or step.
const MaxStreamAge = 2 * time.Minute

// Lists reports whether the software is recorded as one that targets have.
func (h History) Lists(s instance.Software) bool {
	return slices.ContainsFunc(h.Spans, func(p Span) bool { return p.Software == s && p.GoneAt.IsZero() })
}

// Only returns the origin of a stream that is resumed now and of which nothing else is known:
// the software that alone can have begun it, if there is only one.
func (h History) Only() Origin {
	if len(h.Spans) != 1 {
		return Unknown()
	}

	return Of(h.Spans[0].Software)
}

// OnlyOf returns the same, and that it is unknown if targets have software that is not recorded:
// it may have begun streams, too.
func (h History) OnlyOf(listed []instance.Software) Origin {
	for _, s := range listed {
		if !slices.ContainsFunc(h.Spans, func(p Span) bool { return p.Software == s }) {
			return Unknown()
		}
	}

	return h.Only()
}

// Several reports whether streams may have been begun by different software.
func (h History) Several() bool { return len(h.Spans) > 1 }

// Merge returns the history with the software that only another one records. It reports whether
// there was any.
func (h History) Merge(other History) (History, bool) {
	out := History{Spans: slices.Clone(h.Spans)}

	for _, s := range other.Spans {
		if !slices.ContainsFunc(out.Spans, func(p Span) bool { return p.Software == s.Software }) {
			out.Spans = append(out.Spans, s)
		}
	}

	return out, len(out.Spans) != len(h.Spans)
}

// Update returns the history for the software on the list of targets at now. It reports false
// if that changes nothing. Software is forgotten after MaxStreamAge, and dropped is whether
// software that is missing from the list may be recorded as gone.
func (h History) Update(listed []instance.Software, drop bool, now time.Time) (History, bool) {
	out := History{Spans: slices.Clone(h.Spans)}
	changed := false

	for _, s := range listed {
		i := slices.IndexFunc(out.Spans, func(p Span) bool { return p.Software == s })

		switch {
		case i < 0:
			out.Spans = append(out.Spans, Span{Software: s})
			changed = true
		case !out.Spans[i].GoneAt.IsZero():
			out.Spans[i].GoneAt = time.Time{}
			changed = true
		}
	}

	if !drop {
		return out, changed
	}

	for i, p := range out.Spans {
		if p.GoneAt.IsZero() && !slices.Contains(listed, p.Software) {
			out.Spans[i].GoneAt = now
			changed = true
		}
	}

	before := len(out.Spans)
	out.Spans = slices.DeleteFunc(out.Spans, func(p Span) bool { return !p.GoneAt.IsZero() && now.Sub(p.GoneAt) > MaxStreamAge })

	return out, changed || len(out.Spans) != before
}
