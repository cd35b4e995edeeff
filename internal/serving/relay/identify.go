package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/customer/key"
	"github.com/fulmarcross/fulmarcross/internal/customer/team"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
)

// Limiter counts teams' requests against their limits.
type Limiter interface {
	// Charge counts a request of the team, or refuses it.
	Charge(ctx context.Context, t *team.Team, cost float64) Charge
	// Refund gives back what was counted for a request that did not run.
	Refund(t *team.Team, cost float64)
}

// Charge is a limiter's answer.
type Charge struct {
	Granted bool
	// Unknown says that nobody could be asked who knows what is left.
	Unknown bool
	// Part is how much of the limit was decided on, from 0 to 1.
	Part float64
	// RetryAfter is when the limit has room again.
	RetryAfter time.Duration
}

// UnknownKeyError says that no team has a caller's key. It never holds the
// key.
type UnknownKeyError struct{}

func (e *UnknownKeyError) Error() string { return "no team has the caller's key" }

// identify returns the team of the caller, or nil where a route is open to all.
// It fails with a *key.MissingError or an *UnidentifiedError.
func identify(c *route.Config, rt *route.Route, credentials []string) (*team.Team, error) {
	if c.Teams.Len() == 0 {
		return nil, nil //nolint:nilnil // Without teams nobody has one.
	}

	k, err := key.FromHeader(credentials)
	if err == nil {
		if t := c.Teams.ByKey(k); t != nil {
			return t, nil
		}

		err = &UnknownKeyError{}
	}

	if rt.Public {
		return nil, nil //nolint:nilnil // As above.
	}

	return nil, err
}

// matchedRoute is what a request is handled under.
type matchedRoute struct {
	table *route.Table
	route *route.Route
	team  *team.Team
}

// matchRoute finds the route and the team of a request. Where the key is unknown it
// makes sure first that no newer configuration knows it.
//
// It guards against refusing callers with new keys on entries that learn of
// changes a moment later than others.
func (s *Server) matchRoute(r *http.Request, table *route.Table, ask Ask) (matchedRoute, error) {
	p, err := matchIn(r, table, ask)

	var unknown *UnknownKeyError
	if s.Confirm == nil || !errors.As(err, &unknown) {
		return p, err
	}

	s.Confirm(r.Context())

	if newer := s.Table(); newer != table {
		return matchIn(r, newer, ask)
	}

	return p, err
}

func matchIn(r *http.Request, table *route.Table, ask Ask) (matchedRoute, error) {
	p := matchedRoute{table: table, route: table.Match(r.Host, r.URL.EscapedPath())}
	if p.route == nil {
		return p, nil
	}

	var err error

	p.team, err = identify(table.Config, p.route, ask.Credentials)

	return p, err
}

// challenge tells a caller without a key that opens the route how to bring one.
const challenge = "Bearer"

// limitUnknownRetryAfter is when a caller is told to come back whose team's limit
// nobody could be asked about.
const limitUnknownRetryAfter = 400 * time.Millisecond

// charge counts the request against its team's limit. It answers the request
// itself and reports false when it is refused.
func (d *delivery) charge() bool {
	if d.Limits == nil || d.team == nil || !d.team.Limit.Bounded() {
		return true
	}

	cost := d.team.Limit.Cost(d.info.TokensIn+d.info.TokensOut, d.info.TokensNamed)
	began := time.Now()
	got := d.Limits.Charge(d.r.Context(), d.team, cost)
	took := time.Since(began)

	if got.Granted {
		d.cost = cost

		return true
	}

	status, retry, why := http.StatusTooManyRequests, got.RetryAfter, "the team's limit is used up"
	if got.Unknown {
		status, retry, why = http.StatusServiceUnavailable, limitUnknownRetryAfter, "nobody answers who knows the team's limit"
	}

	d.Log.Info().Str("id", d.info.ID).Str("team", d.team.Name).Float64("cost", cost).
		Float64("perSecond", d.team.Limit.PerSecond).Float64("burst", d.team.Limit.Burst).Float64("part", got.Part).Dur("asked", took).
		Int("status", status).Dur("retryAfter", retry).Str("why", why).Msg("request refused")
	d.count(kindNames[d.route.Kind], status)
	writeRefusal(d.w, status, retry)

	return false
}

// refund gives back what was counted, if the request has provably not run.
func (d *delivery) refund() {
	if d.cost > 0 && d.trail.Verdict() == request.NotRun {
		d.Limits.Refund(d.team, d.cost)
	}
}

// priority returns the rank of the request: its team's, or its route's.
func (d *delivery) priority() int {
	if d.team != nil && d.team.Ranked {
		return d.team.Priority
	}

	return d.route.Priority
}

func (d *delivery) teamName() string {
	if d.team == nil {
		return ""
	}

	return d.team.Name
}

// customer returns between whom lines are fair: teams, or routes without them.
func (d *delivery) customer() string {
	if d.team != nil {
		return d.team.Name
	}

	return d.route.Name
}
