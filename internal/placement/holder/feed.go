package holder

import (
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/inventory"
)

const (
	// firstWidth is how many loads the weight store is taken to carry at full
	// speed until its loads tell, and widthStep by how many more are tried.
	firstWidth = 4
	widthStep  = 2
	// slowLoad is how many times as long as said a load takes when the store
	// carries too many, and overdueLoad the same for one that has not ended.
	slowLoad    = 1.3
	overdueLoad = 1.6
	// rowAge is how much later than a load ends the list shows it.
	rowAge = 800 * time.Millisecond
	// blindAfter is after how long without a row of the list nothing is learnt
	// from the loads in flight, whose ends may have been missed.
	blindAfter = 2500 * time.Millisecond
	// triedFor is for how long a width that was too large is not tried again.
	triedFor = time.Minute
)

// feed learns how many loads the weight store carries at full speed, which
// nobody says, from how long they take. The zero value has seen none.
//
// It guards against loads that are foretold as if alone while the store shares
// its speed among more than it carries, and against targets that wait for a store
// that could carry more.
type feed struct {
	// width is how many loads the store is taken to carry; zero means firstWidth.
	width float64
	// tried is until when no larger width is tried.
	tried time.Time
	// sum is the loads in flight times the seconds that they were, up to at.
	sum   float64
	at    time.Time
	heard time.Time
	loads map[instance.ID]feedLoad
}

// feedLoad is a load from the weight store that was accepted.
type feedLoad struct {
	model    string
	began    time.Time
	expected time.Duration
	sum      float64
	blind    bool
}

// carries returns how many loads the store carries at full speed.
func (f *feed) carries() float64 {
	if f.width == 0 {
		return firstWidth
	}

	return f.width
}

// slower returns how many times as long as said a load takes that begins beside
// so many others.
func (f *feed) slower(others int) float64 {
	return max(1, float64(others+1)/f.carries())
}

func (f *feed) count(now time.Time) {
	f.sum += float64(len(f.loads)) * now.Sub(f.at).Seconds()
	f.at = now
}

// begin notes a load that was accepted.
func (f *feed) begin(id instance.ID, model string, expected time.Duration, now time.Time) {
	f.count(now)

	if f.loads == nil {
		f.loads = make(map[instance.ID]feedLoad)
	}

	f.loads[id] = feedLoad{model: model, began: now, expected: max(expected, time.Second), sum: f.sum}
}

// see takes in a new row of the list.
func (f *feed) see(t inventory.Target, now time.Time) {
	if now.Sub(f.heard) > blindAfter {
		for id, l := range f.loads {
			l.blind = true
			f.loads[id] = l
		}
	}

	f.heard = now
	f.count(now)

	l, loads := f.loads[t.ID]
	if !loads {
		return
	}

	for _, held := range t.Held {
		if held.Model == l.model {
			f.learn(l, now.Add(-rowAge), slowLoad)
			f.drop(t.ID, now)

			return
		}
	}
}

// drop forgets a load that has ended, or whose target is gone.
func (f *feed) drop(id instance.ID, now time.Time) {
	f.count(now)
	delete(f.loads, id)
}

// overdue learns from loads that should have ended.
func (f *feed) overdue(now time.Time) {
	f.count(now)

	for _, l := range f.loads {
		if now.Sub(l.began) > time.Duration(overdueLoad*float64(l.expected)) {
			f.learn(l, now, overdueLoad)
		}
	}
}

// learn judges the width by a load that lasted until the time given, or lasts
// yet. The loads in flight must be counted up to now.
func (f *feed) learn(l feedLoad, until time.Time, slow float64) {
	took := until.Sub(l.began)
	if l.blind || took <= 0 {
		return
	}

	beside := (f.sum - l.sum) / f.at.Sub(l.began).Seconds()
	longer := took.Seconds() / l.expected.Seconds()

	switch {
	case longer >= slow:
		f.width = max(1, min(f.carries(), beside/longer))
		f.tried = until.Add(triedFor)
	case slow == slowLoad && beside+1 > f.carries() && until.After(f.tried):
		f.width = f.carries() + widthStep
	}
}
