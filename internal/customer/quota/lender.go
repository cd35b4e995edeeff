package quota

import (
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

const (
	// minInterval is the shortest time between two delegations to an owner, and
	// intervalPerEntry the time added for each entry, so that the work of an owner
	// is bounded. Delegations are short, because what is delegated to an owner that
	// crashes is unavailable until they expire.
	minInterval      = 250 * time.Millisecond
	intervalPerEntry = 2 * time.Millisecond
	// ttlRounds is how many rounds a delegation lasts, so that one lost message does
	// not end it.
	ttlRounds = 2.5
	// clockDrift is how much longer an entry honours a delegation than the owner,
	// whose clock may run slower.
	clockDrift = 50 * time.Millisecond
	// clockRetention is how long an owner's clock reading is retained. Delegations
	// are shorter.
	clockRetention = time.Minute
)

// Interval returns the time between two rounds of delegations for a number of entries.
func Interval(entries int) time.Duration {
	return max(minInterval, time.Duration(entries)*intervalPerEntry)
}

// TTL returns how long a delegation lasts for a number of entries.
func TTL(entries int) time.Duration { return time.Duration(ttlRounds * float64(Interval(entries))) }

// Process is one process of an entry that may be a limit owner.
type Process struct {
	ID instance.ID
	// Run distinguishes the processes of an instance.
	Run string
}

// Owners are the owners to which the slots are to be delegated, by slot.
type Owners [Slots]Process

// Delegator decides to which owners an entry delegates its share. Set Started before
// use. It is not safe for concurrent use.
type Delegator struct {
	// Started is when this process started. The entry's previous process may have
	// delegated the same share a moment earlier.
	Started time.Time
	// FormerOwners are the entries that may have been owners then.
	FormerOwners []instance.ID

	// held are the slots of this entry's share that the processes on other instances
	// report as delegated to them. A process that started later than this one holds
	// none.
	held map[instance.ID]SlotSet
	// bindings are the owners that may still use a slot, and until when.
	bindings [Slots]binding
	clocks   map[Process]clockReading
}

// binding is a slot's delegation.
type binding struct {
	to    Process
	until time.Time
}

// clockReading is an owner's clock and when this entry received it.
type clockReading struct {
	stamp Uptime
	at    time.Time
}

// Delegations returns the delegations to send, by owner, and records them as made. An
// owner without a recent clock reading gets an empty delegation, whose reply
// carries its clock.
func (l *Delegator) Delegations(owners Owners, self instance.ID, entries int, now time.Time) map[Process]Delegation {
	out := make(map[Process]Delegation)
	ttl := TTL(entries)
	formerExpired := now.Sub(l.Started) >= ttl+clockDrift

	for slot, to := range owners {
		if to.ID == "" {
			continue
		}

		delegation, begun := out[to]
		if !begun {
			delegation = Delegation{Entry: self}
		}

		reading, known := l.clocks[to]
		fresh := known && now.Sub(reading.at) < ttl

		if fresh && l.available(slot, to, now) && (formerExpired || l.unusedByFormer(slot, to.ID)) {
			delegation.Slots = delegation.Slots.With(slot)
			delegation.Until = reading.stamp + Uptime(ttl)
			l.bind(slot, to, reading.at.Add(ttl+clockDrift))
		}

		out[to] = delegation
	}

	return out
}

// bind records that a slot is delegated at least until the given time.
func (l *Delegator) bind(slot int, to Process, until time.Time) {
	b := &l.bindings[slot]
	b.to = to

	if until.After(b.until) {
		b.until = until
	}
}

// available reports whether a slot may be delegated to an owner: this process has
// no unexpired delegation of it to another.
func (l *Delegator) available(slot int, to Process, now time.Time) bool {
	b := l.bindings[slot]

	return b.to == to || !now.Before(b.until)
}

// unusedByFormer reports whether the entry's previous process has no delegation
// of the slot to another owner than this one: all entries that may have been
// owners have answered.
//
// Without this, after a simultaneous restart of all entries, when nothing is
// delegated, no team with a limit would be served until a whole TTL had passed.
func (l *Delegator) unusedByFormer(slot int, owner instance.ID) bool {
	for _, id := range l.FormerOwners {
		held, answered := l.held[id]
		if id != owner && (!answered || held.Has(slot)) {
			return false
		}
	}

	return len(l.FormerOwners) > 0
}

// RecordDelegated records the slots of this entry's share that the process on an instance
// holds; none if no process runs there.
func (l *Delegator) RecordDelegated(id instance.ID, held SlotSet) {
	if l.held == nil {
		l.held = make(map[instance.ID]SlotSet)
	}

	l.held[id] = held
}

// RecordClock records an owner's clock; at is when its reply arrived. It reports whether
// there was no recent reading of that owner, in which case a delegation may follow
// at once.
func (l *Delegator) RecordClock(owner Process, stamp Uptime, at time.Time) bool {
	if l.clocks == nil {
		l.clocks = make(map[Process]clockReading)
	}

	old, known := l.clocks[owner]
	l.clocks[owner] = clockReading{stamp: stamp, at: at}

	for p, h := range l.clocks {
		if at.Sub(h.at) > clockRetention {
			delete(l.clocks, p)
		}
	}

	return !known || at.Sub(old.at) > minInterval*2 //nolint:mnd // Two rounds.
}

// OwnerEnded releases what was delegated to an owner's process that has ended or that
// gave back all delegations.
func (l *Delegator) OwnerEnded(owner Process) {
	delete(l.clocks, owner)

	for slot := range l.bindings {
		if l.bindings[slot].to == owner {
			l.bindings[slot] = binding{}
		}
	}
}

// OwnerOf returns the process that may use a slot of this entry's share now.
func (l *Delegator) OwnerOf(slot int, now time.Time) (Process, bool) {
	b := l.bindings[slot]

	return b.to, b.to.ID != "" && now.Before(b.until)
}
