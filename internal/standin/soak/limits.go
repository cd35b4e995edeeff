package soak

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/serving/ratelimit"
	"github.com/fulmarcross/fulmarcross/internal/standin/worker"
)

const (
	// contact is how long the users' rules allow until a limit is known.
	contact = 3 * time.Second
	// backAfter is how long after a kill a process is back, and stoppedAfter how long
	// after a signal to stop.
	backAfter    = time.Second
	stoppedAfter = grace + backAfter
)

// statedRates are the rate limits that targets state, in requests a second.
var statedRates = []float64{1, 1.3, 10, 50}

// stateLimits are the troubles in which targets state rate limits. A target states its
// limit until another event changes or withdraws it.
func (s *soak) stateLimits(draw *rand.Rand, engine, desk instance.ID) []event {
	rate := statedRates[draw.IntN(len(statedRates))]
	limit := ratelimit.Limit{Stated: true, PerSecond: rate}
	state := func(id instance.ID, w *worker.Worker, l ratelimit.Limit) event {
		name := string(id) + " states no rate limit"
		if l.Stated {
			name = fmt.Sprintf("%s states a rate limit of %v requests a second", id, l.PerSecond)
		}

		return event{name: name, begin: func() { w.SetRateLimit(l) }}
	}

	return []event{
		state(engine, s.site.Workers[engine], limit),
		state(desk, &s.site.Desks[desk].Worker, limit),
		state(desk, &s.site.Desks[desk].Worker, ratelimit.Limit{}),
	}
}

// withdrawLimits ends all rate limits.
func (s *soak) withdrawLimits() {
	for _, w := range s.site.Targets() {
		w.SetRateLimit(ratelimit.Limit{})
	}
}

// excuses are the times in which requests to limited targets do not count, by the
// process that was restarted or frozen and by the target whose link was cut.
type excuses struct {
	mu    sync.Mutex
	spans map[string][]span
}

type span struct{ from, to time.Time }

func (e *excuses) add(name string, from, to time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()

	if e.spans == nil {
		e.spans = make(map[string][]span)
	}

	e.spans[name] = append(e.spans[name], span{from, to})
}

// overlap reports whether the name is excused at any time between two times.
func (e *excuses) overlap(name string, from, to time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()

	for _, s := range e.spans[name] {
		if s.from.Before(to) && from.Before(s.to) {
			return true
		}
	}

	return false
}

// senderOf returns the process that a request was sent to by its client.
func senderOf(id string) string {
	if rest, ok := strings.CutPrefix(id, "ready-"); ok {
		name, _, _ := strings.Cut(rest, "/")

		return name
	}

	parts := strings.Split(id, "-")
	if len(parts) < 2 { //nolint:mnd // The caller is the last part but one.
		return ""
	}

	caller, _ := strconv.Atoi(parts[len(parts)-2])

	return fmt.Sprintf("entry-%d", caller/callersEach)
}

// exceeded returns the targets that got more requests than the rule on rate limits
// allows.
func (s *soak) exceeded() []string {
	var out []string

	for id, w := range s.site.Targets() {
		text := w.Exceeded(worker.LimitRule{Contact: contact, Sender: senderOf, Excused: func(sender string, from, to time.Time) bool {
			return s.excuses.overlap(sender, from, to) || s.excuses.overlap(string(id), from, to)
		}})
		if text != "" {
			out = append(out, string(id)+": "+text)
		}
	}

	return out
}
