package cell

import (
	"maps"
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
	"github.com/fulmarcross/fulmarcross/internal/placement/ledger"
	"github.com/fulmarcross/fulmarcross/internal/serving/router"
)

// publication is the state that was last published to the entries.
type publication struct {
	number   uint64
	at       time.Time
	targets  map[instance.ID]router.TargetInfo
	replicas map[ledger.Key]bool
	waits    []router.Wait
	// removedIn has, for each counted replica that was published and later
	// withdrawn, the number of the first publication without it.
	removedIn map[ledger.Key]uint64
	queues    map[instance.ID]chan *router.Snapshot
}

// queueLength is how many deltas may wait for a slow entry. An entry that
// falls further behind gets a full snapshot.
const queueLength = 8

// omits reports whether the last publication leaves the replica out.
func (p *publication) omits(k ledger.Key) bool { return p.number > 0 && !p.replicas[k] }

// omittedSince returns the number of the first publication that omits the
// replica, or 1 if the replica was never published.
func (p *publication) omittedSince(k ledger.Key) uint64 { return max(1, p.removedIn[k]) }

// publish enqueues a delta for the entries every publishEvery, and at once if
// publishNow is set, or if the models in t.waits or the reasons for refusing them
// have changed. It publishes nothing before the ledger was read.
func (t *leaseTerm) publish(now time.Time) {
	if !t.ledgerRead {
		return
	}

	p := &t.published
	due := now.Sub(p.at) >= publishEvery

	if !due && !t.publishNow && sameWaits(p.waits, t.waits) {
		return
	}

	next := publication{
		number:    p.number + 1,
		at:        now,
		targets:   t.targetInfos(now),
		replicas:  t.readyReplicas(),
		waits:     slices.Clone(t.waits),
		removedIn: p.removedIn,
		queues:    p.queues,
	}

	delta := t.delta(p, &next, due)
	t.published = next
	t.publishNow = false
	t.enqueue(delta)
}

func (t *leaseTerm) targetInfos(now time.Time) map[instance.ID]router.TargetInfo {
	infos := make(map[instance.ID]router.TargetInfo, len(t.targets))

	for id, e := range t.targets {
		infos[id] = router.TargetInfo{
			ID:             id,
			DataCentre:     e.DataCentre,
			Address:        e.Address,
			Speed:          e.inventory.Speed,
			Memory:         e.inventory.Memory,
			ReservedMemory: t.ledger.UsedBytes(id),
			Slots:          e.report.Slots,
			Running:        e.report.Running,
			Waiting:        e.report.Waiting,
			ReportAge:      max(0, now.Sub(e.reportAt), now.Sub(e.inventoryAt)),
			Leaving:        e.State == instance.Leaving,
			Down:           now.Sub(e.answeredAt) > downAfter,
			Incarnation:    e.inventory.Incarnation,
			Software:       e.inventory.Software,
		}
	}

	return infos
}

// readyReplicas returns the replicas that may get new work.
func (t *leaseTerm) readyReplicas() map[ledger.Key]bool {
	ready := make(map[ledger.Key]bool)

	t.ledger.All(func(r *ledger.Row) {
		e := t.targets[r.Target]
		if e == nil || e.State == instance.Leaving || r.State.Retiring || r.State.Phase != target.Ready {
			return
		}

		ready[r.Key] = true
	})

	return ready
}

// sameWaits reports whether both lists have the same models with the same reasons
// for refusal, in the same order. It ignores the other fields; the predicted
// times among them change with every round.
func sameWaits(a, b []router.Wait) bool {
	return slices.EqualFunc(a, b, func(a, b router.Wait) bool { return a.Model == b.Model && a.Reason == b.Reason })
}

// sameTarget reports whether two publications of a target are equal, ignoring the
// report's age.
func sameTarget(a, b router.TargetInfo) bool {
	a.ReportAge, b.ReportAge = 0, 0

	return a == b
}

// delta returns the changes from one publication to the next, and records in
// removedIn which replicas the next one omits. If due, it contains all targets,
// so that the entries get the current ages of their reports.
func (t *leaseTerm) delta(old, next *publication, due bool) *router.Snapshot {
	s := t.snapshotHeader(next)
	s.Base = old.number

	if next.removedIn == nil {
		next.removedIn = make(map[ledger.Key]uint64)
	}

	for id, info := range next.targets {
		if due || !sameTarget(old.targets[id], info) {
			s.Targets = append(s.Targets, info)
		}
	}

	for id := range old.targets {
		if _, ok := next.targets[id]; !ok {
			s.RemovedTargets = append(s.RemovedTargets, id)
		}
	}

	for k := range next.replicas {
		delete(next.removedIn, k)

		if !old.replicas[k] {
			s.Added = append(s.Added, router.Replica(k))
		}
	}

	for k := range old.replicas {
		if !next.replicas[k] {
			s.Removed = append(s.Removed, router.Replica(k))
			next.removedIn[k] = next.number
		}
	}

	maps.DeleteFunc(next.removedIn, func(k ledger.Key, _ uint64) bool { return t.ledger.Row(k) == nil })

	return s
}

// snapshotHeader returns a snapshot without targets and replicas.
func (t *leaseTerm) snapshotHeader(p *publication) *router.Snapshot {
	return &router.Snapshot{
		Cell:   t.cfg.Cell,
		Holder: t.cfg.Self,
		Token:  t.holding.Token,
		Number: p.number,
		Waits:  p.waits,
	}
}

// fullSnapshot returns the last publication as a whole.
func (t *leaseTerm) fullSnapshot() *router.Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()

	s := t.snapshotHeader(&t.published)

	for _, id := range slices.Sorted(maps.Keys(t.published.targets)) {
		s.Targets = append(s.Targets, t.published.targets[id])
	}

	for k := range t.published.replicas {
		s.Added = append(s.Added, router.Replica(k))
	}

	return s
}

// enqueue adds the delta to the queue of every live entry, without blocking.
func (t *leaseTerm) enqueue(s *router.Snapshot) {
	entries := t.cfg.Fleet.Entries()

	if t.published.queues == nil {
		t.published.queues = make(map[instance.ID]chan *router.Snapshot)
	}

	for _, id := range entries {
		queue := t.published.queues[id]
		if queue == nil {
			queue = make(chan *router.Snapshot, queueLength)
			t.published.queues[id] = queue
			t.wg.Go(func() { t.sendQueued(id, queue) })
		}

		select {
		case queue <- s:
		default:
			// The entry is slow. It cannot apply the delta after the gap, and
			// then gets a full snapshot.
		}
	}

	for id, queue := range t.published.queues {
		if !slices.Contains(entries, id) {
			close(queue)
			delete(t.published.queues, id)
		}
	}
}

// sendQueued sends the queued deltas to one entry, in order. It sends a full
// snapshot in place of the term's first delta, which has no base, and after a
// delta that the entry could not apply.
func (t *leaseTerm) sendQueued(id instance.ID, queue chan *router.Snapshot) {
	for {
		var s *router.Snapshot

		var ok bool

		select {
		case <-t.ctx.Done():
			return
		case s, ok = <-queue:
			if !ok {
				return
			}
		}

		if s.Base == 0 {
			s = t.fullSnapshot()
		}

		applied, err := t.cfg.Send(t.ctx, id, s)
		if err == nil && !applied {
			_, _ = t.cfg.Send(t.ctx, id, t.fullSnapshot())
		}
	}
}
