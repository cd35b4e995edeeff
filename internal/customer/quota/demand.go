package quota

import (
	"time"

	"github.com/fulmarcross/fulmarcross/internal/customer/team"
)

// excessMemory is for how long a team that requests much more than its limit is
// considered to do so after it has stopped.
const excessMemory = time.Second

// demand tells whether a team requests more than its whole limit allows. It is a bucket
// of the whole limit to which all requests are charged, refused ones too, whatever part
// of the limit is delegated to this owner. The zero value has no requests.
type demand struct {
	// used is what the requests have taken out of the bucket.
	used float64
	at   Uptime
}

// add adds a request. One that is larger than the burst counts as the burst, because
// a full bucket admits it.
func (d *demand) add(l team.Limit, cost float64, now Uptime) {
	elapsed := time.Duration(max(0, now-d.at)).Seconds()
	d.at = max(d.at, now)

	d.used = max(0, d.used-elapsed*l.PerSecond) + min(cost, l.Burst)
	d.used = min(d.used, l.Burst+l.PerSecond*excessMemory.Seconds())
}

// exceeds reports whether the requests are more than the limit allows.
func (d *demand) exceeds(l team.Limit) bool { return d.used > l.Burst }
