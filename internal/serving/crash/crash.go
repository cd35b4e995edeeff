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
	// retention is how long a death is held against a request that is not
	// blocked, and how long a block lasts.
	retention = 10 * time.Minute
	// maxRecords bounds the book. Blocked requests are kept longest.
	maxRecords = 4096
)

// Registry records which requests ran on targets that died. The zero value is
// empty. It is not safe for concurrent use.
//
// It guards against one request that crashes every target that runs it: its
// caller and the retries would take down the pool one target after another.
// A request is blocked once two targets died under it. Requests that merely
// ran beside it are suspects after the first death, and the router runs each
// suspect apart from other suspects, so a bystander's second target survives
// and Cleared takes it off the book.
type Registry struct {
	records map[request.Fingerprint]*record
}

type record struct {
	deaths  map[Death]bool
	blocked bool
	until   time.Time
}

// Death names one death of a target: that of one of its incarnations.
type Death struct {
	Target      instance.ID
	Incarnation string
}

// RecordDeath records that a target died while the request ran on it. It reports
// whether the request became blocked by it. A death counts once, however often
// the request was sent to the target before its death was known.
func (b *Registry) RecordDeath(fp request.Fingerprint, d Death, now time.Time) bool {
	s := b.get(fp, now)
	s.deaths[d] = true
	s.until = now.Add(retention)

	if s.blocked || len(s.deaths) < deathsToBlock {
		return false
	}

	s.blocked = true

	return true
}

// Block records that a peer blocked the request.
func (b *Registry) Block(fp request.Fingerprint, now time.Time) {
	s := b.get(fp, now)
	s.blocked = true
	s.until = now.Add(retention)
}

// Clear records that the request ran to its end.
func (b *Registry) Clear(fp request.Fingerprint) {
	if s := b.records[fp]; s != nil && !s.blocked {
		delete(b.records, fp)
	}
}

// IsBlocked reports whether the request is to be refused, and for how long.
func (b *Registry) IsBlocked(fp request.Fingerprint, now time.Time) (time.Duration, bool) {
	s := b.records[fp]
	if s == nil || !s.blocked || !now.Before(s.until) {
		return 0, false
	}

	return s.until.Sub(now), true
}

// IsSuspect reports whether a target died under the request lately.
func (b *Registry) IsSuspect(fp request.Fingerprint, now time.Time) bool {
	s := b.records[fp]

	return s != nil && now.Before(s.until)
}

// Blocked returns all blocked requests.
func (b *Registry) Blocked(now time.Time) []request.Fingerprint {
	var out []request.Fingerprint

	for fp, s := range b.records {
		if s.blocked && now.Before(s.until) {
			out = append(out, fp)
		}
	}

	return out
}

func (b *Registry) get(fp request.Fingerprint, now time.Time) *record {
	if b.records == nil {
		b.records = make(map[request.Fingerprint]*record)
	}

	s := b.records[fp]
	if s == nil || !now.Before(s.until) {
		b.evict(now)

		s = &record{deaths: make(map[Death]bool)}
		b.records[fp] = s
	}

	return s
}

// evict drops what has expired, and one more entry if the book is full.
func (b *Registry) evict(now time.Time) {
	if len(b.records) < maxRecords {
		return
	}

	var oldest request.Fingerprint

	var found *record

	for fp, s := range b.records {
		if !now.Before(s.until) {
			delete(b.records, fp)

			continue
		}

		if found == nil || !s.blocked && found.blocked || s.blocked == found.blocked && s.until.Before(found.until) {
			oldest, found = fp, s
		}
	}

	if len(b.records) >= maxRecords {
		delete(b.records, oldest)
	}
}

// Len returns how many requests are on the book.
func (b *Registry) Len() int { return len(b.records) }
