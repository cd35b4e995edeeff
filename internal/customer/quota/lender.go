package quota

import (
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

const (
	// lendLeast is the least time between two loans to a home, and lendPace the
	// same for each entry that there is: a home takes at most 500 a second.
	lendLeast = 500 * time.Millisecond
	lendPace  = 2 * time.Millisecond
	// termRounds is for how many rounds a share is lent, so that one that is lost
	// does not end the loan.
	termRounds = 2.5
	// drift is how much longer an entry keeps to a loan than the home, whose
	// clock may run slower.
	drift = 50 * time.Millisecond
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

// Lender decides to whom an entry lends its share of each group. Set Started
// before use. It is not safe for concurrent use.
type Lender struct {
	// Started is when this process started. The process before it may have lent
	// the same share a moment earlier, so that nothing is lent for one term.
	Started time.Time

	// bound are the homes that may still use this entry's share, until when.
	bound [Groups]bond
	heard map[Process]receipt
}

// bond is a share that is lent.
type bond struct {
	to    Process
	until time.Time
}

// receipt is a home's clock, as heard at a time of this entry.
type receipt struct {
	stamp Stamp
	at    time.Time
}

// Loans returns what to lend to whom, when the homes of all groups are known. A
// home that was not heard lately is asked for its clock, by a loan of nothing.
// What is returned counts as lent.
func (l *Lender) Loans(homes [Groups]Process, self instance.ID, entries int, now time.Time) map[Process]Loan {
	out := make(map[Process]Loan)
	term := Term(entries)

	for g, to := range homes {
		if to.ID == "" {
			continue
		}

		loan, started := out[to]
		if !started {
			loan = Loan{Entry: self}
		}

		r, heard := l.heard[to]
		fresh := heard && now.Sub(r.at) < term

		if fresh && l.free(g, to, now, term) {
			loan.Groups = loan.Groups.With(g)
			loan.Until = r.stamp + Stamp(term)
			l.bound[g] = bond{to: to, until: later(l.bound[g].until, r.at.Add(term+drift))}
		}

		out[to] = loan
	}

	return out
}

// free reports whether a share may be lent to a home: nobody else can use it.
func (l *Lender) free(group int, to Process, now time.Time, term time.Duration) bool {
	if now.Sub(l.Started) < term+drift {
		return false
	}

	b := l.bound[group]

	return b.to == to || !now.Before(b.until)
}

// Heard takes in a home's clock. at is when its answer arrived. It reports
// whether the home was not known before, so that a loan may follow at once.
func (l *Lender) Heard(home Process, stamp Stamp, at time.Time) bool {
	if l.heard == nil {
		l.heard = make(map[Process]receipt)
	}

	old, known := l.heard[home]
	l.heard[home] = receipt{stamp: stamp, at: at}

	for p, r := range l.heard {
		if at.Sub(r.at) > forgetReceipts {
			delete(l.heard, p)
		}
	}

	return !known || at.Sub(old.at) > lendLeast*2 //nolint:mnd // Two rounds.
}

// forgetReceipts is after what time a home's clock is forgotten; loans are
// shorter.
const forgetReceipts = time.Minute

// Ended frees what was lent to a home's process that has ended or that gave all
// loans back.
func (l *Lender) Ended(home Process) {
	delete(l.heard, home)

	for g := range l.bound {
		if l.bound[g].to == home {
			l.bound[g] = bond{}
		}
	}
}

// With returns who may use this entry's share of a group now.
func (l *Lender) With(group int, now time.Time) (Process, bool) {
	b := l.bound[group]

	return b.to, b.to.ID != "" && now.Before(b.until)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}
