// Package crash detects poison requests, which crash the targets that run them.
// It does no I/O and reads no clock.
package crash

import (
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
)

const (
	// deathsToBlock is the number of deaths after which a request is blocked.
	deathsToBlock = 2
	// answeredDeathsToBlock is the same for a request that was answered whole
	// lately. Links of targets that fail in a row look like deaths.
	answeredDeathsToBlock = 4
	// retention is how long a request stays a suspect after a death, and how
	// long a block lasts.
	retention = 10 * time.Minute
	// maxRecords bounds the registry. Records of blocked requests are evicted
	// last.
	maxRecords = 4096
)

// Registry records which requests ran on targets that died. The zero value is
// empty. It is not safe for concurrent use.
//
// Retries of a poison request, by its client or by entries, would crash all
// targets one after another. A request is therefore blocked after two targets
// died while they ran it. After the first death, all requests that ran on that
// target are suspects. Each suspect is then run on a target without other
// suspects, so that a harmless one completes and RecordAnswer removes its record.
type Registry struct {
	records  map[request.Fingerprint]*record
	answered answeredRequests
}

type record struct {
	deaths  map[Death]bool
	blocked bool
	until   time.Time
}

// Death identifies the death of one incarnation of a target.
type Death struct {
	Target      instance.ID
	Incarnation string
}

// RecordDeath records that a target died while it ran the request. It reports
// whether this blocked the request. A death counts once, however often the
// request was sent to the target before the death was detected.
func (r *Registry) RecordDeath(fp request.Fingerprint, d Death, now time.Time) bool {
	rec := r.get(fp, now)
	rec.deaths[d] = true
	rec.until = now.Add(retention)

	if rec.blocked || len(rec.deaths) < r.deathsToBlock(fp, now) {
		return false
	}

	rec.blocked = true

	return true
}

func (r *Registry) deathsToBlock(fp request.Fingerprint, now time.Time) int {
	if r.answered.has(fp, now) {
		return answeredDeathsToBlock
	}

	return deathsToBlock
}

// Block blocks a request that a peer has blocked. It reports false, and does not
// block the request, if it was answered whole lately.
func (r *Registry) Block(fp request.Fingerprint, now time.Time) bool {
	if r.answered.has(fp, now) {
		return false
	}

	rec := r.get(fp, now)
	rec.blocked = true
	rec.until = now.Add(retention)

	return true
}

// Unblock records that a peer has had a blocked request answered whole. It reports
// whether this ended the block, which it does unless too many targets have died
// for a request that was answered.
func (r *Registry) Unblock(fp request.Fingerprint, now time.Time) bool {
	r.answered.add(fp, now)

	rec := r.records[fp]
	if rec == nil || !rec.blocked || len(rec.deaths) >= answeredDeathsToBlock {
		return false
	}

	rec.blocked = false

	return true
}

// RecordAnswer records that a target has answered the request whole, and removes
// its record unless it is blocked.
func (r *Registry) RecordAnswer(fp request.Fingerprint, now time.Time) {
	r.answered.add(fp, now)

	if rec := r.records[fp]; rec != nil && !rec.blocked {
		delete(r.records, fp)
	}
}

// IsBlocked reports whether the request is blocked, and for how much longer.
func (r *Registry) IsBlocked(fp request.Fingerprint, now time.Time) (time.Duration, bool) {
	rec := r.records[fp]
	if rec == nil || !rec.blocked || !now.Before(rec.until) {
		return 0, false
	}

	return rec.until.Sub(now), true
}

// IsSuspect reports whether a target died recently while it ran the request, or
// the request is blocked.
func (r *Registry) IsSuspect(fp request.Fingerprint, now time.Time) bool {
	rec := r.records[fp]

	return rec != nil && now.Before(rec.until)
}

// Blocked returns the blocked fingerprints.
func (r *Registry) Blocked(now time.Time) []request.Fingerprint {
	var out []request.Fingerprint

	for fp, rec := range r.records {
		if rec.blocked && now.Before(rec.until) {
			out = append(out, fp)
		}
	}

	return out
}

func (r *Registry) get(fp request.Fingerprint, now time.Time) *record {
	if r.records == nil {
		r.records = make(map[request.Fingerprint]*record)
	}

	rec := r.records[fp]
	if rec == nil || !now.Before(rec.until) {
		r.evict(now)

		rec = &record{deaths: make(map[Death]bool)}
		r.records[fp] = rec
	}

	return rec
}

// evict removes the expired records of a full registry, and one more if it is
// then still full.
func (r *Registry) evict(now time.Time) {
	if len(r.records) < maxRecords {
		return
	}

	var oldest request.Fingerprint

	var found *record

	for fp, rec := range r.records {
		if !now.Before(rec.until) {
			delete(r.records, fp)

			continue
		}

		if found == nil || !rec.blocked && found.blocked || rec.blocked == found.blocked && rec.until.Before(found.until) {
			oldest, found = fp, rec
		}
	}

	if len(r.records) >= maxRecords {
		delete(r.records, oldest)
	}
}

// Len returns the number of records.
func (r *Registry) Len() int { return len(r.records) }
