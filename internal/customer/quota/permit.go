package quota

import (
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

const (
	// minPermitRate is the rate at which a target that accepts no requests still gets
	// some: only an answer shows that its limit has ended.
	minPermitRate = 0.1
	// permitBurst is how many seconds' worth of requests may reach a target at once,
	// besides one request.
	permitBurst = 0.25
	// maxPermitWait limits the wait that an entry is told.
	maxPermitWait = 5 * time.Second
	// ticketGrace is how long after its wait a refused entry may ask again without
	// losing its place. Until then a permit is kept for it.
	ticketGrace = 250 * time.Millisecond
)

// permitBucket is the token bucket of a target's rate limit, in requests. It starts
// empty, so that a new owner grants nothing that a former one may have granted.
type permitBucket struct {
	tokens

	// tickets are the entries that were refused and may ask again.
	tickets map[instance.ID]ticket
	issued  int
}

// ticket is a refused entry's place in the order in which entries ask again.
type ticket struct {
	number int
	// due is when the entry was told to ask again.
	due Uptime
}

// fill adds what has accrued, up to one request or, if that is more, to the delegated
// part of the burst.
func (b *permitBucket) fill(p *pool, perSecond float64) {
	b.tokens.fill(p.accrued, perSecond, max(1, p.fraction*(1+permitBurst*perSecond)))
}

// ahead returns how many entries have an earlier ticket than an entry, and how many
// of those are due. An entry without a ticket comes last. Tickets of entries that
// have not asked in time are dropped.
func (b *permitBucket) ahead(entry instance.ID, now Uptime) (all, due int) {
	mine, queued := b.tickets[entry]

	for id, t := range b.tickets {
		switch {
		case now > t.due+Uptime(ticketGrace):
			delete(b.tickets, id)
		case queued && t.number >= mine.number:
		default:
			all++

			if t.due <= now {
				due++
			}
		}
	}

	return all, due
}

// refuse returns how long an entry that is refused must wait: until this owner may
// grant a request, and for each entry with an earlier ticket as long as the whole
// limit takes for one. So entries do not all ask again at the same time.
func (b *permitBucket) refuse(entry instance.ID, ahead int, fraction, perSecond float64, now Uptime) time.Duration {
	mine, queued := b.tickets[entry]
	if !queued {
		b.issued++
		mine.number = b.issued
	}

	seconds := max(0, 1-b.level)/(fraction*perSecond) + float64(ahead)/perSecond
	wait := max(minWait, time.Duration(min(seconds, maxPermitWait.Seconds())*float64(time.Second)))
	mine.due = now + Uptime(wait)

	if b.tickets == nil {
		b.tickets = make(map[instance.ID]ticket)
	}

	b.tickets[entry] = mine

	return wait
}

// PermitRequest is an entry's request to send one request to a target that states a
// rate limit.
type PermitRequest struct {
	Entry, Target instance.ID
	// PerSecond is the number of requests that the target accepts from all entries
	// together.
	PerSecond float64
}

// Permit decides whether the request may be sent now.
func (o *Owner) Permit(r PermitRequest, entries int, now Uptime) Decision {
	o.advance(entries, now)

	p := &o.pools[GroupOf(string(r.Target))]
	if p.fraction == 0 {
		return Decision{Wait: unknownWait}
	}

	b, perSecond := o.permitBucket(r.Target, p), max(r.PerSecond, minPermitRate)
	b.fill(p, perSecond)

	ahead, due := b.ahead(r.Entry, now)
	if b.level < float64(1+due) {
		return Decision{Wait: b.refuse(r.Entry, ahead, p.fraction, perSecond, now), Part: p.fraction}
	}

	b.level--
	delete(b.tickets, r.Entry)

	return Decision{Granted: true, Part: p.fraction}
}

func (o *Owner) permitBucket(target instance.ID, p *pool) *permitBucket {
	if o.permits == nil {
		o.permits = make(map[instance.ID]*permitBucket)
	}

	b := o.permits[target]
	if b == nil {
		b = &permitBucket{tokens: tokens{accrued: p.accrued}}
		o.permits[target] = b
	}

	return b
}

// RetainTargets deletes the buckets of the targets for which limited returns false.
func (o *Owner) RetainTargets(limited func(target instance.ID) bool) {
	for target := range o.permits {
		if !limited(target) {
			delete(o.permits, target)
		}
	}
}
