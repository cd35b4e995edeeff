package node

import (
	"maps"
	"strings"
	"sync"

	"github.com/uber-go/tally/v4"
)

// traffic counts the bytes of calls to other entries, with their answers, by
// what they are for. Set metrics before use.
type traffic struct {
	metrics tally.Scope

	mu    sync.Mutex
	bytes map[string]int
}

func (t *traffic) note(method string, bytes int) {
	_, kind, _ := strings.Cut(method, ".")
	kind = strings.ToLower(kind)

	t.metrics.Tagged(map[string]string{"kind": kind}).Counter("peer_bytes").Inc(int64(bytes))

	t.mu.Lock()
	defer t.mu.Unlock()

	if t.bytes == nil {
		t.bytes = make(map[string]int)
	}

	t.bytes[kind] += bytes
}

// counted returns the bytes since the process started.
func (t *traffic) counted() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()

	return maps.Clone(t.bytes)
}
