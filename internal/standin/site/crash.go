package site

import (
	"fmt"
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
	// Silent says that a target that has crashed refuses no connections.
	Silent bool
	// Down is how long a target that has crashed is down. It is then a new process under the
	// same id.
	Down time.Duration
}

// CrashOn makes targets crash on some requests.
func (s *Site) CrashOn(c Crash) {
	for id, w := range s.Targets() {
		w.SetCrash(worker.Crash{On: c.On, Ends: func() { s.crash(id, c) }})
	}
}

// crash ends a target's process and starts another one later.
func (s *Site) crash(id instance.ID, c Crash) {
	s.mu.Lock()
	s.down[id] = true
	s.mu.Unlock()

	how := network.Reset
	if c.Silent {
		how = network.Silent
	}

	s.cutFromAll(id, how)

	if c.Down == 0 {
		s.startAfterCrash(id)

		return
	}

	time.AfterFunc(c.Down, func() { s.startAfterCrash(id) })
}

// startAfterCrash starts a target's next process, which knows nothing of the connections and
// models of the one before.
func (s *Site) startAfterCrash(id instance.ID) {
	s.cutFromAll(id, network.Reset)
	s.Targets()[id].StartAnew()
	s.change(id, func(t *inventory.Target) { t.StartedMs++ })

	s.mu.Lock()
	delete(s.down, id)
	s.mu.Unlock()

	s.cutFromAll(id, network.Whole)
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
