package quota

import (
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

const (
	// lendLeast is the least time between two loans to a home, and lendPace the
	// same for each entry that there is, so that a home's work has a bound. Loans are
	// short, because what is lent to a home that dies is not there until they end.
	lendLeast = 250 * time.Millisecond
	lendPace  = 2 * time.Millisecond
	// termRounds is for how many rounds a share is lent, so that one that is lost
	// does not end the loan.
	termRounds = 2.5
	// drift is how much longer an entry keeps to a loan than the home, whose
	// clock may run slower.
	drift = 50 * time.Millisecond
	// forgetReceipts is after what time a home's clock is forgotten; loans are
	// shorter.
	forgetReceipts = time.Minute
)

// Every returns the time between two rounds of loans among so many entries.
func Every(entries int) time.Duration {
	return max(lendLeast, time.Duration(entries)*lendPace)
}

// Term returns for how long a share is lent among so many entries.
func Term(entries int) time.Duration { return time.Duration(termRounds * float64(Every(entries))) }

// Process is one process of an entry that may be a home.
type Process struct {
	ID instance.ID
	// Run tells the processes of an instance apart.
	Run string
}

// Homes are whom to lend each slot.
type Homes [Slots]Process

// Lender decides to whom an entry lends its share. Set Started before use. It is
// not safe for concurrent use.
type Lender struct {
	// Started is when this process started. The process before it may have lent
	// the same share a moment earlier.
	Started time.Time
	// Former are the entries that may have been homes then.
	Former []instance.ID

	// held are what the processes on instances say that this entry has lent them.
	// A process that started later than this one holds nothing.
	held map[instance.ID]SlotSet
	// bound are the homes that may still use a slot, until when.
	bound [Slots]bond
	heard map[Process]receipt
}

// bond is a slot that is lent.
type bond struct {
	to    Process
	until time.Time
}

// receipt is a home's clock, as heard at a time of this entry.
type receipt struct {
	stamp Stamp
	at    time.Time
}

// Loans returns what to lend to whom. A home that was not heard lately is asked
// for its clock, by a loan of nothing. What is returned counts as lent.
func (l *Lender) Loans(homes Homes, self instance.ID, entries int, now time.Time) map[Process]Loan {
	out := make(map[Process]Loan)
	term := Term(entries)
	settled := now.Sub(l.Started) >= term+drift

	for slot, to := range homes {
		if to.ID == "" {
			continue
		}

		loan, begun := out[to]
		if !begun {
			loan = Loan{Entry: self}
		}

		h, known := l.heard[to]
		fresh := known && now.Sub(h.at) < term

		if fresh && l.free(slot, to, now) && (settled || l.unlent(slot, to.ID)) {
			loan.Slots = loan.Slots.With(slot)
			loan.Until = h.stamp + Stamp(term)
			l.bind(slot, to, h.at.Add(term+drift))
		}

		out[to] = loan
	}

	return out
}

// bind notes that a slot is lent, until a time at least.
func (l *Lender) bind(slot int, to Process, until time.Time) {
	b := &l.bound[slot]
	b.to = to

	if until.After(b.until) {
		b.until = until
	}
}

// free reports whether a slot may be lent to a home: this process has lent it to
// nobody else.
func (l *Lender) free(slot int, to Process, now time.Time) bool {
	b := l.bound[slot]

	return b.to == to || !now.Before(b.until)
}

// unlent reports whether a former process of this entry has lent a slot to nobody
// but the home: all that may have been homes have answered.
//
// It answers the restart of all entries at once, after which nothing was lent and
// no team with a limit is served until shares are.
func (l *Lender) unlent(slot int, home instance.ID) bool {
	for _, id := range l.Former {
		held, answered := l.held[id]
		if id != home && (!answered || held.Has(slot)) {
			return false
		}
	}

	return len(l.Former) > 0
}

// Holds takes in what the process on an instance holds of this entry's share;
// where no process runs, that is nothing.
func (l *Lender) Holds(id instance.ID, held SlotSet) {
	if l.held == nil {
		l.held = make(map[instance.ID]SlotSet)
	}

	l.held[id] = held
}

// Heard takes in a home's clock. at is when its answer arrived. It reports whether the
// home was not known lately, so that a loan may follow at once.
func (l *Lender) Heard(home Process, stamp Stamp, at time.Time) bool {
	if l.heard == nil {
		l.heard = make(map[Process]receipt)
	}

	old, known := l.heard[home]
	l.heard[home] = receipt{stamp: stamp, at: at}

	for p, h := range l.heard {
		if at.Sub(h.at) > forgetReceipts {
			delete(l.heard, p)
		}
	}

	return !known || at.Sub(old.at) > lendLeast*2 //nolint:mnd // Two rounds.
}

// Ended frees what was lent to a home's process that has ended or that gave all
// loans back.
func (l *Lender) Ended(home Process) {
	delete(l.heard, home)

	for slot := range l.bound {
		if l.bound[slot].to == home {
			l.bound[slot] = bond{}
		}
	}
}

// With returns who may use a slot of this entry's share now.
func (l *Lender) With(slot int, now time.Time) (Process, bool) {
	b := l.bound[slot]

	return b.to, b.to.ID != "" && now.Before(b.until)
}
