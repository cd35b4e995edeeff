// Package schedule plays seeded schedules of troubles in simulated time, on a stand-in of the
// store that is called without a network.
package schedule

import (
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/standin/rows"
	"github.com/fulmarcross/fulmarcross/platform"
)

// Each plays seeded schedules as parallel subtests, each in simulated time of its own. The
// environment variable prefix_SCHEDULES overrides how many, and prefix_SEED sets the first seed.
// The stream keeps tests apart that draw from the same seeds.
func Each(t *testing.T, prefix string, schedules int, stream uint64, play func(t *testing.T, draw *rand.Rand)) {
	t.Helper()

	first := variable(t, prefix+"_SEED", 1)

	for seed := first; seed < first+variable(t, prefix+"_SCHEDULES", schedules); seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				play(t, rand.New(rand.NewPCG(uint64(seed), stream))) //nolint:gosec // Seeded.
			})
		})
	}
}

// variable returns the number in an environment variable, or otherwise if that is not set.
func variable(t *testing.T, name string, otherwise int) int {
	t.Helper()

	text := os.Getenv(name)
	if text == "" {
		return otherwise
	}

	n, err := strconv.Atoi(text)
	assert.NilError(t, err)

	return n
}

// Answer returns a store's recorded answer to a request.
func Answer(s *rows.Store, r *http.Request) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	platform.StoreHandler(&rows.Door{Store: s}).ServeHTTP(w, r)

	return w
}
