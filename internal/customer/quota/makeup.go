package quota

// makeUpPart is the fraction of the overrun that operators allow by which an owner
// makes up for shares that are not delegated to it. The rest is for requests that
// arrive at targets in another order than they were granted in.
const makeUpPart = 0.5

// madeUp returns the fraction of teams' limits that an owner grants when a fraction of
// them is delegated to it: up to the overrun's makeUpPart more, but no more than if all
// entries had delegated their parts.
//
// Entries that have died stay listed for 30 s and delegate nothing: with 8 of 87 dead, a
// team got 0.90 of its limit. Their shares must not be used by others, because an entry
// that is only cut off uses its share itself. The owners together never grant more
// than the operators allow, even if every part were made up for.
func (s Slack) madeUp(fraction float64) float64 {
	return max(fraction, min(wholeShare(fraction), fraction*(1+makeUpPart*s.Overrun)))
}

// wholeShare returns the fraction of the limits that an owner would have if all entries
// had delegated: one part, or all of them if it has more than one.
func wholeShare(fraction float64) float64 {
	if fraction > 1.0/Parts {
		return 1
	}

	return 1.0 / Parts
}
