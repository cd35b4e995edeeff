package list

import (
	"sync"
	"sync/atomic"

	"github.com/fulmarcross/fulmarcross/internal/customer/plan"
)

// Register is an entry's copy of the lists. Readers take no lock. The zero
// value is at version zero.
type Register struct {
	mu      sync.Mutex
	current atomic.Pointer[plan.State]
	// recent are the last edits, without gaps, ending at the version in
	// force.
	recent []plan.Edit
	// changed is closed and replaced when the version grows.
	changed chan struct{}
}

// recentEdits is how many edits an entry keeps for its peers.
const recentEdits = 512

// Current returns the lists in force.
func (r *Register) Current() plan.State {
	if s := r.current.Load(); s != nil {
		return *s
	}

	return plan.State{}
}

// Changed returns a channel that is closed when the version next grows.
func (r *Register) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.changed == nil {
		r.changed = make(chan struct{})
	}

	return r.changed
}

// Apply puts the edits in force that follow the current version without a
// gap, and returns those. Older edits are skipped: the version never goes
// back, whatever a peer with an old copy sends.
func (r *Register) Apply(edits []plan.Edit) []plan.Edit {
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

// Restore puts a whole copy in force if it is newer. It reports whether it
// was.
func (r *Register) Restore(s plan.State) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	if s.Version() <= r.Current().Version() {
		return false
	}

	r.recent = nil
	r.set(s)

	return true
}

func (r *Register) set(s plan.State) {
	r.current.Store(&s)

	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// After returns the edits after the version. It reports false when some of
// them are no longer at hand.
func (r *Register) After(version uint64) ([]plan.Edit, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()

	for i, e := range r.recent {
		if e.Version == version+1 {
			return append([]plan.Edit(nil), r.recent[i:]...), true
		}
	}

	return nil, version >= r.Current().Version()
}
