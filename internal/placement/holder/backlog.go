package holder

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/placement/demand"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
)

const (
	// serviceTimeSpan is the time constant for smoothing a model's service time. The
	// attempts that run when a model becomes busy count before any of them ends, and those
	// of an entry that dies never end, so the service time seems longer for a while. With
	// 8 s that was a third, and up to 12 of 105 requests within the capacity were refused
	// after half of the entries had died; with 15 s up to 6 were.
	serviceTimeSpan = 15 * time.Second
	// minEndedShare is the number of ended attempts, as a share of the running ones,
	// from which the service time is known. While a replica serves its first requests,
	// few of them have ended and the estimate would be several times too long.
	minEndedShare = 0.75
	// minBacklogTime is the time within which queued requests start that are not
	// published as a backlog.
	minBacklogTime = 250 * time.Millisecond
	// backlogStep is the change in the time to start all queued requests from which a
	// new snapshot is published.
	backlogStep = 150 * time.Millisecond
	// backlogIntervalPerEntry, times the number of entries, is the shortest time between
	// two snapshots of which the second is published for a backlog alone. Queues change
	// with every report: without this limit the snapshots of a site of 87 entries took
	// two and a half times as many bytes.
	backlogIntervalPerEntry = 1500 * time.Microsecond
	// maxFlowGap is the longest time between two rounds over which attempts count as
	// running without interruption.
	maxFlowGap = 2 * time.Second
	// backlogReportAge is the age up to which a report counts for a backlog, three
	// intervals between reports. The queue of an entry that has died is gone, so it
	// must not count until demand.Expiry.
	backlogReportAge = 1200 * time.Millisecond
)

// slots are the slots of a model's ready replicas.
type slots struct{ all, free int }

// served returns how many of the running requests the replicas serve. The others are queued
// there: a burst may reach a replica before its count does.
func (s slots) served(running int) int { return min(running, s.all) }

// flow estimates how fast the requests of one model start. The rate of ended attempts
// alone would be too low for seconds after a model has become busy or a replica has
// been added, and requests would be refused that could be served. So the rate is derived
// from the service time, which changes little, and the number of requests that run now.
type flow struct {
	// busy is the time that attempts have been served, in seconds, and ended their number.
	// Both are decayed sums with the time constant serviceTimeSpan.
	busy, ended float64
	// known says that enough attempts have ended for the service time to be known.
	known bool
}

// advance adds the time that attempts have been served in the last d.
func (f *flow) advance(d time.Duration, served int) {
	keep := math.Exp(-d.Seconds() / serviceTimeSpan.Seconds())
	f.busy = f.busy*keep + float64(served)*d.Seconds()
	f.ended *= keep
	f.known = f.ended >= 1 && (f.known || f.ended >= minEndedShare*float64(served))
}

// startsPerSecond returns the rate at which queued requests start if attempts are served
// and free slots are filled at once. Zero means unknown.
func (f *flow) startsPerSecond(served, free int) float64 {
	if !f.known || f.busy <= 0 {
		return 0
	}

	return float64(served+free) * f.ended / f.busy
}

// flows are the flows of models, by service/model. The zero value is empty.
type flows struct {
	byModel map[string]*flow
	at      time.Time
}

// record adds the attempts of a report that have ended.
func (s *flows) record(r demand.Report) {
	for _, u := range r.Uses {
		if u.Served == 0 {
			continue
		}

		if s.byModel == nil {
			s.byModel = make(map[string]*flow)
		}

		key := ModelOf(u.Model)
		if s.byModel[key] == nil {
			s.byModel[key] = &flow{}
		}

		s.byModel[key].ended += float64(u.Served)
	}
}

// advance advances all flows to now. Models that have not been used for several
// serviceTimeSpan are removed.
func (s *flows) advance(now time.Time, loads map[string]demand.Load, replicas map[string]slots) {
	const negligible = 0.01

	d := now.Sub(s.at)
	if d > maxFlowGap {
		// Nothing is known about the time between two lease terms.
		s.byModel, d = nil, 0
	}

	s.at = now

	for key, l := range loads {
		if l.Running > 0 && s.byModel[key] == nil {
			if s.byModel == nil {
				s.byModel = make(map[string]*flow)
			}

			s.byModel[key] = &flow{}
		}
	}

	for key, f := range s.byModel {
		f.advance(d, replicas[key].served(loads[key].Running))

		if f.ended < negligible && loads[key].Running == 0 {
			delete(s.byModel, key)
		}
	}
}

// backlogs returns the backlogs of the models in loads, sorted by key.
func (s *flows) backlogs(loads map[string]demand.Load, replicas map[string]slots) []Backlog {
	var out []Backlog

	for key, l := range loads {
		b := Backlog{Key: key, Waiting: l.Queued}
		if f := s.byModel[key]; f != nil {
			b.StartsPerSecond = f.startsPerSecond(replicas[key].served(l.Running), replicas[key].free)
		}

		if float64(l.Queued) > b.StartsPerSecond*minBacklogTime.Seconds() {
			out = append(out, b)
		}
	}

	slices.SortFunc(out, func(a, b Backlog) int { return cmp.Compare(a.Key, b.Key) })

	return out
}

// drainTime returns the time to start all queued requests, or zero if it is unknown.
func (b Backlog) drainTime() time.Duration {
	if b.StartsPerSecond <= 0 {
		return 0
	}

	return time.Duration(float64(b.Waiting) / b.StartsPerSecond * float64(time.Second))
}

// sameBacklogs reports whether entries that have old need not receive latest at once.
// Backlogs with an unknown rate do not matter, since no request is refused by them.
func sameBacklogs(old, latest []Backlog) bool {
	drains := make(map[string]time.Duration, len(old))
	for _, b := range old {
		if d := b.drainTime(); d > 0 {
			drains[b.Key] = d
		}
	}

	for _, b := range latest {
		d := b.drainTime()
		if d == 0 {
			continue
		}

		former, known := drains[b.Key]
		if !known || (d-former).Abs() >= backlogStep {
			return false
		}

		delete(drains, b.Key)
	}

	return len(drains) == 0
}

// updateBacklogs computes the backlogs to publish, and causes a publication if they
// have changed. The caller holds the lock.
func (h *Holder) updateBacklogs(now time.Time) {
	routes := h.cfg.Routes()
	if routes == nil || !anySmallBatch(routes) {
		h.backlogs = nil

		return
	}

	loads := h.demand.Loads(time.Now(), backlogReportAge, ModelOf)

	for key := range loads {
		service, model, _ := splitKey(key)
		if e := routes.Services[service].Engine; e == nil || model == "" || !e.SmallBatch() {
			delete(loads, key)
		}
	}

	replicas := h.slotsOf(loads, now)
	h.flows.advance(now, loads, replicas)
	// No request is refused by an unknown rate.
	h.backlogs = slices.DeleteFunc(h.flows.backlogs(loads, replicas), func(b Backlog) bool { return b.StartsPerSecond <= 0 })
	interval := time.Duration(h.demand.Entries(time.Now())) * backlogIntervalPerEntry

	if now.Sub(h.snapshotAt) >= interval && !sameBacklogs(h.snapshot.Backlogs, h.backlogs) {
		h.published = false
	}
}

func anySmallBatch(c *route.Config) bool {
	for _, s := range c.Services {
		if s.Engine != nil && s.Engine.SmallBatch() {
			return true
		}
	}

	return false
}

// slotsOf returns the slots of the replicas that are ready, for the models in loads. The
// caller holds the lock.
func (h *Holder) slotsOf(loads map[string]demand.Load, now time.Time) map[string]slots {
	out := make(map[string]slots)
	if len(loads) == 0 {
		return out
	}

	routes, running := h.cfg.Routes(), h.demand.RunningByTarget()

	for id, eng := range h.engines {
		e := routes.Services[eng.target.Service].Engine
		if e == nil || !eng.serves() {
			continue
		}

		all := e.Concurrency(eng.target.Slots)
		free := max(0, all-running[id])

		for model, resident := range eng.models {
			if _, loaded := loads[eng.target.Service+"/"+model]; loaded && !resident.ready.After(now) {
				key := eng.target.Service + "/" + model
				out[key] = slots{all: out[key].all + all, free: out[key].free + free}
			}
		}
	}

	return out
}
