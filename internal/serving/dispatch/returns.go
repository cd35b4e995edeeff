package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/serving/request"
)

const (
	// minReturn is the shortest time after which a client is told to return. A shorter
	// one would be less than the delay of the reports that predictions rely on.
	minReturn = 250 * time.Millisecond
	// maxReturn is the longest. What a model's backlog will be later than that depends on
	// loads that are not decided yet.
	maxReturn = 10 * time.Second
	// returnShare is the share of the starts that is promised to clients that return. The
	// rest is for new requests, which would otherwise all be refused once.
	returnShare = 0.5
	// returnGrace is how late a client may return to be served first. It covers the delay
	// of the network and a client that adds some time of its own.
	returnGrace = 2 * time.Second
	// maxReturns bounds the remembered clients of one model.
	maxReturns = 1024
)

// returns are the times at which the refused clients of one model were told to return.
// They are this entry's; a client that returns to another entry is new there. The zero
// value is empty.
type returns struct {
	// next is the time that is given to the next client at the earliest.
	next     time.Time
	byClient map[returnKey]promise
}

// promise is what a refused client was told.
type promise struct {
	at time.Time
	// kept says that the client is served first when it returns. That holds for as many as
	// returnShare allows, so not for those that were told maxReturn.
	kept bool
}

// returnKey recognises a request that its client sends again, perhaps under another id.
type returnKey struct {
	customer string
	content  request.Fingerprint
}

func keyOf(req *request.Request) returnKey {
	return returnKey{customer: req.Customer, content: req.Fingerprint()}
}

// after returns the time after which the client of a refused request may return: when the
// backlog has drained, and gap after the client that was refused before it. A client that
// was told a time and returned before it is given the same time.
func (r *returns) after(req *request.Request, drain, gap time.Duration, now time.Time) time.Duration {
	key := keyOf(req)
	if p, known := r.byClient[key]; known && p.at.After(now) {
		return max(minReturn, p.at.Sub(now))
	}

	at := r.next
	if drained := now.Add(drain); at.Before(drained) {
		// The entries have the same prediction. Without the random part their first
		// clients would return together.
		at = drained.Add(time.Duration(rand.Float64() * float64(gap))) //nolint:gosec // No secret.
	}

	kept := at.Sub(now) <= maxReturn
	if kept {
		at = now.Add(max(at.Sub(now), minReturn))
		r.next = at.Add(gap)
	} else {
		at = now.Add(time.Duration((1 - rand.Float64()/2) * float64(maxReturn))) //nolint:gosec,mnd // No secret. Spread over the later half.
	}

	r.remember(key, promise{at: at, kept: kept}, now)

	return at.Sub(now)
}

func (r *returns) remember(key returnKey, p promise, now time.Time) {
	if r.byClient == nil {
		r.byClient = make(map[returnKey]promise)
	}

	if len(r.byClient) >= maxReturns {
		for k, old := range r.byClient {
			if now.Sub(old.at) > returnGrace {
				delete(r.byClient, k)
			}
		}
	}

	if len(r.byClient) < maxReturns {
		r.byClient[key] = p
	}
}

// returned reports whether the request comes back at the time that its client was told and
// is to be served first, and forgets that time.
func (r *returns) returned(req *request.Request, now time.Time) bool {
	if len(r.byClient) == 0 {
		return false
	}

	key := keyOf(req)

	p, known := r.byClient[key]
	if !known || p.at.After(now) {
		return false
	}

	delete(r.byClient, key)

	return p.kept && now.Sub(p.at) <= returnGrace
}
