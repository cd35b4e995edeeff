package site

import (
	"math/rand/v2"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/inventory"
	"github.com/fulmarcross/fulmarcross/internal/standin/rows"
	"github.com/fulmarcross/fulmarcross/platform"
)

// rowExpiry is the time after which the store removes the row of a target that writes no more:
// three heartbeats of the users' targets.
const rowExpiry = 3600 * time.Millisecond

// Return makes the store come back from a copy. Targets and the operator write what they wrote
// before again, each after a part of within that is drawn. Rows of targets that wrote their last
// one before the return are removed after rowExpiry.
func (s *Site) Return(c rows.Copy, within time.Duration, draw *rand.Rand) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.Store.Return(c)

	now := time.Now()
	again := func() time.Time { return now.Add(time.Duration(draw.Float64() * float64(within))) }

	s.configAgain = again()
	s.again = make(map[instance.ID]time.Time)
	s.expired = make(map[instance.ID]time.Time)

	for id := range s.targets {
		if s.unlisted[id] || s.down[id] {
			s.expired[id] = now.Add(rowExpiry)
		} else {
			s.again[id] = again()
		}
	}
}

// LeaveOnList makes a target report that it is draining, in the list alone.
func (s *Site) LeaveOnList(id instance.ID) {
	s.change(id, func(t *inventory.Target) { t.Leaving = true })
}

// writeAgain writes, after a return of the store, what is due. The caller holds the lock.
func (s *Site) writeAgain(now time.Time) {
	if !s.configAgain.IsZero() && !now.Before(s.configAgain) {
		s.configAgain = time.Time{}
		s.Store.Put(platform.OperatorsTable, platform.ConfigKey, platform.EncodeConfig(s.config, s.keys))
	}

	for id, at := range s.again {
		if !now.Before(at) {
			delete(s.again, id)
			delete(s.written, id)
		}
	}

	for id, at := range s.expired {
		switch {
		case !s.unlisted[id] && !s.down[id]:
			delete(s.expired, id)
			delete(s.written, id)
		case !now.Before(at):
			delete(s.expired, id)
			s.Store.Remove(platform.TargetsTable, string(id))
		}
	}
}
