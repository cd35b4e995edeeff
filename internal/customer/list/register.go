package list

import (
	"sync"
	"sync/atomic"

	"github.com/fulmarcross/fulmarcross/internal/customer/plan"
)

// Cache is an entry's copy of the lists. Reads of the current lists take no
// lock. The zero value is at version zero.
type Cache struct {
	mu      sync.Mutex
	current atomic.Pointer[plan.State]
	// recent are the last edits, without gaps, up to the current version.
	recent []plan.Edit
	// changed is closed and replaced when the version grows.
	changed chan struct{}
}

// recentEdits is how many edits an entry retains for its peers.
const recentEdits = 512

// Current returns the lists in force.
func (r *Cache) Current() plan.State {
	if s := r.current.Load(); s != nil {
		return *s
	}

	return plan.State{}
}

// Changed returns a channel that is closed when the version next grows.
func (r *Cache) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.changed == nil {
		r.changed = make(chan struct{})
	}

	return r.changed
}

// Apply applies the edits that follow the current version without a gap, and
// returns those. Older edits are skipped, so the version never goes back, even if
// a peer with an old copy sends them.
func (r *Cache) Apply(edits []plan.Edit) []plan.Edit {
	r.mu.Lock()
	defer r.mu.Unlock()

	s := r.Current()

	var applied []plan.Edit

	for _, e := range edits {
		if e.Version == s.Version()+1 {
			s = s.Apply(e)
			applied = append(applied, e)
		}
	}

	if len(applied) > 0 {
		r.recent = append(r.recent, applied...)
		r.recent = r.recent[max(0, len(r.recent)-recentEdits):]
		r.set(s)
	}

	return applied
}

// Restore replaces the lists by a whole copy if that is newer. It reports whether
// it was.
func (r *Cache) Restore(s plan.State) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	if s.Version() <= r.Current().Version() {
		return false
	}

	r.recent = nil
	r.set(s)

	return true
}

func (r *Cache) set(s plan.State) {
	r.current.Store(&s)

	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// After returns the edits after the version. It reports false if some of them are
// no longer retained.
func (r *Cache) After(version uint64) ([]plan.Edit, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()

	for i, e := range r.recent {
		if e.Version == version+1 {
			return append([]plan.Edit(nil), r.recent[i:]...), true
		}
	}

	return nil, version >= r.Current().Version()
}
