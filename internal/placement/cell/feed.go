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

// feed is what the entries were told last.
type feed struct {
	number   uint64
	at       time.Time
	targets  map[instance.ID]router.TargetInfo
	replicas map[ledger.Key]bool
	waits    []router.Wait
	// without is the number of the snapshot that first left a replica out.
	without map[ledger.Key]uint64
	lines   map[instance.ID]chan *router.Snapshot
}

// backlog is how many snapshots may wait for a slow entry. One that falls
// further behind is sent the whole.
const backlog = 8

func (f *feed) publishedWithout(k ledger.Key) bool { return f.number > 0 && !f.replicas[k] }

func (f *feed) withoutSince(k ledger.Key) uint64 { return max(1, f.without[k]) }

// publish sends the entries what has changed, at once if it is urgent.
func (t *tenure) publish(now time.Time) {
	if !t.ready {
		return
	}

	f := &t.feed
	due := now.Sub(f.at) >= publishEvery

	if !due && !t.urgent && sameWaits(f.waits, t.waits) {
		return
	}

	next := feed{
		number:   f.number + 1,
		at:       now,
		targets:  t.targetInfos(now),
		replicas: t.readyReplicas(),
		waits:    slices.Clone(t.waits),
		without:  f.without,
		lines:    f.lines,
	}

	delta := t.delta(f, &next, due)
	t.feed = next
	t.urgent = false
	t.send(delta)
}

func (t *tenure) targetInfos(now time.Time) map[instance.ID]router.TargetInfo {
	infos := make(map[instance.ID]router.TargetInfo, len(t.targets))

	for id, e := range t.targets {
		infos[id] = router.TargetInfo{
			ID:          id,
			DataCentre:  e.DataCentre,
			Address:     e.Address,
			Speed:       e.inventory.Speed,
			Memory:      e.inventory.Memory,
			Held:        t.book.Held(id),
			Slots:       e.report.Slots,
			Running:     e.report.Running,
			Waiting:     e.report.Waiting,
			ReportAge:   max(0, now.Sub(e.reportAt), now.Sub(e.inventoryAt)),
			Leaving:     e.State == instance.Leaving,
			Down:        now.Sub(e.heardAt) > downAfter,
			Incarnation: e.inventory.Incarnation,
		}
	}

	return infos
}

// readyReplicas returns the replicas that take new work.
func (t *tenure) readyReplicas() map[ledger.Key]bool {
	ready := make(map[ledger.Key]bool)

	t.book.All(func(r *ledger.Row) {
		e := t.targets[r.Target]
		if e == nil || e.State == instance.Leaving || r.State.Retiring || r.State.Phase != target.Ready {
			return
		}

		ready[r.Key] = true
	})

	return ready
}

// sameWaits reports whether the same models wait for the same reasons. The
// expected times shrink by themselves, which is no news.
func sameWaits(a, b []router.Wait) bool {
	return slices.EqualFunc(a, b, func(a, b router.Wait) bool { return a.Model == b.Model && a.Reason == b.Reason })
}

// sameTarget reports whether two publications of a target differ in nothing
// but the report's age.
func sameTarget(a, b router.TargetInfo) bool {
	a.ReportAge, b.ReportAge = 0, 0

	return a == b
}

// delta returns what changed from one publication to the next, and notes
// which replicas were left out.
func (t *tenure) delta(old, next *feed, due bool) *router.Snapshot {
	s := t.head(next)
	s.Base = old.number

	if next.without == nil {
		next.without = make(map[ledger.Key]uint64)
	}

	for id, info := range next.targets {
		if due || !sameTarget(old.targets[id], info) {
			s.Targets = append(s.Targets, info)
		}
	}

	for id := range old.targets {
		if _, ok := next.targets[id]; !ok {
			s.Gone = append(s.Gone, id)
		}
	}

	for k := range next.replicas {
		delete(next.without, k)

		if !old.replicas[k] {
			s.Added = append(s.Added, router.Replica(k))
		}
	}

	for k := range old.replicas {
		if !next.replicas[k] {
			s.Removed = append(s.Removed, router.Replica(k))
			next.without[k] = next.number
		}
	}

	maps.DeleteFunc(next.without, func(k ledger.Key, _ uint64) bool { return t.book.Row(k) == nil })

	return s
}

func (t *tenure) head(f *feed) *router.Snapshot {
	return &router.Snapshot{
		Cell:   t.cfg.Cell,
		Holder: t.cfg.Self,
		Token:  t.held.Token,
		Number: f.number,
		Waits:  f.waits,
	}
}

// whole returns all that was last published.
func (t *tenure) whole() *router.Snapshot {
	t.mu.Lock()
	defer t.mu.Unlock()

	s := t.head(&t.feed)

	for _, id := range slices.Sorted(maps.Keys(t.feed.targets)) {
		s.Targets = append(s.Targets, t.feed.targets[id])
	}

	for k := range t.feed.replicas {
		s.Added = append(s.Added, router.Replica(k))
	}

	return s
}

// send hands the snapshot to every live entry's line, without waiting.
func (t *tenure) send(s *router.Snapshot) {
	entries := t.cfg.Fleet.Entries()

	if t.feed.lines == nil {
		t.feed.lines = make(map[instance.ID]chan *router.Snapshot)
	}

	for _, id := range entries {
		line := t.feed.lines[id]
		if line == nil {
			line = make(chan *router.Snapshot, backlog)
			t.feed.lines[id] = line
			t.wg.Go(func() { t.serveLine(id, line) })
		}

		select {
		case line <- s:
		default:
			// The entry is slow. The gap makes it ask for the whole.
		}
	}

	for id, line := range t.feed.lines {
		if !slices.Contains(entries, id) {
			close(line)
			delete(t.feed.lines, id)
		}
	}
}

// serveLine sends one entry its snapshots in order.
func (t *tenure) serveLine(id instance.ID, line chan *router.Snapshot) {
	for {
		var s *router.Snapshot

		var ok bool

		select {
		case <-t.ctx.Done():
			return
		case s, ok = <-line:
			if !ok {
				return
			}
		}

		if s.Base == 0 {
			s = t.whole()
		}

		applied, err := t.cfg.Send(t.ctx, id, s)
		if err == nil && !applied {
			_, _ = t.cfg.Send(t.ctx, id, t.whole())
		}
	}
}
