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
func (c *Cache) Current() plan.State {
	if s := c.current.Load(); s != nil {
		return *s
	}

	return plan.State{}
}

// Changed returns a channel that is closed when the version next grows.
func (c *Cache) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.changed == nil {
		c.changed = make(chan struct{})
	}

	return c.changed
}

// Apply applies the edits that follow the current version without a gap, and
// returns those. Older edits are skipped, so the version never goes back, even if
// a peer with an old copy sends them.
func (c *Cache) Apply(edits []plan.Edit) []plan.Edit {
	c.mu.Lock()
	defer c.mu.Unlock()

	s := c.Current()

	var applied []plan.Edit

	for _, e := range edits {
		if e.Version == s.Version()+1 {
			s = s.Apply(e)
			applied = append(applied, e)
		}
	}

	if len(applied) > 0 {
		c.recent = append(c.recent, applied...)
		c.recent = c.recent[max(0, len(c.recent)-recentEdits):]
		c.set(s)
	}

	return applied
}

// Restore replaces the lists by a whole copy if that is newer. It reports whether
// it was.
func (c *Cache) Restore(s plan.State) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	if s.Version() <= c.Current().Version() {
		return false
	}

	c.recent = nil
	c.set(s)

	return true
}

func (c *Cache) set(s plan.State) {
	c.current.Store(&s)

	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// After returns the edits after the version. It reports false if some of them are
// no longer retained.
func (c *Cache) After(version uint64) ([]plan.Edit, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	for i, e := range c.recent {
		if e.Version == version+1 {
			return append([]plan.Edit(nil), c.recent[i:]...), true
		}
	}

	return nil, version >= c.Current().Version()
}
