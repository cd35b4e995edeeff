package peer

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

// Timing holds the durations by which a Set decides which peers count as live and
// which instances count as gone.
type Timing struct {
	// Heartbeat is the time between two heartbeats to a peer.
	Heartbeat time.Duration
	// DeadAfter is how long after its last heartbeat a peer counts as dead.
	DeadAfter time.Duration
	// ListLag bounds how far the platform's list lags behind.
	ListLag time.Duration
}

// DefaultTiming returns durations for a list that lags by a few seconds.
func DefaultTiming() Timing {
	return Timing{Heartbeat: 500 * time.Millisecond, DeadAfter: 2 * time.Second, ListLag: 10 * time.Second}
}

// Set is this entry's record of all instances. Reads take no lock. The zero value
// is empty; the exported fields must be set before use.
type Set struct {
	Self   instance.ID
	Timing Timing

	mu      sync.Mutex
	current atomic.Pointer[members]
}

// members is one immutable version of the record.
type members struct {
	listed map[instance.ID]instance.Instance
	// lastReadAt is when the list was last read. Zero means never.
	lastReadAt time.Time
	// firstReadAt is when the list was first read. Zero means never.
	firstReadAt time.Time
	// missingSince is when an instance was first missing from the list.
	missingSince map[instance.ID]time.Time
	statuses     map[instance.ID]received
	// entries are the ids of the live entries, including this one, sorted.
	entries []instance.ID
}

// received is a peer's last status and when it was received.
type received struct {
	Status

	at time.Time
}

func (s *Set) members() *members {
	if m := s.current.Load(); m != nil {
		return m
	}

	return &members{}
}

// UpdateList replaces the platform's list by the one read at now.
func (s *Set) UpdateList(all []instance.Instance, now time.Time) {
	s.update(now, func(m *members) {
		listed := make(map[instance.ID]instance.Instance, len(all))
		for _, in := range all {
			listed[in.ID] = in
		}

		for id := range m.listed {
			if _, ok := listed[id]; !ok {
				m.missingSince[id] = now
			}
		}

		for id := range listed {
			delete(m.missingSince, id)
		}

		if m.firstReadAt.IsZero() {
			m.firstReadAt = now
		}

		m.listed, m.lastReadAt = listed, now
	})
}

// Receive records a peer's status, received at now.
func (s *Set) Receive(st Status, now time.Time) {
	s.update(now, func(m *members) { m.statuses[st.ID] = received{Status: st, at: now} })
}

// Refresh recomputes which entries are live at now.
func (s *Set) Refresh(now time.Time) { s.update(now, func(*members) {}) }

func (s *Set) update(now time.Time, change func(*members)) {
	s.mu.Lock()
	defer s.mu.Unlock()

	old := s.members()
	next := &members{
		listed:       old.listed,
		lastReadAt:   old.lastReadAt,
		firstReadAt:  old.firstReadAt,
		missingSince: cloneMap(old.missingSince),
		statuses:     cloneMap(old.statuses),
	}
	change(next)
	next.entries = next.live(s.Self, s.Timing, now)
	s.current.Store(next)
}

func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return make(map[K]V)
	}

	return maps.Clone(m)
}

// live returns the entries with a recent status that are not draining.
func (m *members) live(self instance.ID, t Timing, now time.Time) []instance.ID {
	ids := []instance.ID{self}

	for id, last := range m.statuses {
		if id != self && !last.Draining && now.Sub(last.at) <= t.DeadAfter {
			ids = append(ids, id)
		}
	}

	slices.Sort(ids)

	return ids
}

// Entries returns the ids of the live entries, including this one, sorted. The
// caller must not modify the slice.
func (s *Set) Entries() []instance.ID {
	m := s.members()
	if m.entries == nil {
		return []instance.ID{s.Self}
	}

	return m.entries
}

// Listed returns the instances of the role that are on the list, sorted by id.
func (s *Set) Listed(role instance.Role) []instance.Instance {
	m := s.members()

	var out []instance.Instance

	for _, in := range m.listed {
		if in.Role == role {
			out = append(out, in)
		}
	}

	slices.SortFunc(out, func(a, b instance.Instance) int {
		if a.ID < b.ID {
			return -1
		}

		return 1
	})

	return out
}

// Lookup returns the instance's row on the platform's list.
func (s *Set) Lookup(id instance.ID) (instance.Instance, bool) {
	in, ok := s.members().listed[id]

	return in, ok
}

// ListReadAt returns when the list of instances was last read.
func (s *Set) ListReadAt() time.Time { return s.members().lastReadAt }

// Gone reports whether the instance has been missing from the list for longer than
// ListLag. An instance that was never listed counts as missing since the first read
// of the list; before that read none counts as gone.
func (s *Set) Gone(id instance.ID, now time.Time) bool {
	m := s.members()
	if m.lastReadAt.IsZero() {
		return false
	}

	if _, ok := m.listed[id]; ok {
		return false
	}

	since, ok := m.missingSince[id]
	if !ok {
		since = m.firstReadAt
	}

	return now.Sub(since) > s.Timing.ListLag
}

// Statuses returns the last status of every peer that does not count as dead,
// sorted by id.
func (s *Set) Statuses(now time.Time) []Status {
	m := s.members()

	var out []Status

	for _, id := range slices.Sorted(maps.Keys(m.statuses)) {
		if last := m.statuses[id]; now.Sub(last.at) <= s.Timing.DeadAfter {
			out = append(out, last.Status)
		}
	}

	return out
}

// ProvedIdle reports whether the process that ran on the instance is proved to hold
// no lease of the cell and to have no order in flight for it. The proof is one of: a
// status of that process, received after since, that reports neither; a status of
// another process on the instance, received after since; the instance's absence from
// the list for longer than the list lags.
func (s *Set) ProvedIdle(id instance.ID, process string, cell int, since, now time.Time) bool {
	if s.Gone(id, now) {
		return true
	}

	last, ok := s.members().statuses[id]
	if !ok || !last.at.After(since) {
		return false
	}

	return last.Process != process || last.ProvedIdle(cell)
}

// LastStatus returns the last status of a peer and when it was received.
func (s *Set) LastStatus(id instance.ID) (Status, time.Time, bool) {
	last, ok := s.members().statuses[id]

	return last.Status, last.at, ok
}
