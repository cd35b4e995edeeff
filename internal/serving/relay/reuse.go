package relay

import (
	"sync"
	"syscall"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/serving/router"
)

const (
	// smallBatchIdleTime is the longest time that an idle connection to a target that is
	// balanced by work is kept. With 28 entries and 90 targets, a pair is used about once
	// in ten seconds.
	//
	// A target that states no time may close the connection at any time. The close is
	// seen before the connection is used, unless it happens within the millisecond that
	// the packet takes; the request is then repeated, since only requests that may be
	// repeated use idle connections.
	smallBatchIdleTime = 30 * time.Second
	// idleDescriptorShare is the part of the process's file descriptors that idle
	// connections may use: one of so many. The others are for clients, peers and requests.
	idleDescriptorShare = 4
	// defaultTotalIdle limits the idle connections where the number of file descriptors
	// is unknown. Each has 8 KB of buffers.
	defaultTotalIdle = 1024
)

// idleTime returns the longest time that an idle connection to the target is kept.
func idleTime(t *router.Target) time.Duration {
	if t.Info().SmallBatch {
		return smallBatchIdleTime
	}

	return maxIdleTime
}

// maxTotalIdle returns how many idle connections to all targets the process may keep.
var maxTotalIdle = sync.OnceValue(func() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return defaultTotalIdle
	}

	return int(min(defaultTotalIdle, limit.Cur/idleDescriptorShare)) //nolint:gosec // At most defaultTotalIdle.
})

// count counts a connection that was put into the pool or taken out of it. The caller
// holds the lock.
func (p *Pool) count(c *conn, n int) {
	p.total += n
	c.target.AddIdle(n)
}

// countConnection records whether an attempt opened its connection, and counts it in the metrics.
func (d *delivery) countConnection(reused bool) {
	d.newConn = !reused

	if d.Metrics == nil {
		return
	}

	use := "new"
	if reused {
		use = "reused"
	}

	d.Metrics.Tagged(map[string]string{"service": d.service, "use": use}).Counter("connections").Inc(1)
}
