// Package play plays whole entries in tests, in simulated time and on a network in memory.
package play

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

const (
	// Settled is the time after which entries that have started know each other.
	Settled = 3 * time.Second
	// Contact is the time after which the users judge entries.
	Contact = 3 * time.Second
)

// Site calls f with a ready site, in simulated time.
func Site(t *testing.T, opt site.Options, f func(t *testing.T, s *site.Site)) {
	t.Helper()
	OneProcessor(t)
	synctest.Test(t, func(t *testing.T) { ReadySite(t, opt, f) }) //nolint:thelper // The test of the simulated time.
}

// ReadySite calls f with a ready site in the test's simulated time.
func ReadySite(t *testing.T, opt site.Options, f func(t *testing.T, s *site.Site)) {
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
	time.Sleep(Settled)
	f(t, s)
}

// Delayed returns a network whose messages take a millisecond.
func Delayed() *network.Network {
	return &network.Network{Delay: func() time.Duration { return time.Millisecond }}
}

// HoldingSame makes all engines hold the same two models.
func HoldingSame(int) site.EngineOptions {
	return site.EngineOptions{Software: "v1", Holding: []string{site.Model(0), site.Model(1)}}
}
