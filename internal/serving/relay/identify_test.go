package relay

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/customer/key"
	"github.com/fulmarcross/fulmarcross/internal/customer/team"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
)

// keyedProtocol is testProtocol for clients with keys.
type keyedProtocol struct{ testProtocol }

func (p keyedProtocol) Parse(h http.Header) (RequestInfo, error) {
	info, err := p.testProtocol.Parse(h)
	info.Credentials = h["Authorization"]
	info.TokensIn, _ = strconv.Atoi(h.Get("Tokens"))
	info.TokensGiven = h.Get("Tokens") != ""

	return info, err
}

func (p keyedProtocol) Outgoing(in http.Header, a Attempt) http.Header {
	out := p.testProtocol.Outgoing(in, a)
	if a.DropCredentials {
		out.Del("Authorization")
	}

	out.Set("Team", a.Team)
	out.Set("Priority", strconv.Itoa(a.Priority))

	return out
}

func newTeams(t *testing.T, all ...team.Team) team.Set {
	t.Helper()

	s, err := team.NewSet(all)
	assert.NilError(t, err)

	return s
}

func teamWithKey(name, text string) team.Team {
	return team.Team{Name: name, Keys: []key.Digest{key.DigestOf(text)}}
}

// newKeyedFixture returns a fixture whose route requires keys unless it is
// public.
func newKeyedFixture(t *testing.T, public bool) *fixture {
	t.Helper()

	f := newFixture(t, func(_ int, _ call, out io.Writer, _ net.Conn) { writeAnswer(out, "200 OK", "", "done") },
		route.Route{Kind: route.Idempotent, Timeout: 5 * time.Second, Priority: 4, Public: public})
	f.server.Protocol = keyedProtocol{}

	urgent := teamWithKey("b", "kb")
	urgent.HasPriority, urgent.Priority = true, 0
	f.config.Teams = newTeams(t, teamWithKey("a", "ka"), urgent)

	return f
}

func TestAuthentication(t *testing.T) {
	cases := map[string]struct {
		public        bool
		authorization string
		status        int
		team          string
	}{
		"a team's key":                 {false, "Bearer ka", 200, "a"},
		"another team's key":           {false, "bearer  kb", 200, "b"},
		"no key":                       {false, "", 401, ""},
		"unknown key":                  {false, "Bearer kc", 401, ""},
		"another scheme":               {false, "Basic ka", 401, ""},
		"no key on a public route":     {true, "", 200, ""},
		"unknown key on public route":  {true, "Bearer kc", 200, ""},
		"a team's key on public route": {true, "Bearer ka", 200, "a"},
	}

	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newKeyedFixture(t, tc.public)
				defer f.close()

				header := []string{"Team", "forged"}
				if tc.authorization != "" {
					header = append(header, "Authorization", tc.authorization)
				}

				rec, _ := f.do(t.Context(), "x", header...)
				assert.Equal(t, rec.Code, tc.status)

				if tc.status == http.StatusUnauthorized {
					assert.Equal(t, rec.Header().Get("WWW-Authenticate"), "Bearer")
					assert.Equal(t, f.attempts(), 0)

					return
				}

				got := f.received()[0].header
				assert.Equal(t, got.Get("Authorization"), "")
				assert.Equal(t, got.Get("Team"), tc.team)
			})
		})
	}
}

// TestTeamPriority checks that a team's priority takes precedence over its route's.
func TestTeamPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newKeyedFixture(t, false)
		defer f.close()

		_, _ = f.do(t.Context(), "x", "Authorization", "Bearer ka")
		_, _ = f.do(t.Context(), "x", "Authorization", "Bearer kb")
		assert.Equal(t, f.received()[0].header.Get("Priority"), "4")
		assert.Equal(t, f.received()[1].header.Get("Priority"), "0")
	})
}

// TestKeyOfNewerConfiguration checks that a client is not refused if its key is
// in a configuration that this entry has not received yet.
func TestKeyOfNewerConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newKeyedFixture(t, false)
		defer f.close()

		newer := *f.config
		newer.Teams = newTeams(t, teamWithKey("c", "kc"))
		refreshes := 0

		f.server.RefreshTable = func(context.Context) {
			refreshes++
			f.table = route.NewTable(&newer)
		}

		rec, _ := f.do(t.Context(), "x", "Authorization", "Bearer kc")
		assert.Equal(t, rec.Code, http.StatusOK)
		assert.Equal(t, f.received()[0].header.Get("Team"), "c")

		rec, _ = f.do(t.Context(), "x", "Authorization", "Bearer ka")
		assert.Equal(t, rec.Code, http.StatusUnauthorized)
		assert.Equal(t, refreshes, 2)

		// Malformed credentials match no configuration, so none is fetched.
		rec, _ = f.do(t.Context(), "x", "Authorization", "Basic ka")
		assert.Equal(t, rec.Code, http.StatusUnauthorized)
		assert.Equal(t, refreshes, 2)
	})
}

// fakeLimiter is a Limiter with one balance for all teams.
type fakeLimiter struct {
	balance float64
	unknown bool
}

func (l *fakeLimiter) Charge(_ context.Context, _ *team.Team, cost float64) ChargeResult {
	if l.unknown || l.balance < cost {
		return ChargeResult{Unknown: l.unknown, RetryAfter: 1500 * time.Millisecond}
	}

	l.balance -= cost

	return ChargeResult{Granted: true}
}

func (l *fakeLimiter) Refund(_ *team.Team, cost float64) { l.balance += cost }

// newLimitedFixture returns a fixture whose team has a limit, with the given
// balance.
func newLimitedFixture(t *testing.T, act targetScript, balance float64) (*fixture, *fakeLimiter) {
	t.Helper()

	f := newKeyedFixture(t, false)
	f.act = act

	a := teamWithKey("a", "ka")
	a.Limit = team.Limit{PerSecond: 100, Burst: 100, Unit: team.Tokens, DefaultCost: 30}
	f.config.Teams = newTeams(t, a)

	l := &fakeLimiter{balance: balance}
	f.server.Limits = l

	return f, l
}

func TestCharge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, l := newLimitedFixture(t, func(_ int, _ call, out io.Writer, _ net.Conn) { writeAnswer(out, "200 OK", "", "done") }, 100)
		defer f.close()

		rec, _ := f.do(t.Context(), "x", "Authorization", "Bearer ka", "Tokens", "60")
		assert.Equal(t, rec.Code, http.StatusOK)
		assert.Equal(t, l.balance, 40.0)

		rec, _ = f.do(t.Context(), "x", "Authorization", "Bearer ka")
		assert.Equal(t, rec.Code, http.StatusOK)
		assert.Equal(t, l.balance, 10.0, "a request without token counts is charged the operators' default")

		rec, _ = f.do(t.Context(), "x", "Authorization", "Bearer ka")
		assert.Equal(t, rec.Code, http.StatusTooManyRequests)
		assert.Equal(t, rec.Header().Get("Retry-After"), "1.500")
		assert.Equal(t, f.attempts(), 2)

		l.unknown = true
		rec, _ = f.do(t.Context(), "x", "Authorization", "Bearer ka")
		assert.Equal(t, rec.Code, http.StatusServiceUnavailable)
		assert.Equal(t, f.attempts(), 2)
	})
}

// TestRefund checks that the charge for a request is refunded if it provably
// did not run, and only then.
func TestRefund(t *testing.T) {
	for name, tc := range map[string]struct {
		act     targetScript
		balance float64
	}{
		"not run":      {func(_ int, _ call, out io.Writer, _ net.Conn) { writeAnswer(out, "503 Full", "Not-Run: 1\r\n", "") }, 100},
		"run":          {func(_ int, _ call, out io.Writer, _ net.Conn) { writeAnswer(out, "500 No", "", "") }, 70},
		"may have run": {func(_ int, _ call, _ io.Writer, conn net.Conn) { conn.Close() }, 70},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, l := newLimitedFixture(t, tc.act, 100)
				defer f.close()

				_, _ = f.do(t.Context(), "x", "Authorization", "Bearer ka")
				assert.Equal(t, l.balance, tc.balance)
			})
		})
	}
}

// TestNoKeysInLog checks that the log contains no keys.
func TestNoKeysInLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log bytes.Buffer

		f, l := newLimitedFixture(t, func(n int, _ call, out io.Writer, conn net.Conn) {
			if n%2 == 0 {
				conn.Close()
			}

			writeAnswer(out, "200 OK", "", "done")
		}, 70)
		defer f.close()

		f.server.Log = zerolog.New(&log)

		for _, text := range []string{"Bearer ka", "Bearer unknown-secret", "Basic ka", "Bearer ka", "Bearer ka", "Bearer ka", ""} {
			_, _ = f.do(t.Context(), "x", "Authorization", text)
		}

		assert.Assert(t, l.balance < 30)
		assert.Assert(t, strings.Contains(log.String(), `"team":"a"`))
		assert.Assert(t, !strings.Contains(log.String(), "ka") && !strings.Contains(log.String(), "unknown-secret"), log.String())
	})
}

// TestCrashingRequestOfOneCaller guards against a request that crashes targets and is not blocked because another caller's with the same content is answered.
func TestCrashingRequestOfOneCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newKeyedFixture(t, false)
		f.config.Teams = newTeams(t, teamWithKey("a", "ka"), teamWithKey("b", "kb"))
		answered, crashed, harmless := 0, 0, false
		f.act = func(_ int, c call, out io.Writer, conn net.Conn) {
			f.mu.Lock()
			defer f.mu.Unlock()

			if harmless {
				answered++

				writeAnswer(out, "200 OK", "", "done")

				return
			}

			crashed++
			f.down[c.target] = true

			conn.Close()
		}

		for i := range 4 {
			harmless = true
			rec, _ := f.do(t.Context(), "same", "Authorization", "Bearer kb")
			assert.Equal(t, rec.Code, http.StatusOK)

			harmless = false
			rec, _ = f.do(t.Context(), "same", "Authorization", "Bearer ka")
			assert.Assert(t, rec.Code >= 500)

			// The targets restart as new processes.
			synctest.Wait()
			f.restart()
			f.listTargets(uint64(2 + i))
			time.Sleep(time.Second)
		}

		assert.Equal(t, answered, 4)
		assert.Equal(t, crashed, 2)
		f.close()
	})
}
