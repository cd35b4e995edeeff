// Package history learns from each model's past uses when it will be used
// next: from the time between uses, and from the time of day, because mornings
// repeat. It does no I/O and reads no clock.
package history

import (
	"math"
	"time"
)

const (
	// gapBuckets count gaps between uses, doubling from one second on; the
	// last holds all longer ones, from six days on.
	gapBuckets = 20
	// daySlots divide the day.
	daySlots = 96
	slot     = 24 * time.Hour / daySlots
	// dayKinds tells workdays from the weekend.
	dayKinds = 2
	// dayWeight is the weight that a day's use loses to the next day of its kind.
	dayWeight = 0.25
	// gapDecay is how much older gaps lose with each new one.
	gapDecay = 0.98
	// fullProbability is the slot's full probability as a byte.
	fullProbability = 255
	// priorGaps is how many gaps the pooled experience of all models weighs
	// against a model's own.
	priorGaps = 4
)

// usage is one model's past. The zero value has none.
type usage struct {
	// gaps counts the gaps between sessions of use, by length. Counts fade.
	gaps [gapBuckets]float32
	// slots is the probability of use by kind of day and time of day, as a
	// share of unit.
	slots [dayKinds][daySlots]uint8
	// today marks the slots that were used on the day that day names.
	today [daySlots]bool
	day   int64
	last  time.Time
}

// Book keeps the pasts of all models. The zero value is empty. It is not safe
// for concurrent use.
type Book struct {
	// Location is where mornings are; nil means UTC.
	Location *time.Location

	models map[string]*usage
	pooled [gapBuckets]float32
}

func (b *Book) inLocation(t time.Time) time.Time {
	if b.Location == nil {
		return t.UTC()
	}

	return t.In(b.Location)
}

func bucketOf(gap time.Duration) int {
	seconds := gap.Seconds()
	if seconds < 1 {
		return 0
	}

	return min(int(math.Log2(seconds)), gapBuckets-1)
}

// bucketStart returns where a bucket of gaps begins.
func bucketStart(bucket int) time.Duration {
	if bucket == 0 {
		return 0
	}

	return time.Second << bucket
}

// Used records a use of the model.
func (b *Book) Used(name string, at time.Time) {
	if b.models == nil {
		b.models = make(map[string]*usage)
	}

	m := b.models[name]
	if m == nil {
		m = &usage{}
		b.models[name] = m
	}

	at = b.inLocation(at)
	m.finishDays(at)
	m.today[slotOf(at)] = true

	if !m.last.IsZero() && at.After(m.last) {
		i := bucketOf(at.Sub(m.last))

		for j := range m.gaps {
			m.gaps[j] *= gapDecay
			b.pooled[j] *= 1 - (1-gapDecay)/16 //nolint:mnd // The pool forgets more slowly.
		}

		m.gaps[i]++
		b.pooled[i]++
	}

	if at.After(m.last) {
		m.last = at
	}
}

func dayOf(t time.Time) int64 {
	_, offset := t.Zone()

	return (t.Unix() + int64(offset)) / int64((24 * time.Hour).Seconds())
}

func kindOf(day int64) int {
	// Day zero of the count was a Thursday.
	const thursday, days = 4, 7
	if weekday := (day + thursday) % days; weekday == 0 || weekday == days-1 {
		return 1
	}

	return 0
}

func slotOf(t time.Time) int {
	return (t.Hour()*60 + t.Minute()) / int(slot.Minutes()) //nolint:mnd // Minutes of an hour.
}

// finishDays folds finished days into the slots' probabilities.
func (m *usage) finishDays(now time.Time) {
	day := dayOf(now)
	if m.day == 0 {
		m.day = day

		return
	}

	const most = 14

	for m.day = max(m.day, day-most); m.day < day; m.day++ {
		slots := &m.slots[kindOf(m.day)]
		for i := range slots {
			target := 0.0
			if m.today[i] {
				target = fullProbability
			}

			slots[i] = uint8(math.Round(float64(slots[i]) + dayWeight*(target-float64(slots[i]))))
		}

		m.today = [daySlots]bool{}
	}
}

// Rate returns how many uses a second the model may be expected to get at its
// busiest moment between now and ahead from now.
func (b *Book) Rate(name string, now time.Time, ahead time.Duration) float64 {
	m := b.models[name]
	if m == nil {
		return 0
	}

	now = b.inLocation(now)
	m.finishDays(now)

	return max(b.gapRate(m, now.Sub(m.last), ahead), m.slotRate(now, ahead))
}

// gapRate is the hazard of the gaps: given that the model was idle for so
// long, how likely is it to be used in the next moment. Few own gaps lean on
// the experience of all models.
func (b *Book) gapRate(m *usage, idle, ahead time.Duration) float64 {
	var pooled float64
	for _, n := range b.pooled {
		pooled += float64(n)
	}

	// survivors are the gaps that lasted at least as long as the bucket.
	survivors := 0.0
	best := 0.0

	first, last := bucketOf(idle), bucketOf(idle+ahead)

	for i := gapBuckets - 1; i >= first; i-- {
		n := float64(m.gaps[i])
		if pooled > 0 {
			n += priorGaps * float64(b.pooled[i]) / pooled
		}

		survivors += n

		if i <= last && survivors > 0 {
			width := (bucketStart(i+1) - bucketStart(i)).Seconds()
			best = max(best, n/survivors/width)
		}
	}

	return best
}

// slotRate is the rate of the time of day. A slot's neighbours count half, so
// that a morning that begins a little earlier is met as well.
func (m *usage) slotRate(now time.Time, ahead time.Duration) float64 {
	best := 0.0

	for t := now; ; t = t.Add(slot) {
		if t.After(now.Add(ahead)) {
			t = now.Add(ahead)
		}

		best = max(best, m.slotProbability(t))

		if !t.Before(now.Add(ahead)) {
			break
		}
	}

	// Of a probability p within the slot, the rate is that of a process which
	// has none with 1-p.
	const sure = 0.98

	return -math.Log(1-min(best, sure)) / slot.Seconds()
}

func (m *usage) slotProbability(t time.Time) float64 {
	slots := &m.slots[kindOf(dayOf(t))]
	at := slotOf(t)
	here := float64(slots[at]) / fullProbability
	before := float64(slots[(at+daySlots-1)%daySlots]) / fullProbability
	after := float64(slots[(at+1)%daySlots]) / fullProbability

	return max(here, before/2, after/2) //nolint:mnd // Neighbours count half.
}

// Candidates returns the models whose rate within ahead is at least the
// least rate, in no order.
func (b *Book) Candidates(now time.Time, ahead time.Duration, least float64) []string {
	var out []string

	for name := range b.models {
		if b.Rate(name, now, ahead) >= least {
			out = append(out, name)
		}
	}

	return out
}

// Len returns how many models have a past.
func (b *Book) Len() int { return len(b.models) }
