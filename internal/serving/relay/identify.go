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

// Limiter charges requests to their teams' limits.
type Limiter interface {
	// Charge charges a request to the team's limit, or refuses it.
	Charge(ctx context.Context, t *team.Team, cost float64) ChargeResult
	// Refund credits the charge for a request that did not run back to the
	// team's limit.
	Refund(t *team.Team, cost float64)
}

// ChargeResult is a limiter's decision on a request.
type ChargeResult struct {
	Granted bool
	// Unknown is set if no owner of the limit could state what is left of it.
	Unknown bool
	// Coverage is the fraction of the limit whose owners took part in the decision,
	// from 0 to 1.
	Coverage float64
	// RetryAfter is how long it takes until the limit allows the request.
	RetryAfter time.Duration
}

// UnknownKeyError reports that no team has the client's key. It never contains
// the key.
type UnknownKeyError struct{}

func (e *UnknownKeyError) Error() string { return "no team has the client's key" }

// identify returns the team that has the client's key. Without such a team it
// returns nil if no teams are configured or the route is public, and otherwise
// fails with a *key.MissingError or an *UnknownKeyError.
func identify(c *route.Config, rt *route.Route, credentials []string) (*team.Team, error) {
	if c.Teams.Len() == 0 {
		return nil, nil //nolint:nilnil // Without teams, routes are open to all.
	}

	k, err := key.FromHeader(credentials)
	if err == nil {
		if t := c.Teams.ByKey(k); t != nil {
			return t, nil
		}

		err = &UnknownKeyError{}
	}

	if rt.Public {
		return nil, nil //nolint:nilnil // A public route needs no team.
	}

	return nil, err
}

// matchedRoute is the route and the team of a request, with the table that they
// come from.
type matchedRoute struct {
	table *route.Table
	route *route.Route
	team  *team.Team
}

// UnknownTableError reports that a request has no route or no team here, and that the
// configuration in force here may be older than the operators'.
type UnknownTableError struct{}

func (e *UnknownTableError) Error() string {
	return "no route or key here, and the configuration may be old"
}

// matchRoute finds the route and the team of a request. If the key is unknown, or the
// route while the table may be old, it calls RefreshTable and looks them up once more.
// Entries that receive a change later than others would otherwise refuse clients
// with new keys, or for new routes. If the table may then still be old, it fails with an
// *UnknownTableError.
func (s *Server) matchRoute(r *http.Request, table *route.Table, info RequestInfo) (matchedRoute, error) {
	m, err := matchIn(r, table, info)

	if s.RefreshTable == nil || !denied(m, err) || m.route == nil && s.tableKnown() {
		return m, err
	}

	s.RefreshTable(r.Context())

	if newer := s.Table(); newer != table {
		m, err = matchIn(r, newer, info)
	}

	if denied(m, err) && !s.tableKnown() {
		return m, &UnknownTableError{}
	}

	return m, err
}

// denied reports whether a request has no route, or a key that no team has.
func denied(m matchedRoute, err error) bool {
	var unknown *UnknownKeyError

	return m.route == nil || errors.As(err, &unknown)
}

func (s *Server) tableKnown() bool { return s.TableKnown == nil || s.TableKnown() }

func matchIn(r *http.Request, table *route.Table, info RequestInfo) (matchedRoute, error) {
	m := matchedRoute{table: table, route: table.Match(r.Host, r.URL.EscapedPath())}
	if m.route == nil {
		return m, nil
	}

	var err error

	m.team, err = identify(table.Config, m.route, info.Credentials)

	return m, err
}

// challenge is the authentication scheme that a client without a valid key is
// asked to use.
const challenge = "Bearer"

// limitUnknownRetryAfter is the Retry-After if a request is refused because no
// owner could state what is left of the team's limit.
const limitUnknownRetryAfter = 400 * time.Millisecond

// charge charges the request to its team's limit. If the limit refuses it,
// charge writes the refusal and returns false.
func (d *delivery) charge() bool {
	if d.charged || d.Limits == nil || d.team == nil || !d.team.Limit.Bounded() {
		return true
	}

	cost := d.team.Limit.Cost(d.info.TokensIn+d.info.TokensOut, d.info.TokensGiven)
	began := time.Now()
	result := d.Limits.Charge(d.r.Context(), d.team, cost)
	took := time.Since(began)

	if result.Granted {
		d.cost, d.charged = cost, true

		return true
	}

	status, retryAfter, why := http.StatusTooManyRequests, result.RetryAfter, "the team's limit is used up"
	if result.Unknown {
		status, retryAfter, why = http.StatusServiceUnavailable, limitUnknownRetryAfter, "no owner could state what is left of the team's limit"
	}

	d.Log.Info().Str("id", d.info.ID).Str("team", d.team.Name).Float64("cost", cost).
		Float64("perSecond", d.team.Limit.PerSecond).Float64("burst", d.team.Limit.Burst).Float64("part", result.Coverage).Dur("asked", took).
		Int("status", status).Dur("retryAfter", retryAfter).Str("why", why).Msg("request refused")
	d.count(kindNames[d.route.Kind], status)
	writeRefusal(d.w, status, retryAfter)

	return false
}

// refund credits the charge back to the team's limit if the request provably did
// not run.
func (d *delivery) refund() {
	if d.cost > 0 && d.attemptLog.Run() == request.NotRun {
		d.Limits.Refund(d.team, d.cost)
	}
}

// priority returns the request's priority: that of its team, if the team has one,
// or else that of its route.
func (d *delivery) priority() int {
	if d.team != nil && d.team.HasPriority {
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

// customer returns the name under which the request is queued; queues divide
// capacity fairly between these names. It is the team's name, or the route's if
// there is no team.
func (d *delivery) customer() string {
	if d.team != nil {
		return d.team.Name
	}

	return d.route.Name
}
