package node_test

import (
	"cmp"
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/standin/network"
	"github.com/fulmarcross/fulmarcross/internal/standin/site"
)

// settled is the time after which entries that have started know each other.
const settled = 3 * time.Second

// simulate calls f with a ready site of four entries, in simulated time and on a network
// in memory.
func simulate(t *testing.T, f func(t *testing.T, s *site.Site)) {
	t.Helper()
	simulateEntries(t, 4, f)
}

// simulateEntries does the same with a number of entries.
func simulateEntries(t *testing.T, entries int, f func(t *testing.T, s *site.Site)) {
	t.Helper()
	simulateSite(t, site.Options{Entries: entries}, f)
}

// simulateSite does the same with other options.
func simulateSite(t *testing.T, opt site.Options, f func(t *testing.T, s *site.Site)) {
	t.Helper()
	oneProcessor(t)
	synctest.Test(t, func(t *testing.T) { playSite(t, opt, f) })
}

// playSite calls f with a ready site in the test's simulated time.
func playSite(t *testing.T, opt site.Options, f func(t *testing.T, s *site.Site)) {
	t.Helper()

	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()

	opt.Log = io.Discard
	opt.Network = cmp.Or(opt.Network, &network.Network{})

	defer opt.Network.Close()

	s, err := site.Start(ctx, opt)
	assert.NilError(t, err)

	defer s.Close()

	assert.NilError(t, s.WaitReady(ctx))
	time.Sleep(settled)
	f(t, s)
}
