// Package crash finds requests that crash the targets they run on. It does no
// I/O and reads no clock.
package crash

import (
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
)

const (
	// deathsToBlock is after how many dead targets a request is stopped.
	deathsToBlock = 2
	// memory is how long a death is held against a request that is not
	// blocked, and how long a block lasts.
	memory = 10 * time.Minute
	// maxSuspects bounds the book. Blocked requests are kept longest.
	maxSuspects = 4096
)

// Book records which requests ran on targets that died. The zero value is
// empty. It is not safe for concurrent use.
//
// It guards against one request that crashes every target that runs it: its
// caller and the retries would take down the pool one target after another.
// A request is blocked once two targets died under it. Requests that merely
// ran beside it are suspects after the first death, and the router runs each
// suspect apart from other suspects, so a bystander's second target survives
// and Cleared takes it off the book.
type Book struct {
	suspects map[request.Fingerprint]*suspect
}

type suspect struct {
	deaths  map[Death]bool
	blocked bool
	until   time.Time
}

// Death names one death of a target: that of one of its incarnations.
type Death struct {
	Target      instance.ID
	Incarnation string
}

// Died records that a target died while the request ran on it. It reports
// whether the request became blocked by it. A death counts once, however often
// the request was sent to the target before its death was known.
func (b *Book) Died(fp request.Fingerprint, d Death, now time.Time) bool {
	s := b.get(fp, now)
	s.deaths[d] = true
	s.until = now.Add(memory)

	if s.blocked || len(s.deaths) < deathsToBlock {
		return false
	}

	s.blocked = true

	return true
}

// Block records that a peer blocked the request.
func (b *Book) Block(fp request.Fingerprint, now time.Time) {
	s := b.get(fp, now)
	s.blocked = true
	s.until = now.Add(memory)
}

// Cleared records that the request ran to its end.
func (b *Book) Cleared(fp request.Fingerprint) {
	if s := b.suspects[fp]; s != nil && !s.blocked {
		delete(b.suspects, fp)
	}
}

// Blocked reports whether the request is to be refused, and for how long.
func (b *Book) Blocked(fp request.Fingerprint, now time.Time) (time.Duration, bool) {
	s := b.suspects[fp]
	if s == nil || !s.blocked || !now.Before(s.until) {
		return 0, false
	}

	return s.until.Sub(now), true
}

// Suspect reports whether a target died under the request lately.
func (b *Book) Suspect(fp request.Fingerprint, now time.Time) bool {
	s := b.suspects[fp]

	return s != nil && now.Before(s.until)
}

// BlockedNow returns all blocked requests.
func (b *Book) BlockedNow(now time.Time) []request.Fingerprint {
	var out []request.Fingerprint

	for fp, s := range b.suspects {
		if s.blocked && now.Before(s.until) {
			out = append(out, fp)
		}
	}

	return out
}

func (b *Book) get(fp request.Fingerprint, now time.Time) *suspect {
	if b.suspects == nil {
		b.suspects = make(map[request.Fingerprint]*suspect)
	}

	s := b.suspects[fp]
	if s == nil || !now.Before(s.until) {
		b.shrink(now)

		s = &suspect{deaths: make(map[Death]bool)}
		b.suspects[fp] = s
	}

	return s
}

// shrink drops what has expired, and one more entry if the book is full.
func (b *Book) shrink(now time.Time) {
	if len(b.suspects) < maxSuspects {
		return
	}

	var oldest request.Fingerprint

	var found *suspect

	for fp, s := range b.suspects {
		if !now.Before(s.until) {
			delete(b.suspects, fp)

			continue
		}

		if found == nil || !s.blocked && found.blocked || s.blocked == found.blocked && s.until.Before(found.until) {
			oldest, found = fp, s
		}
	}

	if len(b.suspects) >= maxSuspects {
		delete(b.suspects, oldest)
	}
}

// Len returns how many requests are on the book.
func (b *Book) Len() int { return len(b.suspects) }
