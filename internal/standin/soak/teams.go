package soak

import (
	"strings"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/customer/team"
	"github.com/fulmarcross/fulmarcross/internal/standin/worker"
)

// The teams of a soak's clients: one without a limit, one that sends more than its
// limit, and clients with an unknown key.
const (
	free   = "free"
	tight  = "tight"
	forged = "forged"
)

const (
	// tightRate is below the rate at which the team sends requests.
	tightRate  = 6.0
	tightBurst = 6.0
	// limitWindow is the window in which runs are counted, and limitLate how long after
	// its admission a request may run: the timeout of the plain routes.
	limitWindow = 4 * time.Second
	limitLate   = time.Second
)

var keys = map[string][]string{free: {"key-of-free"}, tight: {"key-of-tight"}}

func teams() []team.Team {
	return []team.Team{{Name: free}, {Name: tight, Limit: team.Limit{PerSecond: tightRate, Burst: tightBurst}}}
}

// credentials returns the credentials of a team's clients.
func credentials(name string) []string { return []string{"Bearer key-of-" + name} }

// callerTeam returns the team of a client's nth request.
func callerTeam(caller, n int) string {
	const forgedEvery = 8

	switch {
	case n%forgedEvery == forgedEvery-1:
		return forged
	case caller%callersEach == 0:
		return tight
	default:
		return free
	}
}

// checkTeams checks the teams under which requests ran.
func (b *book) checkTeams(runs []worker.Run) {
	var limited []time.Time

	for _, r := range runs {
		want, _, found := strings.Cut(strings.TrimPrefix(r.ID, "soak-"), "-")
		if found && strings.HasPrefix(r.ID, "soak-") && r.Team != want {
			b.brokenf("%s ran for team %q", r.ID, r.Team)
		}

		if r.Keyed {
			b.brokenf("%s brought its key to a target", r.ID)
		}

		if r.Team == tight {
			limited = append(limited, r.At)
		}
	}

	b.checkLimit(limited)
}

// checkLimit checks that no more requests ran in a window than the limit allows.
func (b *book) checkLimit(runs []time.Time) {
	most := int(tightRate*(limitWindow+limitLate).Seconds() + tightBurst)
	first := 0

	for i, at := range runs {
		for at.Sub(runs[first]) > limitWindow {
			first++
		}

		if n := i - first + 1; n > most {
			b.brokenf("%d requests of team %s ran in %v, %d may", n, tight, limitWindow, most)

			return
		}
	}
}
