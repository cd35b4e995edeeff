package node

import (
	"maps"
	"strings"
	"sync"

	"github.com/uber-go/tally/v4"
)

// counts sums events by kind since the process started. The zero value is ready
// to use.
type counts struct {
	mu   sync.Mutex
	sums map[string]int
}

func (c *counts) add(kind string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.sums == nil {
		c.sums = make(map[string]int)
	}

	c.sums[kind] += n
}

func (c *counts) totals() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()

	return maps.Clone(c.sums)
}

// traffic counts the bytes of calls to other entries and of their responses, by
// kind of call. Set metrics before use.
type traffic struct {
	counts

	metrics tally.Scope
}

func (t *traffic) count(method string, bytes int) {
	_, kind, _ := strings.Cut(method, ".")
	kind = strings.ToLower(kind)

	t.metrics.Tagged(map[string]string{"kind": kind}).Counter("peer_bytes").Inc(int64(bytes))
	t.add(kind, bytes)
}
