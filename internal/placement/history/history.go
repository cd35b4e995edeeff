// Package history predicts when each model will be used next from its recorded
// uses: from the gaps between uses and from the time of day, because daily
// patterns such as mornings repeat. It does no I/O and reads no clock.
package history

import (
	"math"
	"time"
)

const (
	// gapBuckets is the number of histogram buckets for the gaps between uses.
	// The first holds gaps below two seconds; each later one starts at twice
	// the start of the one before (2 s, 4 s, ...), and the last one holds all
	// gaps of 2^19 seconds (about six days) and more.
	gapBuckets = 20
	// daySlots is the number of slots of a day.
	daySlots = 96
	slot     = 24 * time.Hour / daySlots
	// dayKinds is the number of kinds of days: workdays and weekends.
	dayKinds = 2
	// dayWeight is the weight of a day's use in the moving average over days of
	// the same kind.
	dayWeight = 0.25
	// gapDecay is the factor by which each new gap reduces the counts of older
	// ones.
	gapDecay = 0.98
	// fullProbability is the byte that stands for a slot's probability of one.
	fullProbability = 255
	// priorGaps is the number of a model's own gaps that weigh as much as the
	// pooled gaps of all models.
	priorGaps = 4
)

// usage is the recorded use of one model. The zero value is empty.
type usage struct {
	// gaps counts the gaps between uses, by length. Older counts decay.
	gaps [gapBuckets]float32
	// slots is the probability of use by kind of day and time of day, as a
	// fraction of fullProbability.
	slots [dayKinds][daySlots]uint8
	// today marks the slots in which the model was used on the current day,
	// whose number since 1970 is day.
	today [daySlots]bool
	day   int64
	last  time.Time
}

// Registry holds the recorded use of all models. The zero value is empty. It is
// not safe for concurrent use.
type Registry struct {
	// Location is the time zone of the days; nil means UTC.
	Location *time.Location

	models map[string]*usage
	pooled [gapBuckets]float32
}

func (r *Registry) inLocation(t time.Time) time.Time {
	if r.Location == nil {
		return t.UTC()
	}

	return t.In(r.Location)
}

func bucketOf(gap time.Duration) int {
	seconds := gap.Seconds()
	if seconds < 1 {
		return 0
	}

	return min(int(math.Log2(seconds)), gapBuckets-1)
}

// bucketStart returns the shortest gap of a bucket.
func bucketStart(bucket int) time.Duration {
	if bucket == 0 {
		return 0
	}

	return time.Second << bucket
}

// RecordUse records a use of the model.
func (r *Registry) RecordUse(name string, at time.Time) {
	if r.models == nil {
		r.models = make(map[string]*usage)
	}

	m := r.models[name]
	if m == nil {
		m = &usage{}
		r.models[name] = m
	}

	at = r.inLocation(at)
	m.finishDays(at)
	m.today[slotOf(at)] = true

	if !m.last.IsZero() && at.After(m.last) {
		i := bucketOf(at.Sub(m.last))

		for j := range m.gaps {
			m.gaps[j] *= gapDecay
			r.pooled[j] *= 1 - (1-gapDecay)/16 //nolint:mnd // Pooled counts decay more slowly.
		}

		m.gaps[i]++
		r.pooled[i]++
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
	// Day 0 of the Unix epoch was a Thursday.
	const thursday, days = 4, 7
	if weekday := (day + thursday) % days; weekday == 0 || weekday == days-1 {
		return 1
	}

	return 0
}

func slotOf(t time.Time) int {
	return (t.Hour()*60 + t.Minute()) / int(slot.Minutes()) //nolint:mnd // Minutes of an hour.
}

// finishDays updates the slots' probabilities with the days that have ended, at
// most the last maxDays.
func (m *usage) finishDays(now time.Time) {
	day := dayOf(now)
	if m.day == 0 {
		m.day = day

		return
	}

	const maxDays = 14

	for m.day = max(m.day, day-maxDays); m.day < day; m.day++ {
		slots := &m.slots[kindOf(m.day)]
		for i := range slots {
			used := 0.0
			if m.today[i] {
				used = fullProbability
			}

			slots[i] = uint8(math.Round(float64(slots[i]) + dayWeight*(used-float64(slots[i]))))
		}

		m.today = [daySlots]bool{}
	}
}

// Rate returns the predicted number of uses per second of the model at its
// busiest moment in the given duration from now.
func (r *Registry) Rate(name string, now time.Time, ahead time.Duration) float64 {
	m := r.models[name]
	if m == nil {
		return 0
	}

	now = r.inLocation(now)
	m.finishDays(now)

	return max(r.gapRate(m, now.Sub(m.last), ahead), m.slotRate(now, ahead))
}

// gapRate returns the highest hazard rate of the gaps in the given duration
// from now: the probability per second of a use, given how long the model has
// been idle. A model with few gaps of its own is predicted mostly from the gaps
// of all models.
func (r *Registry) gapRate(m *usage, idle, ahead time.Duration) float64 {
	var pooled float64
	for _, n := range r.pooled {
		pooled += float64(n)
	}

	// atLeast is the number of gaps at least as long as the bucket.
	atLeast := 0.0
	best := 0.0

	first, last := bucketOf(idle), bucketOf(idle+ahead)

	for i := gapBuckets - 1; i >= first; i-- {
		n := float64(m.gaps[i])
		if pooled > 0 {
			n += priorGaps * float64(r.pooled[i]) / pooled
		}

		atLeast += n

		if i <= last && atLeast > 0 {
			width := (bucketStart(i+1) - bucketStart(i)).Seconds()
			best = max(best, n/atLeast/width)
		}
	}

	return best
}

// slotRate returns the rate that the time of day predicts. The probabilities of
// neighbouring slots count half, so that a use that begins somewhat earlier or
// later than usual is predicted as well.
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

	// For a use with probability p within the slot, this is the rate of a
	// Poisson process that has no event with probability 1-p.
	const maxProbability = 0.98

	return -math.Log(1-min(best, maxProbability)) / slot.Seconds()
}

func (m *usage) slotProbability(t time.Time) float64 {
	slots := &m.slots[kindOf(dayOf(t))]
	at := slotOf(t)
	here := float64(slots[at]) / fullProbability
	before := float64(slots[(at+daySlots-1)%daySlots]) / fullProbability
	after := float64(slots[(at+1)%daySlots]) / fullProbability

	return max(here, before/2, after/2) //nolint:mnd // Neighbours count half.
}

// Candidates returns the models whose rate in the given duration from now is
// minRate or more, in no particular order.
func (r *Registry) Candidates(now time.Time, ahead time.Duration, minRate float64) []string {
	var out []string

	for name := range r.models {
		if r.Rate(name, now, ahead) >= minRate {
			out = append(out, name)
		}
	}

	return out
}

// Len returns the number of models with a recorded use.
func (r *Registry) Len() int { return len(r.models) }
