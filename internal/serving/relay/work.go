package relay

import (
	"fmt"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/serving/dispatch"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
)

// tokens returns the memory that the request may take on a target. A request to an engine
// that states no size counts as a typical one, or as all of a smaller target.
func (d *delivery) tokens(e *route.Engine) int {
	switch {
	case e == nil || d.info.TokensGiven:
	case e.CacheTokens > 0:
		return min(route.TypicalRequestTokens, e.CacheTokens)
	default:
		return route.TypicalRequestTokens
	}

	return d.info.TokensIn + d.info.TokensOut
}

// refuseTooLarge refuses a request that no target of the service can hold. Sent to one,
// it would be rejected as if the target were full, again and again.
func (d *delivery) refuseTooLarge(e *route.Engine) *request.Refusal {
	if !d.BoundTokens || e == nil || e.CacheTokens <= 0 || d.req.Tokens <= e.CacheTokens {
		return nil
	}

	return request.Refuse(request.TooLarge, 0,
		fmt.Sprintf("the request may take %d tokens, a target holds %d", d.req.Tokens, e.CacheTokens))
}

// pauseMeter measures the pauses between a stream's events as its target sends them. The
// zero value has seen no event.
type pauseMeter struct {
	counts *dispatch.Pauses
	last   time.Time
}

// A write to the client that takes more than maxWriteShare of a pause delays the reading of
// the next event, and the pause then shows the client's speed. Writes up to quickWrite do
// not: after them the next event may have been read already.
const (
	maxWriteShare = 0.25
	quickWrite    = time.Millisecond
)

// read records that an event was read, and that the write of the event before it to the
// client took the time written.
func (m *pauseMeter) read(now time.Time, written time.Duration) {
	pause := now.Sub(m.last)
	delayed := written > quickWrite && float64(written) > maxWriteShare*float64(pause)

	if !m.last.IsZero() && !delayed {
		m.counts.Observe(pause)
	}

	m.last = now
}
