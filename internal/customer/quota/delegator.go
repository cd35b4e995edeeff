package quota

import (
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

const (
	// minInterval is the shortest time between two rounds of delegations. With many
	// entries the interval is intervalPerEntry for each of them, so that the work of
	// an owner is bounded. Delegations are short, because what is delegated to an
	// owner that crashes is unavailable until they expire.
	minInterval      = 250 * time.Millisecond
	intervalPerEntry = 2 * time.Millisecond
	// ttlRounds and ttlMargin are how long a delegation lasts from the owner's clock
	// reading. The reading is one round old when the delegation is sent, and the
	// delegation must last until the next one arrives. The margin covers lost messages
	// and late rounds: an entry that has used its share of the processor runs 100 to
	// 300 ms late, and with 2.5 rounds and no margin up to 0.3 of a limit was not
	// delegated at any time. The margin does not grow with the interval, because a limit's
	// part is unused that long when its owner freezes.
	ttlRounds = 2
	ttlMargin = 750 * time.Millisecond
	// clockDrift is how much longer an entry honours a delegation than the owner,
	// whose clock may run slower.
	clockDrift = 50 * time.Millisecond
	// clockRetention is how long an owner's clock reading is retained. No
	// delegation lasts that long.
	clockRetention = time.Minute
)

// Interval returns the time between two rounds of delegations for a number of entries.
func Interval(entries int) time.Duration {
	return max(minInterval, time.Duration(entries)*intervalPerEntry)
}

// TTL returns how long a delegation lasts for a number of entries.
func TTL(entries int) time.Duration { return ttlRounds*Interval(entries) + ttlMargin }

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
	// FormerOwners are the entries that may have been owners when the entry's previous
	// process delegated its share.
	FormerOwners []instance.ID

	// reported are the slots of this entry's share that the processes on other
	// instances report as delegated to them. For a process that started later than
	// this one the set is empty.
	reported map[instance.ID]SlotSet
	// bySlot is, for each slot, the owner to which it was last delegated and until
	// when that owner may use it.
	bySlot [Slots]slotDelegation
	clocks map[Process]clockReading
}

// slotDelegation is a slot's last delegation. The zero value means none.
type slotDelegation struct {
	to    Process
	until time.Time
}

// clockReading is an owner's clock and when this entry received it.
type clockReading struct {
	stamp Uptime
	at    time.Time
}

// Delegations returns the delegations to send, by owner, and records them. To an
// owner without a recent clock reading it sends an empty delegation; the owner's
// reply contains its clock.
func (d *Delegator) Delegations(owners Owners, self instance.ID, entries int, now time.Time) map[Process]Delegation {
	out := make(map[Process]Delegation)
	ttl := TTL(entries)
	formerExpired := now.Sub(d.Started) >= ttl+clockDrift

	for slot, to := range owners {
		if to.ID == "" {
			continue
		}

		delegation, begun := out[to]
		if !begun {
			delegation = Delegation{Entry: self}
		}

		reading, known := d.clocks[to]
		fresh := known && now.Sub(reading.at) < ttl

		if fresh && d.available(slot, to, now) && (formerExpired || d.unusedByFormer(slot, to.ID)) {
			delegation.Slots = delegation.Slots.With(slot)
			delegation.Until = reading.stamp + Uptime(ttl)
			d.assign(slot, to, reading.at.Add(ttl+clockDrift))
		}

		out[to] = delegation
	}

	return out
}

// assign records that a slot is delegated to an owner at least until the given time.
func (d *Delegator) assign(slot int, to Process, until time.Time) {
	s := &d.bySlot[slot]
	s.to = to

	if until.After(s.until) {
		s.until = until
	}
}

// available reports whether a slot may be delegated to an owner: this process has
// no unexpired delegation of it to another.
func (d *Delegator) available(slot int, to Process, now time.Time) bool {
	s := d.bySlot[slot]

	return s.to == to || !now.Before(s.until)
}

// unusedByFormer reports whether it is proved that the entry's previous process has
// not delegated the slot to another owner: all other entries that may have been
// owners have answered, and none reports the slot.
//
// Without this, after a simultaneous restart of all entries, when nothing is
// delegated, no team with a limit would be served until a whole TTL had passed.
func (d *Delegator) unusedByFormer(slot int, owner instance.ID) bool {
	for _, id := range d.FormerOwners {
		slots, answered := d.reported[id]
		if id != owner && (!answered || slots.Has(slot)) {
			return false
		}
	}

	return len(d.FormerOwners) > 0
}

// RecordDelegated records which slots of this entry's share are delegated to the
// process on an instance. If no process runs there, slots is empty.
func (d *Delegator) RecordDelegated(id instance.ID, slots SlotSet) {
	if d.reported == nil {
		d.reported = make(map[instance.ID]SlotSet)
	}

	d.reported[id] = slots
}

// RecordClock records an owner's clock; at is when its reply arrived. It reports whether
// there was no recent reading of that owner, in which case a delegation may follow
// at once.
func (d *Delegator) RecordClock(owner Process, stamp Uptime, at time.Time) bool {
	if d.clocks == nil {
		d.clocks = make(map[Process]clockReading)
	}

	old, known := d.clocks[owner]
	d.clocks[owner] = clockReading{stamp: stamp, at: at}

	for process, reading := range d.clocks {
		if at.Sub(reading.at) > clockRetention {
			delete(d.clocks, process)
		}
	}

	return !known || at.Sub(old.at) > minInterval*2 //nolint:mnd // Two rounds of the shortest interval.
}

// ForgetOwner deletes the delegations to an owner's process that has ended or has
// released them all, so that their slots can be delegated again.
func (d *Delegator) ForgetOwner(owner Process) {
	delete(d.clocks, owner)

	for slot := range d.bySlot {
		if d.bySlot[slot].to == owner {
			d.bySlot[slot] = slotDelegation{}
		}
	}
}

// OwnerOf returns the process that may use a slot of this entry's share now.
func (d *Delegator) OwnerOf(slot int, now time.Time) (Process, bool) {
	s := d.bySlot[slot]

	return s.to, s.to.ID != "" && now.Before(s.until)
}
