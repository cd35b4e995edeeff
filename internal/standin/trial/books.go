package trial

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
	"github.com/fulmarcross/fulmarcross/internal/placement/cell"
	"github.com/fulmarcross/fulmarcross/internal/placement/ledger"
	"github.com/fulmarcross/fulmarcross/internal/room/timeline"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
	"github.com/fulmarcross/fulmarcross/internal/standin/engine"
	"github.com/fulmarcross/fulmarcross/internal/standin/platform"
	"github.com/fulmarcross/fulmarcross/internal/wire/record"
)

// books are the counts of clients and stand-ins.
type books struct {
	requests, answered, refused, lost, crossed, truncated atomic.Int64
	untrue, late, overcommitted, excess                   atomic.Int64
	idle                                                  atomic.Int64 // idle is in nanoseconds.

	mu       sync.Mutex
	firsts   *hdrhistogram.Histogram
	colds    *hdrhistogram.Histogram
	refusals map[request.Code]int
	// slowest is the request with the longest time to its first token.
	slowest     int
	slowestTime time.Duration
}

// histogram returns a histogram of microseconds up to a minute.
func histogram() *hdrhistogram.Histogram {
	const digits = 3

	return hdrhistogram.New(1, time.Minute.Microseconds(), digits)
}

func (b *books) first(number int, d time.Duration, cold bool) {
	b.mu.Lock()
	defer b.mu.Unlock()

	if d > b.slowestTime {
		b.slowest, b.slowestTime = number, d
	}

	if b.firsts == nil {
		b.firsts, b.colds = histogram(), histogram()
	}

	_ = b.firsts.RecordValue(d.Microseconds())

	if cold {
		_ = b.colds.RecordValue(d.Microseconds())
	}
}

func (b *books) refuse(code request.Code) {
	b.mu.Lock()
	defer b.mu.Unlock()

	if b.refusals == nil {
		b.refusals = make(map[request.Code]int)
	}

	b.refusals[code]++
}

// check returns the function that an engine calls after each change of what it holds.
// It checks that the models fit into its memory and that the ledger has a row for each
// replica.
func (b *books) check(p *platform.Platform, cells int) func(instance.ID, []target.ResidentModel, int64) {
	return func(id instance.ID, held []target.ResidentModel, memory int64) {
		var sum int64

		for _, h := range held {
			sum += h.Bytes

			key := record.LedgerKey(cell.Of(string(id), cells), ledger.Key{Target: id, Model: h.Model})
			if _, ok := p.Row(key); !ok {
				b.excess.Add(1)
			}
		}

		if sum > memory {
			b.overcommitted.Add(1)
		}
	}
}

// sampleEvery is the interval at which the use of the engines is sampled.
const sampleEvery = 50 * time.Millisecond

// sample sums the time in which engines hold models and run nothing.
func (b *books) sample(all []*engine.Engine, stop <-chan struct{}) {
	t := time.NewTicker(sampleEvery)
	defer t.Stop()

	for {
		select {
		case <-stop:
			return
		case <-t.C:
		}

		for _, e := range all {
			if ready, running := e.Use(); ready > 0 && running == 0 {
				b.idle.Add(int64(sampleEvery))
			}
		}
	}
}

// Report is a trial's result.
type Report struct {
	Requests, Answered, Refused, Lost, Crossed, Truncated, Doubled int64
	UntrueRefusals, Late, Overcommitted, ExcessReplicas            int64
	ColdStartP99, FirstTokenP95                                    time.Duration
	IdleAccelerators                                               time.Duration
	AddedLatencyP50, AddedLatencyP99                               time.Duration
	ColdStarts                                                     int64
	// Refusals counts by code.
	Refusals map[request.Code]int
	// TableReads and TableWrites are the rows read and written.
	TableReads, TableWrites int64
	// PoisonCrashes is the number of engines that the poisonous request crashed.
	PoisonCrashes int
	// Slowest is the story of the request whose first token took longest.
	Slowest []timeline.Event
}

// Broken reports whether a promise was broken.
func (r *Report) Broken() bool {
	return r.Lost+r.Crossed+r.Truncated+r.Doubled+r.UntrueRefusals+r.Late+r.Overcommitted+r.ExcessReplicas > 0 ||
		r.PoisonCrashes > maxPoisonCrashes || r.Answered == 0
}

// maxPoisonCrashes is the number of targets that one request may crash.
const maxPoisonCrashes = 2

func (t *Trial) report(added *hdrhistogram.Histogram) Report {
	b := &t.books

	b.mu.Lock()
	defer b.mu.Unlock()

	r := Report{
		Requests:         b.requests.Load() + b.lost.Load(),
		Answered:         b.answered.Load(),
		Refused:          b.refused.Load(),
		Lost:             b.lost.Load(),
		Crossed:          b.crossed.Load(),
		Truncated:        b.truncated.Load(),
		UntrueRefusals:   b.untrue.Load(),
		Late:             b.late.Load(),
		Overcommitted:    b.overcommitted.Load(),
		ExcessReplicas:   b.excess.Load(),
		IdleAccelerators: time.Duration(b.idle.Load()),
		AddedLatencyP50:  quantile(added, 50), //nolint:mnd // A median.
		AddedLatencyP99:  quantile(added, 99), //nolint:mnd // A percentile.
		Refusals:         b.refusals,
		TableReads:       t.platform.Reads.Load(),
		TableWrites:      t.platform.Writes.Load(),
	}

	if b.firsts != nil {
		r.FirstTokenP95 = quantile(b.firsts, 95) //nolint:mnd // A percentile.
		r.ColdStartP99 = quantile(b.colds, 99)   //nolint:mnd // A percentile.
		r.ColdStarts = b.colds.TotalCount()
	}

	for _, s := range t.services {
		for _, n := range s.Runs() {
			r.Doubled += int64(n - 1)
		}
	}

	r.Doubled += t.doubledOverServices()

	for _, e := range t.engines {
		r.PoisonCrashes += e.PoisonCrashes()
	}

	return r
}

// doubledOverServices counts calls that ran on two instances of a service.
func (t *Trial) doubledOverServices() int64 {
	seen := make(map[string]int)

	for _, s := range t.services {
		for key := range s.Runs() {
			seen[key]++
		}
	}

	var n int64
	for _, c := range seen {
		n += int64(c - 1)
	}

	return n
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}
