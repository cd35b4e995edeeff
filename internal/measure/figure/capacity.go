package figure

import (
	"fmt"
	"io"
	"net/netip"
	"runtime"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/fulmarcross/fulmarcross/internal/customer/plan"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/peer"
	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
	"github.com/fulmarcross/fulmarcross/internal/placement/demand"
	"github.com/fulmarcross/fulmarcross/internal/placement/history"
	"github.com/fulmarcross/fulmarcross/internal/placement/ledger"
	"github.com/fulmarcross/fulmarcross/internal/placement/replica"
	"github.com/fulmarcross/fulmarcross/internal/platform/weight"
	"github.com/fulmarcross/fulmarcross/internal/room/board"
	"github.com/fulmarcross/fulmarcross/internal/room/timeline"
	"github.com/fulmarcross/fulmarcross/internal/serving/router"
	wireboard "github.com/fulmarcross/fulmarcross/internal/wire/board"
	wire "github.com/fulmarcross/fulmarcross/internal/wire/peer"
	"github.com/fulmarcross/fulmarcross/internal/wire/record"
)

// cost is what one mechanism costs at one size.
type cost struct {
	what  string
	size  int
	bytes int
	time  time.Duration
	// heap is what the state holds in memory.
	heap uint64
}

// Capacity measures the mechanisms of docs/CAPACITY.md at several sizes.
func Capacity(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "mechanism\tsize\tbytes on the wire\ttime of one\theap")

	for _, measure := range []func(int) cost{
		heartbeat, report, snapshotOfReports, snapshotApply, membership, decide, listState, histories, event, boardOf,
	} {
		for _, n := range []int{8, 80, 800} {
			c := measure(n)
			_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%s\t%d\n", c.what, c.size, c.bytes, c.time, c.heap)
		}
	}

	return t.Flush()
}

// timeOf returns the mean time of one call.
func timeOf(f func()) time.Duration {
	r := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			f()
		}
	})

	return time.Duration(r.NsPerOp())
}

// heapOf returns what is kept in memory by what f returns.
func heapOf(f func() any) uint64 {
	var before, after runtime.MemStats

	runtime.GC()
	runtime.ReadMemStats(&before)

	kept := f()

	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)

	if after.HeapAlloc < before.HeapAlloc {
		return 0
	}

	return after.HeapAlloc - before.HeapAlloc
}

func size(v any) int {
	data, _ := cbor.Marshal(v)

	return len(data)
}

func id(kind string, i int) instance.ID { return instance.ID(fmt.Sprintf("%s-%05d", kind, i)) }

func statusOf(plans int) peer.Status {
	s := peer.Status{ID: "entry-00001", DataCentre: "centre-a", Process: "0f8fad5b-d9cb-469f-a165-70867728950e"}
	for i := range plans {
		s.Plans = append(s.Plans, peer.PlanCount{Plan: fmt.Sprintf("plan-%04d", i), Running: 3, Answered: 1e6, Tokens: 1e9})
	}

	return s
}

// heartbeat is one status, by the number of plans with traffic on the entry.
func heartbeat(plans int) cost {
	s := statusOf(plans)

	return cost{
		what: "heartbeat, by active plans", size: plans, bytes: size(wire.FromStatus(s)),
		time: timeOf(func() { wire.ToStatus(wire.FromStatus(s)) }),
	}
}

// report is one entry's demand, by the replicas in use on it.
func report(uses int) cost {
	r := demand.Report{Entry: "entry-00001", Process: "0f8fad5b-d9cb-469f-a165-70867728950e", Token: 7, Number: 1000}
	for i := range uses {
		r.Uses = append(r.Uses, demand.Use{
			Key: ledger.Key{Target: id("target", i), Model: fmt.Sprintf("adapter-%06d", i)}, Running: 3, Served: 2,
		})
	}

	var b demand.Reports

	now := time.Now()

	return cost{
		what: "demand report, by replicas in use", size: uses, bytes: size(wire.FromReport(r, now)),
		time: timeOf(func() { b.Record(wire.ToReport(wire.FromReport(r, now), now), now) }),
	}
}

func infos(n int) []router.TargetInfo {
	out := make([]router.TargetInfo, n)
	for i := range out {
		out[i] = router.TargetInfo{
			ID: id("target", i), DataCentre: "centre-a", Address: netip.MustParseAddrPort("10.1.2.3:7200"), Speed: 2,
			Memory: 80e9, ReservedMemory: 60e9, Slots: 8, Running: 5, ReportAge: 300 * time.Millisecond,
			Incarnation: "0f8fad5b-d9cb-469f-a165-70867728950e",
		}
	}

	return out
}

// snapshotOfReports is one publication of a cell's load, by its targets.
func snapshotOfReports(targets int) cost {
	s := &router.Snapshot{Holder: "entry-00001", Token: 7, Number: 1000, Base: 999, Targets: infos(targets)}

	return cost{
		what: "publication of a cell's load, by targets", size: targets, bytes: size(wire.FromSnapshot(s)),
		time: timeOf(func() { _, _ = wire.ToSnapshot(wire.FromSnapshot(s)) }),
	}
}

// snapshotApply is a change of one replica in a table of many, and the table.
func snapshotApply(targets int) cost {
	const perTarget = 30

	build := func() *router.Table {
		var t router.Table

		s := &router.Snapshot{Token: 1, Number: 1, Targets: infos(targets)}
		for i := range targets * perTarget {
			s.Added = append(s.Added, router.Replica{Target: id("target", i%targets), Model: fmt.Sprintf("adapter-%06d", i)})
		}

		t.Apply(s, time.Now())

		return &t
	}
	t := build()
	n := uint64(1)

	return cost{
		what: "routing table of 30 replicas a target, by targets", size: targets,
		time: timeOf(func() {
			r := []router.Replica{{Target: id("target", 0), Model: "one-more"}}
			s := &router.Snapshot{Token: 1, Number: n + 1, Base: n}

			if n%2 == 0 {
				s.Removed = r
			} else {
				s.Added = r
			}

			t.Apply(s, time.Now())

			n++
		}),
		heap: heapOf(func() any { return build() }),
	}
}

// membership is hearing one peer among many.
func membership(entries int) cost {
	build := func() *peer.Set {
		s := &peer.Set{Self: "self", Timing: peer.DefaultTiming()}
		all := make([]instance.Instance, entries)

		for i := range all {
			all[i] = instance.Instance{ID: id("entry", i), Role: instance.Entry, State: instance.Live}
		}

		s.UpdateList(all, time.Now())

		for i := range entries {
			st := statusOf(8)
			st.ID = id("entry", i)
			s.Receive(st, time.Now())
		}

		return s
	}
	s, st := build(), statusOf(8)

	return cost{
		what: "hearing one peer, by entries", size: entries, time: timeOf(func() { s.Receive(st, time.Now()) }),
		heap: heapOf(func() any { return build() }),
	}
}

// decide is one round of a holder, by its targets, with 30 rows each and a
// twentieth of them in demand.
func decide(targets int) cost {
	const perTarget, gib = 30, int64(1) << 30

	v := &replica.Snapshot{
		Now: time.Now(), Ledger: &ledger.Ledger{}, Models: make(map[string]weight.Checkpoint), FreeLoads: 4,
		FreeAdapterLoads: 32, BytesPerSecond: 1e9, Weights: replica.WeightsFor(0.5),
	}

	for i := range targets {
		v.Targets = append(v.Targets, replica.Target{ID: id("target", i), Memory: 80 * gib, Speed: 1, Slots: 8, Usable: true})

		for j := range perTarget {
			name := fmt.Sprintf("adapter-%06d", i*perTarget+j)
			v.Models[name] = weight.Checkpoint{Name: name, Bytes: gib}
			_, _ = v.Ledger.Reserve(ledger.Row{
				Key: ledger.Key{Target: id("target", i), Model: name}, Bytes: gib, Version: 1,
				State: ledger.State{Phase: target.Ready, Since: v.Now, LastUsed: v.Now},
			}, 80*gib)

			if j%20 == 0 {
				v.Demand = append(v.Demand, replica.Demand{Model: name, Running: 1})
			}
		}
	}

	return cost{
		what: "one round of decisions, by targets", size: targets, time: timeOf(func() { replica.Decide(v) }),
	}
}

// listState is the lists with 110 adapters for each unit of size, so that 800
// stand for 88,000.
func listState(n int) cost {
	const perUnit, perPlan = 110, 1000

	build := func() plan.State {
		var allowances []plan.Allowance

		for i := range n * perUnit {
			allowances = append(allowances, plan.Allowance{
				Plan: fmt.Sprintf("plan-%04d", i/perPlan), Kind: plan.Model, Name: fmt.Sprintf("adapter-%06d", i),
			})
		}

		return plan.Restore(1, nil, allowances)
	}
	s := build()
	e := plan.Edit{Version: 2, WriteID: "0f8fad5b-d9cb-469f-a165-70867728950e", Author: "operator", Changes: []plan.Change{
		plan.Allow{Allowance: plan.Allowance{Plan: "plan-0000", Kind: plan.Model, Name: "one-more"}},
	}}

	return cost{
		what: "lists and one edit, by adapters", size: n * perUnit, bytes: size([]record.Edit{record.FromEdit(e)}),
		time: timeOf(func() { s.Apply(e) }), heap: heapOf(func() any { return build() }),
	}
}

// histories are those of a cell's models, five for each unit of size.
func histories(n int) cost {
	const perUnit = 5

	build := func() *history.Registry {
		var b history.Registry

		for i := range n * perUnit {
			b.RecordUse(fmt.Sprintf("adapter-%06d", i), time.Now())
		}

		return &b
	}
	b := build()

	return cost{
		what: "histories, by models; one look at all", size: n * perUnit, bytes: len(b.Save()),
		time: timeOf(func() { b.Candidates(time.Now(), time.Minute, 1e-6) }), heap: heapOf(func() any { return build() }),
	}
}

// event is one event of the time line, and a batch of them.
func event(n int) cost {
	l := &timeline.Log{Instance: "entry-00001", Process: "0f8fad5b-d9cb-469f-a165-70867728950e"}
	e := timeline.Event{
		Kind: timeline.Sent, Request: "0f8fad5b-d9cb-469f-a165-70867728950e", Model: "adapter-000001", Target: "target-00001",
		Customer: "customer",
	}

	for range n {
		l.Add(e)
	}

	return cost{
		what: "events, one added; a batch on the wire", size: n, bytes: size(wire.FromEvents(l.After(0, n))),
		time: timeOf(func() { l.Add(e) }),
	}
}

// boardOf is one board, by targets.
func boardOf(targets int) cost {
	var t router.Table

	t.Apply(&router.Snapshot{Token: 1, Number: 1, Targets: infos(targets)}, time.Now())

	v := board.View{At: time.Now(), Table: &t, Statuses: []peer.Status{statusOf(8)}}
	data, _ := wireboard.Encode(board.Build(v))

	return cost{
		what: "a board, by targets", size: targets, bytes: len(data),
		time: timeOf(func() { _, _ = wireboard.Encode(board.Build(v)) }),
	}
}
