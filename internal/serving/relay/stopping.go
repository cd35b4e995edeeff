package relay

import (
	"context"
	"sync"
	"time"
)

// stopping is the end of an entry's graceful shutdown as requests see it. The zero value is of an
// entry that does not stop.
type stopping struct {
	mu sync.Mutex
	// endsAt is when unanswered requests get their last answers, zero if the entry does not stop.
	endsAt time.Time
	// ended ends then.
	ended context.Context //nolint:containedctx // Requests wait for it beside their own.
	end   context.CancelFunc
}

// context returns a context that ends when unanswered requests get their last answers.
func (s *stopping) context() context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.ended == nil {
		s.ended, s.end = context.WithCancel(context.Background())
	}

	return s.ended
}

// left returns the time until unanswered requests get their last answers, and whether there is
// such a time.
func (s *stopping) left(now time.Time) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.endsAt.Sub(now), !s.endsAt.IsZero()
}

// over reports whether unanswered requests get their last answers now.
func (s *stopping) over() bool { return s.context().Err() != nil }

// EndAt says that this entry stops, and when requests that are unanswered then get their last
// answers. A caller may read them until the process ends.
func (s *Server) EndAt(at time.Time) {
	s.stopping.context()

	s.stopping.mu.Lock()
	defer s.stopping.mu.Unlock()

	s.stopping.endsAt = at

	time.AfterFunc(time.Until(at), s.stopping.end)
}

// endWith calls cancel when the entry's shutdown ends, unless an answer has begun by then. The
// caller calls stop when the request has ended.
func (d *delivery) endWith(cancel context.CancelFunc) (stop func() bool) {
	return context.AfterFunc(d.stopping.context(), func() {
		if !d.begun.Load() {
			cancel()
		}
	})
}

// durationMargin is how much longer than the longest recent answer of a service another may take.
const durationMargin = 1.25

// mayNotEnd reports whether an answer to the request, if it is sent to a target now, may come too
// late for this entry, which stops.
//
// A request that is passed on and then cut has run for nothing, and its caller cannot know whether
// it has. Its body may have come late, or it waited.
func (d *delivery) mayNotEnd(now time.Time) bool {
	left, stops := d.stopping.left(now)
	if !stops || d.headSent || !d.reached(RefusingNewStreams) {
		return false
	}

	if !d.deadline.After(now.Add(left)) {
		return false
	}

	longest, known := d.durations.longest(d.service, now)

	return !known || time.Duration(durationMargin*float64(longest)) > left
}

// durationPeriod is the least time for which the duration of an answer is remembered.
const durationPeriod = 30 * time.Second

// durations are the longest durations of answers lately, by service. The zero value knows none.
type durations struct {
	mu sync.Mutex
	// current are those of the present period, and previous those of the one before.
	current, previous map[string]time.Duration
	began             time.Time
}

// add records that an answer of a service took some time.
func (r *durations) add(service string, took time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.expire(now)

	if r.current == nil {
		r.current = make(map[string]time.Duration)
	}

	r.current[service] = max(r.current[service], took)
}

// longest returns the longest duration, and whether any is known.
func (r *durations) longest(service string, now time.Time) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.expire(now)

	longest := max(r.current[service], r.previous[service])

	return longest, longest > 0
}

// expire ends periods that are over.
func (r *durations) expire(now time.Time) {
	if now.Sub(r.began) >= 2*durationPeriod {
		r.current = nil
	}

	if now.Sub(r.began) >= durationPeriod {
		r.previous, r.current, r.began = r.current, nil, now
	}
}

// readUntilEnd makes the read of the request's body fail when the entry's shutdown ends. The caller
// calls stop when the body is read.
func (d *delivery) readUntilEnd(interrupt func(time.Time) error) (stop func() bool) {
	return context.AfterFunc(d.stopping.context(), func() { _ = interrupt(time.Unix(1, 0)) }) // Fails only if the connection is closed.
}
