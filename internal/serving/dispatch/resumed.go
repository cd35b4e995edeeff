package dispatch

import (
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/placement/demand"
	"github.com/fulmarcross/fulmarcross/internal/serving/origin"
	"github.com/fulmarcross/fulmarcross/internal/serving/queue"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
	"github.com/fulmarcross/fulmarcross/internal/serving/router"
)

// reloadGrace is how long, after the time of the load, a resumed stream waits for the lease
// holder to have its model loaded.
const reloadGrace = time.Second

// cannotGoOn reports whether the request resumes a stream, its model is served only by
// targets of other software than began it, and none is likely to load it where the stream can
// go on.
func (m *modelQueue) cannotGoOn(w *waiter, now time.Time) bool {
	if !w.req.Origin.Begun() {
		return false
	}

	targets := m.d.cfg.Table.Targets(m.model)
	if router.AnyUsable(targets, w.req.Origin) || !router.AnyUsable(targets, origin.Origin{}) {
		return false
	}

	if m.d.cfg.ReloadTime == nil {
		return true
	}

	load, possible := m.d.cfg.ReloadTime(m.model, w.req.Origin)

	return !possible || !now.Add(load).Before(w.req.Deadline) || now.Sub(w.since) > load+reloadGrace
}

// resumed returns the software that queued requests wait for the model at.
func (m *modelQueue) resumed() []demand.Resumed {
	m.mu.Lock()
	defer m.mu.Unlock()

	var out []demand.Resumed

	m.q.Each(func(it *queue.Item[*waiter]) {
		from := it.Value.req.Origin

		software, known := from.Known()
		if !known {
			return
		}

		r := demand.Resumed{Model: m.model, Software: software}
		if !slices.Contains(out, r) && !router.AnyUsable(m.d.cfg.Table.Targets(m.model), from) {
			out = append(out, r)
		}
	})

	return out
}

// originRefusal refuses a request that resumes a stream. No time is known at which a target
// could go on with it.
func originRefusal() *request.Refusal {
	return request.Refuse(request.OtherSoftware, defaultRetryAfter, "only targets of other software than began its stream serve its model")
}
