package site

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/inventory"
	"github.com/fulmarcross/fulmarcross/internal/standin/network"
	"github.com/fulmarcross/fulmarcross/internal/standin/worker"
	"github.com/fulmarcross/fulmarcross/platform"
)

// Crash describes how targets crash on some requests. It needs a network with a delay.
type Crash struct {
	// On reports whether a request crashes its target when that begins to write.
	On func(platform.Request) bool
	// After is how many events the target writes before.
	After int
	// Silent says that a target that has crashed refuses no connections.
	Silent bool
	// Down is how long a target that has crashed is down. It is then a new process under the
	// same id.
	Down time.Duration
	// RowExpires says that the store removes the row of a target that is down for rowExpiry. It
	// stays otherwise.
	RowExpires bool
}

// LogUniform returns a duration for a number from [0, 1): as often a short as a long one.
func LogUniform(draw float64, least, most time.Duration) time.Duration {
	return time.Duration(float64(least) * math.Exp(draw*math.Log(float64(most)/float64(least))))
}

// CrashOn makes targets crash on some requests.
func (s *Site) CrashOn(c Crash) {
	for id, w := range s.Targets() {
		w.SetCrash(worker.Crash{On: c.On, After: c.After, Ends: func(platform.Request) { s.crash(id, c) }})
	}
}

// crash ends a target's process and starts another one later.
func (s *Site) crash(id instance.ID, c Crash) {
	how := network.Reset
	if c.Silent {
		how = network.Silent
	}

	s.End(id)
	s.cutFromAll(id, how)

	if c.RowExpires {
		s.Expire(id)
	}

	startNext := func() {
		// The next process knows nothing of the connections of the one before.
		s.cutFromAll(id, network.Reset)
		s.StartNext(id)
		s.cutFromAll(id, network.Whole)
	}

	if c.Down == 0 {
		startNext()

		return
	}

	time.AfterFunc(c.Down, startNext)
}

// End makes a target's row stay as it is, since its process has ended.
func (s *Site) End(id instance.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.down[id] = true
}

// Expire has the row of a target that has ended removed after rowExpiry, unless its next process
// has started by then.
func (s *Site) Expire(id instance.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.expired[id] = time.Now().Add(rowExpiry)
}

// StartNext starts a target's next process, which holds nothing.
func (s *Site) StartNext(id instance.ID) {
	s.Targets()[id].StartAnew()
	s.change(id, func(t *inventory.Target) { t.StartedMs++ })

	s.mu.Lock()
	defer s.mu.Unlock()

	delete(s.down, id)
}

// cutFromAll partitions all entries from a target, or ends that.
func (s *Site) cutFromAll(id instance.ID, how network.Cut) {
	s.mu.Lock()
	entries := slices.Clone(s.Entries)
	s.mu.Unlock()

	for _, e := range entries {
		s.CutTarget(e, id, how)
	}
}

// CrashRule bounds the requests that crash targets.
type CrashRule struct {
	// Deaths is the number of deaths from which, after Contact, only Most more requests may
	// reach targets.
	Deaths  int
	Contact time.Duration
	Most    int
}

// Crashes returns how many deaths such requests have caused, and how they broke the rule; that
// is empty if they did not.
func (s *Site) Crashes(rule CrashRule) (deaths int, broken string) {
	var arrivals, died []time.Time

	for _, w := range s.Targets() {
		a, d := w.Crashes()
		arrivals, died = append(arrivals, a...), append(died, d...)
	}

	slices.SortFunc(died, time.Time.Compare)

	if len(died) < rule.Deaths {
		return len(died), ""
	}

	from := died[rule.Deaths-1].Add(rule.Contact)
	late := 0

	for _, at := range arrivals {
		if at.After(from) {
			late++
		}
	}

	if late <= rule.Most {
		return len(died), ""
	}

	return len(died), fmt.Sprintf("%d targets had ended, %d requests reached targets later, %d are allowed; %d ended in all", rule.Deaths, late, rule.Most, len(died))
}
