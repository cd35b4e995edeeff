package memory

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minStalled is how long a client must have read nothing before it is cut off
	// because memory is short. The time decreases to zero at the limit; a write
	// that is blocked then has been blocked for some time already.
	minStalled = time.Second
	// minIdle is how long a connection must have been idle before it is closed because
	// memory is short. A client may have sent a request on one that was used just now.
	minIdle = time.Second
	// shortInterval is the least time between two calls of OnShort: what is held may
	// cross the threshold many times a second.
	shortInterval = time.Second
	// reclaimInterval is the time between two rounds of cutting off. The memory of a
	// client that was cut off is released within it.
	reclaimInterval = 20 * time.Millisecond
)

// startReclaim starts cutting off clients that do not read, if that has not started
// yet. It ends when the memory held is below the threshold.
func (a *Account) startReclaim() {
	if a.reclaiming.Load() || !a.reclaiming.CompareAndSwap(false, true) {
		return
	}

	go func() {
		defer a.reclaiming.Store(false)

		if now := time.Now(); a.OnShort != nil && now.Sub(a.shortAt) >= shortInterval {
			a.shortAt = now
			a.OnShort(a.Held())
		}

		for {
			excess := a.total.Load() - a.limit*reclaimFrom/eighths
			if excess <= 0 {
				return
			}

			for _, c := range a.selectCandidates(excess, time.Now()) {
				c.holding.cut(c.stalled)
			}

			time.Sleep(reclaimInterval)
		}
	}()
}

// stalledFor returns how long a client must have read nothing before it is cut off.
func (a *Account) stalledFor() time.Duration {
	threshold := float64(a.limit) * reclaimFrom / eighths
	above := (float64(a.total.Load()) - threshold) / (float64(a.limit) - threshold)

	return max(0, minStalled-time.Duration(above*float64(minStalled)))
}

// candidate is a client that may be cut off.
type candidate struct {
	holding *Holding
	held    int64
	stalled time.Duration
}

// selectCandidates selects the clients to be cut off until excess bytes are released.
//
// What idle connections hold beyond their half of the limit is left to them: they are closed once the
// limit is reached, and no client in progress is cut off in their place.
func (a *Account) selectCandidates(excess int64, now time.Time) []candidate {
	a.mu.Lock()
	defer a.mu.Unlock()

	least := a.stalledFor()
	ofIdle := max(0, a.idleBytes()-a.limit/2) //nolint:mnd // Half.

	selected, left := a.selectStalled(excess-ofIdle, least, now)
	if least == 0 && ofIdle > 0 {
		selected = append(selected, a.selectIdle(left+ofIdle, now)...)
	}

	return selected
}

// selectStalled selects clients that have read nothing for the least time or longer: each time the one
// that has for the longest, of the team that then holds most. It also returns how much of the excess is
// left. The caller holds the lock.
func (a *Account) selectStalled(excess int64, least time.Duration, now time.Time) ([]candidate, int64) {
	byTeam := make(map[*teamSum][]candidate)

	for h := range a.holdings {
		since := h.stalledSince.Load()
		stalled := time.Duration(a.sinceEpoch(now) - since)

		switch {
		case h.cutOff:
			// Its memory is about to be released.
			excess -= h.held.Load() + h.base
		case since > 0 && stalled >= least:
			byTeam[h.team] = append(byTeam[h.team], candidate{h, h.held.Load(), stalled})
		}
	}

	left := make(map[*teamSum]int64, len(byTeam))

	for t, list := range byTeam {
		slices.SortFunc(list, func(x, y candidate) int { return cmp.Compare(x.stalled, y.stalled) })

		left[t] = t.held.Load()
	}

	var selected []candidate

	for excess > 0 && len(byTeam) > 0 {
		var most *teamSum

		for t := range byTeam {
			if most == nil || left[t] > left[most] {
				most = t
			}
		}

		list := byTeam[most]
		c := list[len(list)-1]
		c.holding.cutOff = true
		selected = append(selected, c)
		left[most] -= c.held
		excess -= c.held

		if byTeam[most] = list[:len(list)-1]; len(byTeam[most]) == 0 {
			delete(byTeam, most)
		}
	}

	return selected, excess
}

// idleBytes returns what idle connections take. The caller holds the lock.
func (a *Account) idleBytes() int64 {
	sum := int64(0)

	for h := range a.holdings {
		if h.idleSince.Load() != 0 && !h.cutOff {
			sum += h.base
		}
	}

	return sum
}

// selectIdle selects idle connections, those that have been idle for the longest time first. Clients may
// be about to use them, so they are closed only if they are the reason why memory is short. The caller
// holds the lock.
func (a *Account) selectIdle(excess int64, now time.Time) []candidate {
	type idleConn struct {
		candidate

		since int64
	}

	var idle []idleConn

	latest := a.sinceEpoch(now) - int64(minIdle)

	for h := range a.holdings {
		if since := h.idleSince.Load(); since != 0 && !h.cutOff && since <= latest {
			idle = append(idle, idleConn{candidate{holding: h, held: h.base}, since})
		}
	}

	slices.SortFunc(idle, func(x, y idleConn) int { return cmp.Compare(x.since, y.since) })

	var selected []candidate

	for _, c := range idle {
		if excess <= 0 {
			break
		}

		c.holding.cutOff = true
		excess -= c.held
		selected = append(selected, c.candidate)
	}

	return selected
}
