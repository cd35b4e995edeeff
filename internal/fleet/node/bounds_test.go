package node

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/placement/holder"
)

const (
	// drainBound is the users' bound from the store's acknowledgement that a target leaves to the
	// last request that reaches it.
	drainBound = 2 * time.Second
	// configBound is theirs from the acknowledgement of a configuration until it is in force
	// everywhere, see config_apply_ms of their sites.
	configBound = 2 * time.Second
	// storeAnswer, message and rebuild are allowed for an answer of the store (4 ms on the
	// users' sites), a call between two entries, and a rebuild of the routing with the way to
	// the target.
	storeAnswer = 50 * time.Millisecond
	message     = 30 * time.Millisecond
	rebuild     = 50 * time.Millisecond
	// announced is the way of a holder's announcement, and withoutHolder the time after the last
	// good read of a holder until another entry reads, at any number of entries up to mostEntries.
	announced     = holder.MaxAnnounceDelay + message
	withoutHolder = maxHolderStoreAge + aloneSpread + pollTick
	// mostEntries is the largest number of entries for which the sums hold.
	mostEntries = 300
	// worstShare is the share of a bound that the way takes at most on which the holder is gone and
	// the peers are silent.
	worstShare = 0.8
)

// most returns the longest duration that jitter makes of d.
func most(d time.Duration) time.Duration { return d + d/10 }

// TestLeavingIsHeardInTime guards against a constant on the way from the store to a target that makes the sum of all pass the bound, with one thing failing on the way.
func TestLeavingIsHeardInTime(t *testing.T) {
	var (
		holderReads = most(targetsIntervalHolding) + pollTick
		readsAlone  = most(max(targetsInterval, manyInterval(mostEntries))) + pollTick
		fetched     = 2 * message
	)

	for name, steps := range map[string][]time.Duration{
		"holder":                                          {holderReads, storeAnswer, rebuild},
		"led":                                             {holderReads, storeAnswer, announced, fetched, rebuild},
		"led, announcement lost":                          {withoutHolder, storeAnswer, rebuild},
		"led, list not fetched from holder":               {holderReads, storeAnswer, announced, holderTimeout, most(targetsReadDelay), storeAnswer, rebuild},
		"alone":                                           {readsAlone, storeAnswer, rebuild},
		"holder, read hangs":                              {holderReads, hedgeDelay, storeAnswer, rebuild},
		"led, read of the holder hangs":                   {holderReads, hedgeDelay, storeAnswer, announced, fetched, rebuild},
		"alone, read hangs":                               {readsAlone, hedgeDelay, storeAnswer, rebuild},
		"holder, read refused":                            {holderReads, storeAnswer, most(minBackoff), storeAnswer, rebuild},
		"alone, read refused":                             {readsAlone, storeAnswer, readsAlone, storeAnswer, rebuild},
		"led, store refuses the holder":                   {holderReads, storeAnswer, announced, pollTick, storeAnswer, rebuild},
		"led, store silent to the holder":                 {withoutHolder, storeAnswer, rebuild},
		"holder, store silent to it":                      {withoutHolder, storeAnswer, most(peerPollIntervalMany), fetched, rebuild},
		"led, holder killed":                              {withoutHolder, storeAnswer, rebuild},
		"led, history gone or the era rises":              {holderReads, storeAnswer, most(rereadDelay), storeAnswer, announced, fetched, rebuild},
		"alone, history gone or the era rises":            {readsAlone, storeAnswer, most(rereadDelay), storeAnswer, rebuild},
		"led, read of the holder hangs and the era rises": {holderReads, hedgeDelay, storeAnswer, most(rereadDelay), storeAnswer, announced, fetched, rebuild},
	} {
		t.Run(name, func(t *testing.T) { assertSumBelow(t, drainBound, steps) })
	}
}

// assertSumBelow adds up the steps of a way.
func assertSumBelow(t *testing.T, bound time.Duration, steps []time.Duration) {
	t.Helper()

	sum := time.Duration(0)
	for _, step := range steps {
		sum += step
	}

	t.Log(sum)
	assert.Assert(t, sum < bound, "%v", sum)
}

// TestHolderGoneAndPeersSilent guards against a way on which a change waits for entries that are gone: the holder dies as it has read the store, or has just announced a change, and no peer answers.
func TestHolderGoneAndPeersSilent(t *testing.T) {
	const worst = time.Duration(worstShare * float64(configBound))

	nextRead := most(minBackoff) / 10

	for _, entries := range []int{4, 10, 28, 87, 300} {
		first := withoutHolder
		if entries > fullRateEntries {
			first = maxHolderStoreAge + manySpread(entries) + pollTick
		}

		for name, steps := range map[string][]time.Duration{
			"list":                     {first, storeAnswer, rebuild},
			"list, announced":          {most(targetsIntervalHolding) + pollTick, storeAnswer, announced, holderTimeout, most(targetsReadDelay), storeAnswer, rebuild},
			"configuration":            {first, storeAnswer, rebuild},
			"configuration, announced": {nextRead, storeAnswer, announced, storeReadDelay, storeAnswer, rebuild},
			"list, later":              {most(max(targetsInterval, manyInterval(entries))) + pollTick, storeAnswer, rebuild},
			"configuration, later":     {most(max(configWait, manyInterval(entries))) + pollTick, storeAnswer, rebuild},
		} {
			t.Run(fmt.Sprintf("%d entries, %s", entries, name), func(t *testing.T) { assertSumBelow(t, worst+1, steps) })
		}
	}
}

// TestConfigurationIsHeardInTime guards against a constant on a configuration's way that makes the sum of all pass the bound, by which withdrawn keys go too, with one thing failing on the way.
func TestConfigurationIsHeardInTime(t *testing.T) {
	var (
		nextRead = most(minBackoff) / 10
		fetched  = most(configFetchInterval) + 2*message
		fromPeer = most(peerPollIntervalMany) + 2*message
	)

	for name, steps := range map[string][]time.Duration{
		"holder or alone":                      {nextRead, storeAnswer, rebuild},
		"led":                                  {nextRead, storeAnswer, announced, fetched, rebuild},
		"led, announcement lost":               {withoutHolder, storeAnswer, rebuild},
		"led, holder killed or store silent":   {withoutHolder, storeAnswer, rebuild},
		"holder, store silent to it":           {withoutHolder, storeAnswer, fromPeer, rebuild},
		"led, holder does not send it":         {nextRead, storeAnswer, announced, partTimeout, fetched, rebuild},
		"led, nobody sends it":                 {nextRead, storeAnswer, announced, storeReadDelay, most(configFetchInterval), storeAnswer, rebuild},
		"led, store refuses the holder":        {nextRead, storeAnswer, announced, pollTick, storeAnswer, rebuild},
		"alone, store silent to it":            {configWait, slowRead, fromPeer, rebuild},
		"alone, read refused":                  {nextRead, storeAnswer, most(minBackoff), storeAnswer, rebuild},
		"alone, history gone or the era rises": {nextRead, storeAnswer, most(rereadDelay), storeAnswer, rebuild},
		"led, history gone or the era rises":   {nextRead, storeAnswer, most(rereadDelay), storeAnswer, announced, fetched, rebuild},
	} {
		t.Run(name, func(t *testing.T) { assertSumBelow(t, configBound, steps) })
	}
}

// TestSlowConfigurationReadIsNoticedBeforeOthersHaveRead guards against a holder to which the store is silent and that asks the others for their list too late.
func TestSlowConfigurationReadIsNoticedBeforeOthersHaveRead(t *testing.T) {
	assert.Assert(t, configWaitHolding+slowRead <= withoutHolder)
}
