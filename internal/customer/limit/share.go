package limit

import (
	"math"
	"sync"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/customer/plan"
)

// Share is one entry's part of one plan's limits. The zero value holds only
// the static share. It is safe for concurrent use; only requests of the same
// plan share it.
type Share struct {
	mu      sync.Mutex
	grant   Grant
	until   time.Time
	running int
	// level is how many requests may start at once; it refills at the rate.
	level  float64
	filled time.Time
	// tokens is the balance of generated tokens; it may go below zero,
	// because an answer's length is known only at its end.
	tokens float64
	// wanted and spent are how many requests and tokens came lately. They
	// fade, so that divided by the time constant they are rates.
	wanted, spent float64
	// peak is the most requests that ran or wanted to run at once; it fades.
	peak  float64
	faded time.Time
	// short says that the home granted less than was asked for, at shortAt.
	short   bool
	shortAt time.Time
}

// burst is how many seconds of a rate may be used at once.
const burst = 1.0

// Verdict says whether a request may start.
type Verdict int

// The verdicts.
const (
	// Allowed means that the request was counted and may start.
	Allowed Verdict = iota
	// AskHome means that the home may grant more now.
	AskHome
	// Exhausted means that the plan's limit is used up.
	Exhausted
)

// Admit counts a request that wants to start at now. n is how many entries
// there are. Unless it is allowed, retryAfter says when to try again.
func (s *Share) Admit(p plan.Plan, n int, now time.Time) (v Verdict, retryAfter time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()

	have := s.have(p, n, now)
	s.refill(p, have, now)
	s.fade(now)

	s.wanted++
	s.peak = max(s.peak, float64(s.running+1))

	refused := AskHome
	if s.short && now.Sub(s.shortAt) < askAgain {
		refused = Exhausted
	}

	switch {
	case p.Concurrency > 0 && s.running >= have.Concurrency:
		return refused, GrantFor
	case p.RequestsPerSecond > 0 && s.level < 1:
		return refused, untilFull(1-s.level, have.Rate)
	case p.TokensPerMinute > 0 && s.tokens < 0:
		return refused, untilFull(-s.tokens, have.Tokens)
	}

	s.level--
	s.running++

	return Allowed, 0
}

// fadeOver is the time constant of what fades.
const fadeOver = 2 * time.Second

func (s *Share) fade(now time.Time) {
	left := math.Exp(-float64(now.Sub(s.faded)) / float64(fadeOver))
	s.faded = now
	s.wanted *= left
	s.spent *= left
	s.peak = max(s.peak*left, float64(s.running))
}

func (s *Share) have(p plan.Plan, n int, now time.Time) Amount {
	if now.Before(s.until) {
		return s.grant.Amount
	}

	return Static(p, n)
}

func (s *Share) refill(p plan.Plan, have Amount, now time.Time) {
	if s.filled.IsZero() {
		s.filled = now
		s.level = math.Max(1, have.Rate*burst)
		s.tokens = have.Tokens * burst
	}

	passed := now.Sub(s.filled).Seconds()
	s.filled = now
	s.level = min(s.level+passed*have.Rate, math.Max(1, have.Rate*burst))
	s.tokens = min(s.tokens+passed*have.Tokens, float64(p.TokensPerMinute))
}

func untilFull(missing, rate float64) time.Duration {
	if rate <= 0 {
		return GrantFor
	}

	return time.Duration(missing / rate * float64(time.Second))
}

// Done takes off a request that ended after it generated tokens.
func (s *Share) Done(tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.running--
	s.tokens -= float64(tokens)
	s.spent += float64(tokens)
}

// Ask returns what to ask the home for: what was used lately and some more,
// so that growing use need not wait for each grant. ok is false when the share
// is idle.
func (s *Share) Ask(p plan.Plan, now time.Time) (a Ask, ok bool) {
	const (
		headroom = 1.5
		spare    = 2
		idle     = 0.05
	)

	s.mu.Lock()
	defer s.mu.Unlock()

	s.fade(now)

	if s.running == 0 && s.wanted < idle {
		return Ask{}, false
	}

	all := Of(p)
	perSecond := headroom / fadeOver.Seconds()

	return Ask{
		Plan:    p.Name,
		Running: s.running,
		Want: Amount{
			Rate:        min(all.Rate, s.wanted*perSecond+spare),
			Concurrency: min(p.Concurrency, int(headroom*s.peak)+spare),
			Tokens:      min(all.Tokens, s.spent*perSecond+all.Tokens/float64(max(spare, p.Concurrency))),
		},
	}, true
}

// Take replaces the grant with the answer to a, which was asked for at asked.
func (s *Share) Take(g Grant, a Ask, asked time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if g.For == 0 {
		return
	}

	s.grant = g
	s.until = asked.Add(g.For)
	s.short = g.Concurrency < a.Want.Concurrency || g.Rate < a.Want.Rate || g.Tokens < a.Want.Tokens
	s.shortAt = asked
}

// Running returns how many of the plan's requests run on this entry.
func (s *Share) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.running
}
