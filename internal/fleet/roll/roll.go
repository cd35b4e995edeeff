// Package roll keeps the list of the entries that are alive, as each entry
// sees it. Entries tell each other in rounds: whoever beats is alive, and a
// beat that one entry heard reaches all within a few rounds, so that the work
// of an entry does not grow with their number.
//
// It does no I/O and reads no clock. The zero value knows nobody.
package roll

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
	// Process tells the processes of an instance apart, and Born, the time of
	// day of its start, which of two is the newer; zero means unknown.
	Process string
	Born    time.Time
	// Strength is the share of a processor that the instance has.
	Strength float64
	// Beat grows by one with each round of the process.
	Beat uint64
	// Leaving says that the process is about to end.
	Leaving bool
}

// Digest says in short who is on a list and how far their beats have come.
type Digest struct {
	// Set is a hash of the members' processes, and Beats their beats in the
	// order of their ids; a leaving member's is the highest of all.
	Set   uint64
	Beats []uint64
}

// Pulse is the beat of a process, which a hash stands for.
type Pulse struct{ Process, Beat uint64 }

func processSum(process string) uint64 { return xxhash.Sum64String(process) }

// leavingBeat is the beat of a process that is about to end: nothing that is
// heard of it later counts.
const leavingBeat = 1<<32 - 1

const (
	// Everybody is up to how many members each is greeted in every round. Up
	// to here a round costs less than what a digest saves.
	Everybody = 12
	// fanOut is how many are greeted in a round beyond that: a beat reaches
	// 1,200 members in five rounds.
	fanOut = 4
	// deadAfter is how long after its last beat a member of a small list
	// counts as alive, two lost rounds and a little. On a large one a beat is
	// some rounds on its way.
	deadAfter      = 4 * time.Second
	deadAfterLarge = 9 * time.Second
	// forgetAfter is how long after its last beat a member stays on the list,
	// and how long its process is remembered as gone after that, so that those
	// who still list it do not bring it back.
	forgetAfter = 30 * time.Second
)

// entry is a member with what this instance noticed of it.
type entry struct {
	Member

	// sum is the hash of its process.
	sum uint64
	// heard is when its beat last grew, and since when it is listed.
	heard, since time.Time
}

// Roll is the list of the other entries. It is not safe for concurrent use.
type Roll struct {
	// Self is this process. Its beat is the number of rounds.
	Self    Member
	members map[instance.ID]*entry
	// gone are the hashes of processes that were forgotten, and when.
	gone map[uint64]time.Time
	// order are the members by id, with nil for this process, and set is the
	// hash of their processes. Nil means that the list has changed since.
	order []*entry
	set   uint64
}

// Beat begins a round and returns whom to greet.
func (r *Roll) Beat(now time.Time) []Member {
	r.Self.Beat++
	r.forget(now)

	if len(r.members) <= Everybody {
		return r.All()
	}

	near := r.fingers()
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })

	return near[:min(fanOut, len(near))]
}

// fingers returns the members one, two, four and so on places further on the
// list. Greeting only these keeps an entry's connections few, and still brings
// a beat to all within a few rounds.
func (r *Roll) fingers() []Member {
	r.sort()

	own := slices.Index(r.order, nil)

	var out []Member
	for step := 1; step < len(r.order); step *= 2 {
		out = append(out, *r.member(r.order[(own+step)%len(r.order)]))
	}

	return out
}

func (r *Roll) forget(now time.Time) {
	for id, e := range r.members {
		if now.Sub(e.heard) > forgetAfter && now.Sub(e.since) > forgetAfter {
			r.bury(e, now)
			delete(r.members, id)

			r.order = nil
		}
	}

	for process, at := range r.gone {
		if now.Sub(at) > forgetAfter {
			delete(r.gone, process)
		}
	}
}

func (r *Roll) bury(e *entry, now time.Time) {
	if r.gone == nil {
		r.gone = make(map[uint64]time.Time)
	}

	r.gone[e.sum] = now
}

// Meet takes in a member that was named by another or by a row. A process that
// is listed gives way to a newer one of its instance only.
//
// It guards against old rows and lists of others: where an instance has just
// started again they name its former process, which must not take the new
// one's place.
func (r *Roll) Meet(m Member, now time.Time) {
	if m.ID == r.Self.ID || m.ID == "" {
		return
	}

	if _, buried := r.gone[processSum(m.Process)]; buried {
		return
	}

	old := r.members[m.ID]

	switch {
	case old == nil:
		r.enlist(m, now)
	case old.Process == m.Process:
		old.note(m.Beat, now)
		old.learn(m)
	case m.Born.After(old.Born):
		r.bury(old, now)
		r.enlist(m, now)
	}
}

func (r *Roll) enlist(m Member, now time.Time) {
	if r.members == nil {
		r.members = make(map[instance.ID]*entry)
	}

	e := &entry{Member: m, sum: processSum(m.Process), since: now}
	if m.Leaving {
		e.Beat = leavingBeat
	}

	r.members[m.ID] = e
	r.order = nil
}

// Heard notes that a member's process was spoken with. That goes before
// whatever was heard of its instance, also where the time of day was set
// between two starts.
func (r *Roll) Heard(m Member, now time.Time) {
	if m.ID == r.Self.ID || m.ID == "" {
		return
	}

	delete(r.gone, processSum(m.Process))

	if old := r.members[m.ID]; old != nil && old.Process != m.Process {
		r.bury(old, now)
		r.enlist(m, now)
	}

	r.Meet(m, now)

	e := r.members[m.ID]
	e.heard = now

	if m.Leaving {
		e.Beat, e.Leaving = leavingBeat, true
	}
}

// learn takes in what the member's first mention did not say.
func (e *entry) learn(m Member) {
	if e.Strength == 0 {
		e.Strength = m.Strength
	}

	if e.Born.IsZero() {
		e.Born = m.Born
	}
}

// note takes in a beat.
func (e *entry) note(beat uint64, now time.Time) {
	if beat <= e.Beat {
		return
	}

	e.Beat, e.heard = beat, now
	e.Leaving = e.Leaving || beat == leavingBeat
}

// sort puts the members in order if the list has changed.
func (r *Roll) sort() {
	if r.order != nil {
		return
	}

	r.order = append(r.order, nil)
	for _, e := range r.members {
		r.order = append(r.order, e)
	}

	slices.SortFunc(r.order, func(a, b *entry) int { return cmp.Compare(r.member(a).ID, r.member(b).ID) })

	h := xxhash.New()
	for _, e := range r.order {
		_, _ = h.WriteString(r.member(e).Process + " ") // A hash does not fail.
	}

	r.set = h.Sum64()
}

// member returns what an element of the order stands for.
func (r *Roll) member(e *entry) *Member {
	if e == nil {
		return &r.Self
	}

	return &e.Member
}

// Digest returns this list in short.
func (r *Roll) Digest() Digest {
	r.sort()

	d := Digest{Set: r.set, Beats: make([]uint64, len(r.order))}
	for i, e := range r.order {
		d.Beats[i] = r.member(e).Beat
	}

	return d
}

// Take takes in another entry's digest. It reports false when that entry's
// list is another, so that beats say nothing.
func (r *Roll) Take(d Digest, now time.Time) bool {
	r.sort()

	if d.Set != r.set || len(d.Beats) != len(r.order) {
		return false
	}

	for i, e := range r.order {
		if e != nil {
			e.note(d.Beats[i], now)
		}
	}

	return true
}

// Pulses returns the beats of all members and of this process, for an entry with
// another list.
func (r *Roll) Pulses() []Pulse {
	out := make([]Pulse, 0, len(r.members)+1)
	for _, e := range r.members {
		out = append(out, Pulse{e.sum, e.Beat})
	}

	return append(out, Pulse{processSum(r.Self.Process), r.Self.Beat})
}

// TakePulses takes in the beats of an entry with another list. It returns the
// processes that are unknown here.
//
// It answers the load of hundreds of entries of which some start or end all the
// time: their lists differ more often than not, and few of the members are new.
func (r *Roll) TakePulses(pulses []Pulse, now time.Time) []uint64 {
	listed := make(map[uint64]*entry, len(r.members))
	for _, e := range r.members {
		listed[e.sum] = e
	}

	var unknown []uint64

	for _, p := range pulses {
		_, buried := r.gone[p.Process]

		switch e := listed[p.Process]; {
		case e != nil:
			e.note(p.Beat, now)
		case !buried && p.Process != processSum(r.Self.Process):
			unknown = append(unknown, p.Process)
		}
	}

	return unknown
}

// Named returns the members, and this process, that hashes stand for.
func (r *Roll) Named(sums []uint64) []Member {
	if len(sums) == 0 {
		return nil
	}

	asked := make(map[uint64]bool, len(sums))
	for _, sum := range sums {
		asked[sum] = true
	}

	var out []Member

	for _, e := range r.members {
		if asked[e.sum] {
			out = append(out, e.Member)
		}
	}

	if asked[processSum(r.Self.Process)] {
		out = append(out, r.Self)
	}

	return out
}

// Alive returns the members that beat lately and are not leaving.
func (r *Roll) Alive(now time.Time) []Member {
	return r.list(func(e *entry) bool { return r.alive(e, now) })
}

func (r *Roll) alive(e *entry, now time.Time) bool {
	limit := deadAfter
	if len(r.members) > Everybody {
		limit = deadAfterLarge
	}

	return !e.Leaving && now.Sub(e.heard) < limit
}

// Likely returns the members that are alive, and those that were named a moment
// ago and have not been heard of since.
func (r *Roll) Likely(now time.Time) []Member {
	return r.list(func(e *entry) bool {
		return r.alive(e, now) || !e.Leaving && e.heard.IsZero() && now.Sub(e.since) < deadAfter
	})
}

// Len returns how many members there are.
func (r *Roll) Len() int { return len(r.members) }

// All returns all members.
func (r *Roll) All() []Member { return r.list(func(*entry) bool { return true }) }

// Get returns a member.
func (r *Roll) Get(id instance.ID) (Member, bool) {
	if e := r.members[id]; e != nil {
		return e.Member, true
	}

	return Member{}, false
}

func (r *Roll) list(want func(*entry) bool) []Member {
	out := make([]Member, 0, len(r.members))

	for _, e := range r.members {
		if want(e) {
			out = append(out, e.Member)
		}
	}

	return out
}
