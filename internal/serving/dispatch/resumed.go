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
	targets := m.d.cfg.Table.Targets(m.model)
	if !lacksSoftware(targets, w.req.Origin) || !router.AnyUsable(targets, origin.Origin{}) {
		return false
	}

	if m.d.cfg.ReloadTime == nil {
		return true
	}

	load, possible := m.d.cfg.ReloadTime(m.model, w.req.Origin)

	return !possible || !now.Add(load).Before(w.req.Deadline) || now.Sub(w.since) > load+reloadGrace
}

// lacksSoftware reports whether the stream has begun and none of the targets may go on with
// it.
func lacksSoftware(targets []*router.Target, from origin.Origin) bool {
	return from.Begun() && !router.AnyUsable(targets, from)
}

// resumed returns the software that queued requests wait for the model at.
func (m *modelQueue) resumed() []demand.Resumed {
	m.mu.Lock()
	defer m.mu.Unlock()

	var out []demand.Resumed

	targets := m.d.cfg.Table.Targets(m.model)

	m.q.Each(func(it *queue.Item[*waiter]) {
		software, known := it.Value.req.Origin.Known()
		r := demand.Resumed{Model: m.model, Software: software}

		if known && lacksSoftware(targets, it.Value.req.Origin) && !slices.Contains(out, r) {
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
