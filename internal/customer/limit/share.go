package limit

import (
	"math"
	"sync"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/customer/plan"
)

// Share is one entry's part of one plan's limits. The zero value has only the
// static share. It is safe for concurrent use; only requests of the same plan
// contend for it.
type Share struct {
	mu      sync.Mutex
	grant   Grant
	until   time.Time
	running int
	// level is how many requests may start at once; it refills at the rate.
	level      float64
	refilledAt time.Time
	// tokens is the balance of generated tokens. It may go below zero, because an
	// answer's length is known only when it ends.
	tokens float64
	// recentRequests and recentTokens count requests and generated tokens with
	// exponential decay; divided by the time constant they are rates.
	recentRequests, recentTokens float64
	// peak is the largest number of requests that ran or were about to start at the
	// same time; it decays.
	peak      float64
	decayedAt time.Time
	// shortfall says that the last grant, requested at shortAt, was less than
	// requested.
	shortfall bool
	shortAt   time.Time
}

// burst is how many seconds' worth of requests may start at once; at least one
// request may. The token balance starts with as many seconds' worth and grows to
// at most the plan's tokens per minute.
const burst = 1.0

// Verdict says whether a request may start.
type Verdict int

// The verdicts.
const (
	// Allowed means that the request was counted and may start.
	Allowed Verdict = iota
	// AskOwner means that the limit owner may grant more now.
	AskOwner
	// Exhausted means that the plan's limit is used up.
	Exhausted
)

// Admit counts a request that is to start at now. n is the number of entries.
// Unless the request is allowed, retryAfter is how long to wait before a retry.
func (s *Share) Admit(p plan.Plan, n int, now time.Time) (v Verdict, retryAfter time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()

	amount := s.amount(p, n, now)
	s.refill(p, amount, now)
	s.decay(now)

	s.recentRequests++
	s.peak = max(s.peak, float64(s.running+1))

	refused := AskOwner
	if s.shortfall && now.Sub(s.shortAt) < grantRetryInterval {
		refused = Exhausted
	}

	switch {
	case p.Concurrency > 0 && s.running >= amount.Concurrency:
		return refused, GrantTTL
	case p.RequestsPerSecond > 0 && s.level < 1:
		return refused, refillTime(1-s.level, amount.Rate)
	case p.TokensPerMinute > 0 && s.tokens < 0:
		return refused, refillTime(-s.tokens, amount.Tokens)
	}

	s.level--
	s.running++

	return Allowed, 0
}

// decayTime is the time constant of the exponential decay.
const decayTime = 2 * time.Second

func (s *Share) decay(now time.Time) {
	left := math.Exp(-float64(now.Sub(s.decayedAt)) / float64(decayTime))
	s.decayedAt = now
	s.recentRequests *= left
	s.recentTokens *= left
	s.peak = max(s.peak*left, float64(s.running))
}

func (s *Share) amount(p plan.Plan, n int, now time.Time) Amount {
	if now.Before(s.until) {
		return s.grant.Amount
	}

	return Static(p, n)
}

func (s *Share) refill(p plan.Plan, amount Amount, now time.Time) {
	if s.refilledAt.IsZero() {
		s.refilledAt = now
		s.level = math.Max(1, amount.Rate*burst)
		s.tokens = amount.Tokens * burst
	}

	passed := now.Sub(s.refilledAt).Seconds()
	s.refilledAt = now
	s.level = min(s.level+passed*amount.Rate, math.Max(1, amount.Rate*burst))
	s.tokens = min(s.tokens+passed*amount.Tokens, float64(p.TokensPerMinute))
}

// refillTime returns how long it takes to refill the missing amount at the rate. At
// a rate of zero it returns GrantTTL: by then the current grant has expired.
func refillTime(missing, rate float64) time.Duration {
	if rate <= 0 {
		return GrantTTL
	}

	return time.Duration(missing / rate * float64(time.Second))
}

// Done counts the end of a request that generated the given number of tokens.
func (s *Share) Done(tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.running--
	s.tokens -= float64(tokens)
	s.recentTokens += float64(tokens)
}

// NextRequest returns what to request from the limit owner: the recent use and some
// headroom, so that growing use need not wait for each grant. ok is false when
// the share is idle.
func (s *Share) NextRequest(p plan.Plan, now time.Time) (r Request, ok bool) {
	const (
		headroom = 1.5
		spare    = 2
		idle     = 0.05
	)

	s.mu.Lock()
	defer s.mu.Unlock()

	s.decay(now)

	if s.running == 0 && s.recentRequests < idle {
		return Request{}, false
	}

	all := Whole(p)
	perSecond := headroom / decayTime.Seconds()

	return Request{
		Plan:    p.Name,
		Running: s.running,
		Demand: Amount{
			Rate:        min(all.Rate, s.recentRequests*perSecond+spare),
			Concurrency: min(p.Concurrency, int(headroom*s.peak)+spare),
			Tokens:      min(all.Tokens, s.recentTokens*perSecond+all.Tokens/float64(max(spare, p.Concurrency))),
		},
	}, true
}

// Apply replaces the grant with the answer to r, which was sent at requestedAt. An
// answer without a grant changes nothing.
func (s *Share) Apply(g Grant, r Request, requestedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if g.TTL == 0 {
		return
	}

	s.grant = g
	s.until = requestedAt.Add(g.TTL)
	s.shortfall = g.Concurrency < r.Demand.Concurrency || g.Rate < r.Demand.Rate || g.Tokens < r.Demand.Tokens
	s.shortAt = requestedAt
}

// Running returns how many of the plan's requests run on this entry.
func (s *Share) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.running
}
