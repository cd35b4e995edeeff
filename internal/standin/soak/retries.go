package soak

import (
	"strings"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/standin/arrivals"
	"github.com/fulmarcross/fulmarcross/internal/standin/site"
	"github.com/fulmarcross/fulmarcross/internal/standin/worker"
)

// The users' limit on retries: in each window, a part of the requests and a burst.
const (
	retryRatio  = 0.2
	retryBurst  = 54.0
	smallBurst  = 8.0
	retryWindow = 10 * time.Second
)

// attempts are the attempts of the site's routes. That of /note/ may be one more, see draw.
var attempts = map[string]int{"/note/x": 3, "/dossier/x": 1, "/book/x": 1, "/look/x": 2}

func (s *soak) entryOptions(i int) entryOptions {
	opt := entryOptions{number: i, bounded: s.Load && i%2 == 1, burst: s.burst(), turnPause: turnPause}
	if s.Turns {
		opt.turnPause = usersTurnPause
	}

	return opt
}

func (s *soak) burst() float64 {
	switch {
	case s.ownBurst > 0:
		return s.ownBurst
	case s.Retries:
		return smallBurst
	default:
		return retryBurst
	}
}

// targetsOf returns the targets of a service.
func (s *soak) targetsOf(service string) map[instance.ID]*worker.Worker {
	if service == site.Drafting {
		return s.site.Workers
	}

	out := make(map[instance.ID]*worker.Worker)
	for id, d := range s.site.Desks {
		out[id] = &d.Worker
	}

	return out
}

// serviceOf returns the service of a path.
func serviceOf(path string) string {
	if strings.HasPrefix(path, "/note/") || strings.HasPrefix(path, "/dossier/") {
		return site.Drafting
	}

	return site.Desk
}

// sent returns what clients sent and what reached the targets.
func (s *soak) sent() *arrivals.Log {
	out := &arrivals.Log{
		Limits:   arrivals.Limits{Ratio: retryRatio, Burst: s.burst(), Window: retryWindow, Contact: contact},
		Requests: make(map[string]arrivals.Request, len(s.book.sent)),
	}

	for id, at := range s.book.sent {
		path := s.book.paths[id]
		out.Requests[id] = arrivals.Request{Service: serviceOf(path), Sent: at, Timeout: callFor, Attempts: attempts[path]}
	}

	for _, service := range []string{site.Drafting, site.Desk} {
		for target, w := range s.targetsOf(service) {
			for _, a := range w.Arrivals() {
				at, known := s.book.sent[a.ID]
				out.Arrivals = append(out.Arrivals, arrivals.Arrival{
					ID: a.ID, Service: service, Target: target, At: a.At, Left: a.Timeout, Rejected: w.Runs(a.ID) == 0,
					TargetExcused: known && s.excuses.overlap(string(target), at.Add(-contact), at.Add(callFor)),
				})
			}
		}
	}

	return out
}

// lines returns the lines of the users' rule on retries, with the largest value of each.
func (s *soak) lines() []arrivals.Line {
	return append(s.sent().Retries(), s.crashes.log(s.excuses.overlap).Crashing()...)
}

// describe returns the texts of the lines that are broken.
func describe(lines []arrivals.Line) []string {
	var out []string
	for _, line := range arrivals.Broken(lines) {
		out = append(out, line.String())
	}

	return out
}
