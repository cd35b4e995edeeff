// Package replay runs a record of requests against a placement policy, in
// simulated time that is passed as values: the product's own decisions, or a
// naive policy to compare with. Targets, loads and runs are plain numbers.
package replay

import (
	"container/heap"
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
	"github.com/fulmarcross/fulmarcross/internal/measure/arrival"
	"github.com/fulmarcross/fulmarcross/internal/placement/history"
	"github.com/fulmarcross/fulmarcross/internal/placement/ledger"
	"github.com/fulmarcross/fulmarcross/internal/placement/replica"
)

// Options choose what a replay does.
type Options struct {
	Policy Policy
	// From and To bound what is measured. What comes before teaches the
	// histories.
	From, To time.Time
	// SlowWeights divides the speed of remote loads from SlowAt on, for an
	// hour. One or zero means never.
	SlowWeights float64
	SlowAt      time.Time
	// ReclaimAt is when a target goes away. Zero means never.
	ReclaimAt time.Time
	// NoHolderAt is from when nobody decides, for NoHolderFor.
	NoHolderAt  time.Time
	NoHolderFor time.Duration
}

// The numbers of the site's surroundings, from the brief: about four loads a
// second, four at once at full speed.
const (
	bytesPerSecond = 16 << 30
	loadsAtOnce    = 4
	adaptersAtOnce = 32
	unloadTime     = 300 * time.Millisecond
	decideEvery    = 5 * time.Second
	// patience is after how long a waiting request counts as refused.
	patience = 20 * time.Second
	// memoryCache and diskCache are how many checkpoints a target keeps at
	// hand after it unloaded them.
	memoryCache = 3
	diskCache   = 12
)

// Result is what a replay measured.
type Result struct {
	// Waits are the times that requests waited for a replica, sorted. A
	// request that found one waited nothing.
	Waits []time.Duration
	Cold  int
	// Idle sums, over all replicas, the idle time weighted with the share of
	// the accelerator's memory that the replica holds.
	Idle    time.Duration
	Loads   int
	Refused int
}

// Wait returns a quantile of the waits.
func (r *Result) Wait(q float64) time.Duration {
	if len(r.Waits) == 0 {
		return 0
	}

	return r.Waits[min(len(r.Waits)-1, int(q*float64(len(r.Waits))))]
}

// event is something that happens at a time.
type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event //nolint:recvcheck // As heap.Interface asks.

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].seq < e[j].seq
	}

	return e[i].at.Before(e[j].at)
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) {
	ev, _ := x.(event)
	*e = append(*e, ev)
}

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := len(*e) - 1
	ev := (*e)[last]
	*e = (*e)[:last]

	return ev
}

// waiter is a request without a replica.
type waiter struct {
	use   arrival.Use
	since time.Time
}

// world is the state of a replay.
type world struct {
	site    *arrival.Site
	opt     Options
	now     time.Time
	queue   events
	seq     int
	book    ledger.Ledger
	past    history.Registry
	waiting map[string][]waiter
	running map[string]int
	// at is the index of the next use, for the oracle.
	at int
	// nextUse lists each model's uses yet to come, for the oracle.
	nextUse map[string][]time.Time
	targets []replica.Target
	caches  map[instance.ID][]string
	loads   int
	adapter int
	expects []string
	looked  time.Time
	result  Result
}

// Run replays the site's record.
func Run(site *arrival.Site, opt Options) *Result {
	w := &world{
		site: site, opt: opt, now: site.Start, targets: slices.Clone(site.Targets),
		waiting: make(map[string][]waiter), running: make(map[string]int),
		nextUse: make(map[string][]time.Time), caches: make(map[instance.ID][]string),
	}

	for _, u := range site.Uses {
		w.nextUse[u.Model] = append(w.nextUse[u.Model], u.At)

		if base := site.Models[u.Model].Base; base != "" {
			w.nextUse[base] = append(w.nextUse[base], u.At)
		}
	}

	w.teach()

	if !opt.ReclaimAt.IsZero() {
		w.after(opt.ReclaimAt.Sub(w.now), w.reclaim)
	}

	w.tick()
	w.run()
	slices.Sort(w.result.Waits)

	return &w.result
}

// teach fills the histories with what came before the measured time, but for
// the last hour, which fills the memories.
func (w *world) teach() {
	from := w.opt.From.Add(-time.Hour)

	for w.at < len(w.site.Uses) && w.site.Uses[w.at].At.Before(from) {
		w.learn(w.site.Uses[w.at])
		w.at++
	}

	w.now = maxTime(w.now, from)
}

func (w *world) learn(u arrival.Use) {
	w.past.RecordUse(u.Model, u.At)

	if base := w.site.Models[u.Model].Base; base != "" {
		w.past.RecordUse(base, u.At)
	}
}

func (w *world) run() {
	for {
		next := w.opt.To
		if w.at < len(w.site.Uses) && w.site.Uses[w.at].At.Before(next) {
			next = w.site.Uses[w.at].At
		}

		if len(w.queue) > 0 && w.queue[0].at.Before(next) {
			ev, _ := heap.Pop(&w.queue).(event)
			w.advance(ev.at)
			ev.do()

			continue
		}

		if !next.Before(w.opt.To) {
			w.advance(w.opt.To)

			return
		}

		w.advance(next)
		w.arrive(w.site.Uses[w.at])
		w.at++
	}
}

// advance moves the time and sums the idle time that passed.
func (w *world) advance(to time.Time) {
	from := w.now
	w.now = to

	if to.Before(w.opt.From) || !to.After(from) {
		return
	}

	passed := to.Sub(maxTime(from, w.opt.From))

	w.book.All(func(r *ledger.Row) {
		if r.State.Running == 0 {
			share := float64(r.Bytes) / float64(w.target(r.Target).Memory)
			w.result.Idle += time.Duration(share * float64(passed))
		}
	})
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}

func (w *world) target(id instance.ID) *replica.Target {
	at, _ := slices.BinarySearchFunc(w.targets, id, func(t replica.Target, id instance.ID) int {
		if t.ID < id {
			return -1
		}

		if t.ID > id {
			return 1
		}

		return 0
	})

	return &w.targets[at]
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now.Add(d), seq: w.seq, do: do})
}

func (w *world) tick() {
	w.decide()
	w.after(decideEvery, w.tick)
}

func (w *world) arrive(u arrival.Use) {
	w.learn(u)

	if !w.serve(u, 0) {
		w.waiting[u.Model] = append(w.waiting[u.Model], waiter{use: u, since: w.now})
		w.decide()
	}
}

// serve runs the request on the least busy replica, if there is one.
func (w *world) serve(u arrival.Use, waited time.Duration) bool {
	var best *ledger.Row

	for _, r := range w.book.Model(u.Model) {
		if r.State.Phase != target.Ready || r.State.Retiring || w.target(r.Target).Lost {
			continue
		}

		if best == nil || r.State.Running < best.State.Running {
			best = r
		}
	}

	if best == nil {
		return false
	}

	w.begin(best)

	if base := w.book.Row(ledger.Key{Target: best.Target, Model: best.Base}); base != nil {
		w.begin(base)
		w.after(w.runTime(u, best), func() { w.end(base) })
	}

	w.running[u.Model]++

	w.after(w.runTime(u, best), func() {
		w.end(best)
		w.running[u.Model]--
	})
	w.measure(u, waited)

	return true
}

func (w *world) runTime(u arrival.Use, r *ledger.Row) time.Duration {
	return time.Duration(float64(u.Run) / w.target(r.Target).Speed)
}

func (w *world) begin(r *ledger.Row) {
	r.State.Running++
	r.State.LastUsed = w.now
}

func (w *world) end(r *ledger.Row) {
	r.State.Running--
	r.State.LastUsed = w.now

	if r.Unloadable() {
		w.unload(r)
	}
}

func (w *world) measure(u arrival.Use, waited time.Duration) {
	if u.At.Before(w.opt.From) {
		return
	}

	w.result.Waits = append(w.result.Waits, waited)

	if waited > 0 {
		w.result.Cold++
	}
}

// reclaim takes the first target away with all that it holds.
func (w *world) reclaim() {
	t := &w.targets[0]
	t.Lost, t.Usable = true, false

	for _, r := range slices.Clone(w.book.Target(t.ID)) {
		w.book.Remove(r.Key)
	}

	w.decide()
}
