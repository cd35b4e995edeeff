package node

import (
	"strings"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/placement/holder"
	"github.com/fulmarcross/fulmarcross/internal/serving/router"
)

// backlogTTL is how long after its receipt the holder's count of queued requests is
// used. Requests are refused by it, so it is shorter than holderStateTTL.
const backlogTTL = router.MaxBacklogAge

// addBacklogs adds the backlogs received at the given time to the waits. The Ready of a
// wait is not changed: the next replica of a crowded model may be loading.
func (b *builder) addBacklogs(backlogs []holder.Backlog, received time.Time) {
	end := received.Add(backlogTTL)
	if len(backlogs) == 0 || !b.now.Before(end) {
		return
	}

	if end.Before(b.expires) {
		b.expires = end
	}

	index := make(map[string]int, len(b.snapshot.Waits))
	for i, w := range b.snapshot.Waits {
		index[w.Model] = i
	}

	for _, l := range backlogs {
		i, known := index[l.Key]
		if !known {
			i = len(b.snapshot.Waits)
			b.snapshot.Waits = append(b.snapshot.Waits, router.Wait{Model: l.Key})
		}

		w := &b.snapshot.Waits[i]
		w.Waiting, w.StartsPerSecond, w.BacklogAt = l.Waiting, l.StartsPerSecond, received
	}
}

// predictive reports whether the requests of a routing key are ordered and refused by
// the prediction that all entries share.
func (n *Node) predictive(key string) bool {
	c := n.config()
	if c == nil {
		return false
	}

	service, _, _ := strings.Cut(key, "/")
	e := c.Services[service].Engine

	return e != nil && e.SmallBatch()
}
