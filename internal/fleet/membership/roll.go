// Package membership maintains the membership: the entries that are alive, as each
// entry sees them. Entries exchange their lists by gossip in rounds. Each process
// increments its heartbeat once a round, and a heartbeat that one entry has
// received reaches all others within a few rounds, so the work of an entry does
// not grow with their number.
//
// The package does no I/O and reads no clock. The zero value has no members.
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
	// Started is the time of day of the process's start. Of two processes of an instance
	// it shows the newer; zero means unknown.
	Started time.Time
	// Strength is the share of a processor that the instance has.
	Strength float64
	// Heartbeat is the heartbeat. It grows by one with each round of the process.
	Heartbeat uint64
	// Leaving says that the process is shutting down.
	Leaving bool
}

// Digest summarises a list: its members and their heartbeats.
type Digest struct {
	// MembersHash is a hash of the members' processes.
	MembersHash uint64
	// Heartbeats are the members' heartbeats in the order of their ids. A leaving member's
	// heartbeat is the highest possible.
	Heartbeats []uint64
}

// ProcessHeartbeat is the heartbeat of a process, which is identified by its hash.
type ProcessHeartbeat struct{ Process, Heartbeat uint64 }

func processHash(process string) uint64 { return xxhash.Sum64String(process) }

// leavingHeartbeat is the heartbeat of a process that is shutting down. Being the
// highest possible, it overrides any later one of that process.
const leavingHeartbeat = 1<<32 - 1

const (
	// FullMeshLimit is the largest number of members at which an entry gossips with all
	// of them in every round. Up to here a round costs less than a digest saves.
	FullMeshLimit = 12
	// fanOut is the number of members contacted in a round of a larger membership: a
	// heartbeat then reaches 1,200 members in five rounds.
	fanOut = 4
	// deadAfter is how long a member of a small membership counts as alive after its
	// last heartbeat: slightly more than two lost rounds. In a large one a heartbeat
	// takes some rounds to arrive, so deadAfterLarge applies.
	deadAfter      = 4 * time.Second
	deadAfterLarge = 9 * time.Second
	// retention is how long a member stays on the list after its last heartbeat, and
	// how long its tombstone is retained after that, so that entries that still list
	// the process do not bring it back.
	retention = 30 * time.Second
)

// memberState is a member and what this instance has recorded about it.
type memberState struct {
	Member

	// hash is the hash of its process.
	hash uint64
	// lastHeartbeat is when its heartbeat last grew, and listedAt when it was listed.
	lastHeartbeat, listedAt time.Time
}

// List is the list of the other entries. It is not safe for concurrent use.
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
func (r *List) BeginRound(now time.Time) []Member {
	r.Self.Heartbeat++
	r.expire(now)

	if len(r.members) <= FullMeshLimit {
		return r.All()
	}

	candidates := r.fingers()
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })

	return candidates[:min(fanOut, len(candidates))]
}

// fingers returns the members one, two, four and so on places after this one in
// the order of ids. Contacting only these keeps an entry's connections few, and
// still spreads a heartbeat to all within a few rounds.
func (r *List) fingers() []Member {
	r.sort()

	self := slices.Index(r.sorted, nil)

	var out []Member
	for step := 1; step < len(r.sorted); step *= 2 {
		out = append(out, *r.member(r.sorted[(self+step)%len(r.sorted)]))
	}

	return out
}

func (r *List) expire(now time.Time) {
	for id, e := range r.members {
		if now.Sub(e.lastHeartbeat) > retention && now.Sub(e.listedAt) > retention {
			r.addTombstone(e, now)
			delete(r.members, id)

			r.sorted = nil
		}
	}

	for process, at := range r.tombstones {
		if now.Sub(at) > retention {
			delete(r.tombstones, process)
		}
	}
}

func (r *List) addTombstone(e *memberState, now time.Time) {
	if r.tombstones == nil {
		r.tombstones = make(map[uint64]time.Time)
	}

	r.tombstones[e.hash] = now
}

// Add adds a member that another entry or a row of the store names. A listed
// process is replaced only by a newer one of the same instance.
//
// It guards against outdated rows and lists: just after an instance has restarted
// they name its former process, which must not replace the new one.
func (r *List) Add(m Member, now time.Time) {
	if m.ID == r.Self.ID || m.ID == "" {
		return
	}

	if _, removed := r.tombstones[processHash(m.Process)]; removed {
		return
	}

	old := r.members[m.ID]

	switch {
	case old == nil:
		r.insert(m, now)
	case old.Process == m.Process:
		old.recordHeartbeat(m.Heartbeat, now)
		old.fillIn(m)
	case m.Started.After(old.Started):
		r.addTombstone(old, now)
		r.insert(m, now)
	}
}

func (r *List) insert(m Member, now time.Time) {
	if r.members == nil {
		r.members = make(map[instance.ID]*memberState)
	}

	e := &memberState{Member: m, hash: processHash(m.Process), listedAt: now}
	if m.Leaving {
		e.Heartbeat = leavingHeartbeat
	}

	r.members[m.ID] = e
	r.sorted = nil
}

// RecordContact records direct contact with a member's process. Direct contact overrides
// all that others reported about its instance, also if the time of day was set
// back between two starts.
func (r *List) RecordContact(m Member, now time.Time) {
	if m.ID == r.Self.ID || m.ID == "" {
		return
	}

	delete(r.tombstones, processHash(m.Process))

	if old := r.members[m.ID]; old != nil && old.Process != m.Process {
		r.addTombstone(old, now)
		r.insert(m, now)
	}

	r.Add(m, now)

	e := r.members[m.ID]
	e.lastHeartbeat = now

	if m.Leaving {
		e.Heartbeat, e.Leaving = leavingHeartbeat, true
	}
}

// fillIn sets the fields that were unknown when the member was listed.
func (e *memberState) fillIn(m Member) {
	if e.Strength == 0 {
		e.Strength = m.Strength
	}

	if e.Started.IsZero() {
		e.Started = m.Started
	}
}

// recordHeartbeat records a heartbeat if it is newer.
func (e *memberState) recordHeartbeat(heartbeat uint64, now time.Time) {
	if heartbeat <= e.Heartbeat {
		return
	}

	e.Heartbeat, e.lastHeartbeat = heartbeat, now
	e.Leaving = e.Leaving || heartbeat == leavingHeartbeat
}

// sort rebuilds the sorted members if the list has changed.
func (r *List) sort() {
	if r.sorted != nil {
		return
	}

	r.sorted = append(r.sorted, nil)
	for _, e := range r.members {
		r.sorted = append(r.sorted, e)
	}

	slices.SortFunc(r.sorted, func(a, b *memberState) int { return cmp.Compare(r.member(a).ID, r.member(b).ID) })

	h := xxhash.New()
	for _, e := range r.sorted {
		_, _ = h.WriteString(r.member(e).Process + " ") // A hash does not fail.
	}

	r.membersHash = h.Sum64()
}

// member returns the member that an element of sorted stands for.
func (r *List) member(e *memberState) *Member {
	if e == nil {
		return &r.Self
	}

	return &e.Member
}

// Digest returns the digest of this list.
func (r *List) Digest() Digest {
	r.sort()

	d := Digest{MembersHash: r.membersHash, Heartbeats: make([]uint64, len(r.sorted))}
	for i, e := range r.sorted {
		d.Heartbeats[i] = r.member(e).Heartbeat
	}

	return d
}

// ApplyDigest applies the heartbeats of another entry's digest. It reports false if that
// entry's list has other members, so that the heartbeats cannot be assigned.
func (r *List) ApplyDigest(d Digest, now time.Time) bool {
	r.sort()

	if d.MembersHash != r.membersHash || len(d.Heartbeats) != len(r.sorted) {
		return false
	}

	for i, e := range r.sorted {
		if e != nil {
			e.recordHeartbeat(d.Heartbeats[i], now)
		}
	}

	return true
}

// Heartbeats returns the heartbeats of all members and of this process, for an entry
// whose list differs.
func (r *List) Heartbeats() []ProcessHeartbeat {
	out := make([]ProcessHeartbeat, 0, len(r.members)+1)
	for _, e := range r.members {
		out = append(out, ProcessHeartbeat{e.hash, e.Heartbeat})
	}

	return append(out, ProcessHeartbeat{processHash(r.Self.Process), r.Self.Heartbeat})
}

// ApplyHeartbeats applies the heartbeats of an entry whose list differs. It returns the
// hashes of the processes that are unknown here.
//
// With hundreds of entries, some of them are always starting or ending, so lists
// differ more often than not, though by few members. Sending whole members each
// time would cost too much.
func (r *List) ApplyHeartbeats(pulses []ProcessHeartbeat, now time.Time) []uint64 {
	listed := make(map[uint64]*memberState, len(r.members))
	for _, e := range r.members {
		listed[e.hash] = e
	}

	var unknown []uint64

	for _, p := range pulses {
		_, removed := r.tombstones[p.Process]

		switch e := listed[p.Process]; {
		case e != nil:
			e.recordHeartbeat(p.Heartbeat, now)
		case !removed && p.Process != processHash(r.Self.Process):
			unknown = append(unknown, p.Process)
		}
	}

	return unknown
}

// ByHash returns the members, including this process, with the given hashes.
func (r *List) ByHash(hashes []uint64) []Member {
	if len(hashes) == 0 {
		return nil
	}

	asked := make(map[uint64]bool, len(hashes))
	for _, hash := range hashes {
		asked[hash] = true
	}

	var out []Member

	for _, e := range r.members {
		if asked[e.hash] {
			out = append(out, e.Member)
		}
	}

	if asked[processHash(r.Self.Process)] {
		out = append(out, r.Self)
	}

	return out
}

// Alive returns the members with a recent heartbeat that are not leaving.
func (r *List) Alive(now time.Time) []Member {
	return r.filter(func(e *memberState) bool { return r.alive(e, now) })
}

func (r *List) alive(e *memberState, now time.Time) bool {
	limit := deadAfter
	if len(r.members) > FullMeshLimit {
		limit = deadAfterLarge
	}

	return !e.Leaving && now.Sub(e.lastHeartbeat) < limit
}

// AliveOrNew returns the members that are alive, and those that were listed recently
// and have not sent a heartbeat yet.
func (r *List) AliveOrNew(now time.Time) []Member {
	return r.filter(func(e *memberState) bool {
		return r.alive(e, now) || !e.Leaving && e.lastHeartbeat.IsZero() && now.Sub(e.listedAt) < deadAfter
	})
}

// Len returns the number of members.
func (r *List) Len() int { return len(r.members) }

// All returns all members.
func (r *List) All() []Member { return r.filter(func(*memberState) bool { return true }) }

// Get returns a member.
func (r *List) Get(id instance.ID) (Member, bool) {
	if e := r.members[id]; e != nil {
		return e.Member, true
	}

	return Member{}, false
}

func (r *List) filter(keep func(*memberState) bool) []Member {
	out := make([]Member, 0, len(r.members))

	for _, e := range r.members {
		if keep(e) {
			out = append(out, e.Member)
		}
	}

	return out
}
