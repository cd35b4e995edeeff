package statement

import (
	"maps"
	"sync"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

// Rests are the ends of the rests that processes of targets have asked of this entry. They
// outlast the routing of a target whose row vanishes and comes back. The zero value is
// empty. It is safe for concurrent use.
type Rests struct {
	mu    sync.Mutex
	until map[Process]time.Time
}

// Record records when a rest ends. The latest end of several rests holds.
func (r *Rests) Record(p Process, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.until == nil {
		r.until = make(map[Process]time.Time)
	}

	if until.After(r.until[p]) {
		r.until[p] = until
	}
}

// Until returns when the process's rest ends. Zero means that it has asked for none.
func (r *Rests) Until(p Process) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.until[p]
}

// Left returns how long each target still rests.
func (r *Rests) Left(now time.Time) map[instance.ID]time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()

	maps.DeleteFunc(r.until, func(_ Process, until time.Time) bool { return !until.After(now) })

	out := make(map[instance.ID]time.Duration, len(r.until))
	for p, until := range r.until {
		out[p.Target] = max(out[p.Target], until.Sub(now))
	}

	return out
}
