// Package membership maintains the membership: the entries that are alive, as each
// entry sees them. Entries exchange their lists by gossip in rounds. Each process
// increments its heartbeat once a round. In a large membership an entry contacts
// only a few members per round, and a heartbeat still reaches all of them within a
// few rounds, so the number of exchanges of an entry does not grow with the
// membership.
//
// The package does no I/O and reads no clock.
package membership

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

// Member is one entry's process.
type Member struct {
	ID      instance.ID
	Address netip.AddrPort
	// Process distinguishes the processes of an instance.
	Process string
	// Started is when the process started, by the time of day. Of two processes of an
	// instance, the one with the later time is the newer. Zero means unknown.
	Started time.Time
	// Strength is the share of a processor that the instance has.
	Strength float64
	// Heartbeat is the number of rounds of the process, or leavingHeartbeat.
	Heartbeat uint64
	// Leaving says that the process is shutting down.
	Leaving bool
}

// Digest summarises a list: its members, the sender among them, and their heartbeats.
type Digest struct {
	// MembersHash is a hash of the processes of the sender and its members.
	MembersHash uint64
	// Heartbeats are the heartbeats of the sender and its members, in the order of
	// their ids. A leaving member has leavingHeartbeat; a leaving sender still has its
	// number of rounds.
	Heartbeats []uint64
}

// ProcessHeartbeat is the heartbeat of a process, which is identified by its hash.
type ProcessHeartbeat struct{ Process, Heartbeat uint64 }

func processHash(process string) uint64 { return xxhash.Sum64String(process) }

// leavingHeartbeat is the heartbeat of a process that is shutting down. It is higher
// than any number of rounds that a process reaches, so no heartbeat of the process
// that arrives afterwards replaces it.
const leavingHeartbeat = 1<<32 - 1

const (
	// FullMeshLimit is the largest number of members at which an entry gossips with all
	// of them in every round. Up to this size, the cost of contacting all members is
	// lower than the saving from sending digests instead of whole lists.
	FullMeshLimit = 12
	// fanOut is the number of members contacted in a round of a larger membership: a
	// heartbeat then reaches 1,200 members in five rounds.
	fanOut = 4
	// deadAfter is how long a member of a small membership counts as alive after its
	// last heartbeat: more than two rounds and less than three, so that the heartbeats
	// of one round may be lost. In a large one a heartbeat takes some rounds to arrive,
	// so deadAfterLarge applies.
	deadAfter      = 4 * time.Second
	deadAfterLarge = 9 * time.Second
	// retention is how long a member stays on the list after it was listed or, if that
	// is later, after its last heartbeat. It is also how long the tombstone of a removed
	// process is retained, so that entries that still list the process do not bring it
	// back.
	retention = 30 * time.Second
)

// memberState is a member and what this instance has recorded about it.
type memberState struct {
	Member

	// hash is the hash of its process.
	hash uint64
	// lastHeartbeat is when its heartbeat last grew or this entry was last in direct
	// contact with it. listedAt is when it was listed.
	lastHeartbeat, listedAt time.Time
}

// List is the list of the other entries. The zero value has no members. It is not
// safe for concurrent use.
type List struct {
	// Self is this process. Its heartbeat is the number of rounds.
	Self    Member
	members map[instance.ID]*memberState
	// tombstones maps the hashes of processes that were removed to the time of the
	// removal.
	tombstones map[uint64]time.Time
	// sorted are the members sorted by id, with nil for this process, and membersHash
	// is the hash of their processes. sorted is nil if the list has changed since.
	sorted      []*memberState
	membersHash uint64
}

// BeginRound begins a round and returns the members to contact.
func (l *List) BeginRound(now time.Time) []Member {
	l.Self.Heartbeat++
	l.expire(now)

	if len(l.members) <= FullMeshLimit {
		return l.All()
	}

	candidates := l.fingers()
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })

	return candidates[:min(fanOut, len(candidates))]
}

// fingers returns the members one, two, four and so on places after this one in
// the order of ids. Contacting only these keeps an entry's connections few, and
// still spreads a heartbeat to all within a few rounds.
func (l *List) fingers() []Member {
	l.sort()

	self := slices.Index(l.sorted, nil)

	var out []Member
	for step := 1; step < len(l.sorted); step *= 2 {
		out = append(out, *l.member(l.sorted[(self+step)%len(l.sorted)]))
	}

	return out
}

func (l *List) expire(now time.Time) {
	for id, s := range l.members {
		if now.Sub(s.lastHeartbeat) > retention && now.Sub(s.listedAt) > retention {
			l.addTombstone(s, now)
			delete(l.members, id)

			l.sorted = nil
		}
	}

	for process, at := range l.tombstones {
		if now.Sub(at) > retention {
			delete(l.tombstones, process)
		}
	}
}

func (l *List) addTombstone(s *memberState, now time.Time) {
	if l.tombstones == nil {
		l.tombstones = make(map[uint64]time.Time)
	}

	l.tombstones[s.hash] = now
}

// Add adds a member that another entry or a row of the store names. A listed
// process is replaced only by a newer one of the same instance.
//
// Rows and lists may be outdated: just after a restart of an instance they still
// name its former process, which must not replace the new one.
func (l *List) Add(m Member, now time.Time) {
	if m.ID == l.Self.ID || m.ID == "" {
		return
	}

	if _, removed := l.tombstones[processHash(m.Process)]; removed {
		return
	}

	old := l.members[m.ID]

	switch {
	case old == nil:
		l.insert(m, now)
	case old.Process == m.Process:
		old.recordHeartbeat(m.Heartbeat, now)
		old.fillIn(m)
	case m.Started.After(old.Started):
		l.addTombstone(old, now)
		l.insert(m, now)
	}
}

func (l *List) insert(m Member, now time.Time) {
	if l.members == nil {
		l.members = make(map[instance.ID]*memberState)
	}

	s := &memberState{Member: m, hash: processHash(m.Process), listedAt: now}
	if m.Leaving {
		s.Heartbeat = leavingHeartbeat
	}

	l.members[m.ID] = s
	l.sorted = nil
}

// RecordContact records direct contact with a member's process. Direct contact
// overrides everything that other entries reported about the instance, even if the
// time of day was set back between two starts.
func (l *List) RecordContact(m Member, now time.Time) {
	if m.ID == l.Self.ID || m.ID == "" {
		return
	}

	delete(l.tombstones, processHash(m.Process))

	if old := l.members[m.ID]; old != nil && old.Process != m.Process {
		l.addTombstone(old, now)
		l.insert(m, now)
	}

	l.Add(m, now)

	s := l.members[m.ID]
	s.lastHeartbeat = now

	if m.Leaving {
		s.Heartbeat, s.Leaving = leavingHeartbeat, true
	}
}

// fillIn sets the fields that were unknown when the member was listed.
func (s *memberState) fillIn(m Member) {
	if s.Strength == 0 {
		s.Strength = m.Strength
	}

	if s.Started.IsZero() {
		s.Started = m.Started
	}
}

// recordHeartbeat records a heartbeat if it is newer.
func (s *memberState) recordHeartbeat(heartbeat uint64, now time.Time) {
	if heartbeat <= s.Heartbeat {
		return
	}

	s.Heartbeat, s.lastHeartbeat = heartbeat, now
	s.Leaving = s.Leaving || heartbeat == leavingHeartbeat
}

// sort rebuilds the sorted members if the list has changed.
func (l *List) sort() {
	if l.sorted != nil {
		return
	}

	l.sorted = append(l.sorted, nil)
	for _, s := range l.members {
		l.sorted = append(l.sorted, s)
	}

	slices.SortFunc(l.sorted, func(a, b *memberState) int { return cmp.Compare(l.member(a).ID, l.member(b).ID) })

	h := xxhash.New()
	for _, s := range l.sorted {
		_, _ = h.WriteString(l.member(s).Process + " ") // A hash does not fail.
	}

	l.membersHash = h.Sum64()
}

// member returns the member that an element of sorted stands for.
func (l *List) member(s *memberState) *Member {
	if s == nil {
		return &l.Self
	}

	return &s.Member
}

// Digest returns the digest of this list.
func (l *List) Digest() Digest {
	l.sort()

	d := Digest{MembersHash: l.membersHash, Heartbeats: make([]uint64, len(l.sorted))}
	for i, s := range l.sorted {
		d.Heartbeats[i] = l.member(s).Heartbeat
	}

	return d
}

// ApplyDigest applies the heartbeats of another entry's digest. It reports false if that
// entry's list has other members, so that the heartbeats cannot be assigned.
func (l *List) ApplyDigest(d Digest, now time.Time) bool {
	l.sort()

	if d.MembersHash != l.membersHash || len(d.Heartbeats) != len(l.sorted) {
		return false
	}

	for i, s := range l.sorted {
		if s != nil {
			s.recordHeartbeat(d.Heartbeats[i], now)
		}
	}

	return true
}

// Heartbeats returns the heartbeats of all members and of this process, for an entry
// whose list differs.
func (l *List) Heartbeats() []ProcessHeartbeat {
	out := make([]ProcessHeartbeat, 0, len(l.members)+1)
	for _, s := range l.members {
		out = append(out, ProcessHeartbeat{s.hash, s.Heartbeat})
	}

	return append(out, ProcessHeartbeat{processHash(l.Self.Process), l.Self.Heartbeat})
}

// ApplyHeartbeats applies the heartbeats of an entry whose list differs. It returns the
// hashes of the processes that are unknown here.
//
// With hundreds of entries, some of them are always starting or ending, so lists
// differ more often than not, though by few members. Sending whole members each
// time would cost too much.
func (l *List) ApplyHeartbeats(heartbeats []ProcessHeartbeat, now time.Time) []uint64 {
	listed := make(map[uint64]*memberState, len(l.members))
	for _, s := range l.members {
		listed[s.hash] = s
	}

	var unknown []uint64

	for _, p := range heartbeats {
		_, removed := l.tombstones[p.Process]

		switch s := listed[p.Process]; {
		case s != nil:
			s.recordHeartbeat(p.Heartbeat, now)
		case !removed && p.Process != processHash(l.Self.Process):
			unknown = append(unknown, p.Process)
		}
	}

	return unknown
}

// ByHash returns the members, including this process, with the given hashes.
func (l *List) ByHash(hashes []uint64) []Member {
	if len(hashes) == 0 {
		return nil
	}

	requested := make(map[uint64]bool, len(hashes))
	for _, hash := range hashes {
		requested[hash] = true
	}

	var out []Member

	for _, s := range l.members {
		if requested[s.hash] {
			out = append(out, s.Member)
		}
	}

	if requested[processHash(l.Self.Process)] {
		out = append(out, l.Self)
	}

	return out
}

// Alive returns the members with a recent heartbeat that are not leaving.
func (l *List) Alive(now time.Time) []Member {
	return l.filter(func(s *memberState) bool { return l.alive(s, now) })
}

func (l *List) alive(s *memberState, now time.Time) bool {
	limit := deadAfter
	if len(l.members) > FullMeshLimit {
		limit = deadAfterLarge
	}

	return !s.Leaving && now.Sub(s.lastHeartbeat) < limit
}

// AliveOrNew returns the members that are alive, and those not leaving that were listed
// less than deadAfter ago and have not sent a heartbeat since.
func (l *List) AliveOrNew(now time.Time) []Member {
	return l.filter(func(s *memberState) bool {
		return l.alive(s, now) || !s.Leaving && s.lastHeartbeat.IsZero() && now.Sub(s.listedAt) < deadAfter
	})
}

// Len returns the number of members.
func (l *List) Len() int { return len(l.members) }

// All returns all members.
func (l *List) All() []Member { return l.filter(func(*memberState) bool { return true }) }

// Get returns a member.
func (l *List) Get(id instance.ID) (Member, bool) {
	if s := l.members[id]; s != nil {
		return s.Member, true
	}

	return Member{}, false
}

func (l *List) filter(keep func(*memberState) bool) []Member {
	out := make([]Member, 0, len(l.members))

	for _, s := range l.members {
		if keep(s) {
			out = append(out, s.Member)
		}
	}

	return out
}
