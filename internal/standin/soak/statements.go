package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/standin/worker"
)

// askedRests are the rests that targets ask for.
var askedRests = []time.Duration{300 * time.Millisecond, time.Second, 3 * time.Second}

// makeStatements are the troubles in which targets leave without a word in the list, or
// turn requests away and ask for rest.
func (s *soak) makeStatements(draw *rand.Rand, engine, desk instance.ID) []event {
	rest := askedRests[draw.IntN(len(askedRests))]
	turnAway := func(id instance.ID, w *worker.Worker) event {
		return event{
			name:  fmt.Sprintf("%s turns requests away and asks for %v of rest", id, rest),
			begin: func() { w.TurnAway(rest, troubleMost, nil) }, end: func() { w.TurnAway(0, 0, nil) },
		}
	}
	leave := func(id instance.ID, w *worker.Worker) event {
		return event{name: string(id) + " leaves, by its answers alone", begin: w.Leave, end: func() { s.restart(id) }}
	}

	e, d := s.site.Workers[engine], &s.site.Desks[desk].Worker

	return []event{turnAway(engine, e), turnAway(desk, d), leave(engine, e), leave(desk, d)}
}

// unheard returns what reached targets although they had told the sender that they leave
// or rest, beyond what the rules allow.
func (s *soak) unheard() []string {
	var out []string

	for id, w := range s.site.Targets() {
		rule := worker.StatementRule{
			Sender: senderOf, Sent: s.book.sentAt, RestartExcused: s.excuses.overlap,
			Excused: func(sender string, from, to time.Time) bool {
				return s.excuses.overlap(sender, from, to) || s.excuses.overlap(string(id), from, to)
			},
		}

		for _, text := range []string{w.SentAfterLeaving(rule), w.SentDuringRest(rule)} {
			if text != "" {
				out = append(out, string(id)+": "+text)
			}
		}
	}

	return out
}
