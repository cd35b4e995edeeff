package entry

import (
	"context"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/placement/cell"
	"github.com/fulmarcross/fulmarcross/internal/placement/demand"
)

// The times between two reports to a cell's holder.
const (
	reportBusy  = 250 * time.Millisecond
	reportIdle  = time.Second
	reportRetry = 50 * time.Millisecond
	// reportGather lets requests that come together share a report.
	reportGather = time.Millisecond
)

// reports wakes the loops that report to the cells' holders.
type reports struct{ kicks []chan struct{} }

func (r *reports) init(cells int) {
	r.kicks = make([]chan struct{}, cells)
	for i := range r.kicks {
		r.kicks[i] = make(chan struct{}, 1)
	}
}

func (r *reports) wake(c int) {
	select {
	case r.kicks[c] <- struct{}{}:
	default:
	}
}

func (e *Entry) sendReports(ctx context.Context) {
	for c := range e.cells {
		e.wg.Go(func() { e.reportCell(ctx, c) })
	}

	<-ctx.Done()
}

// reportCell tells the cell's holder what this entry wants and uses, at once
// when a model is wanted and at intervals otherwise.
func (e *Entry) reportCell(ctx context.Context, c int) {
	for ctx.Err() == nil {
		waiting, err := e.reportOnce(ctx, c)

		pause := reportIdle

		switch {
		case waiting && err != nil:
			pause = reportRetry
		case waiting:
			pause = reportBusy
		}

		t := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-e.reports.kicks[c]:
			_ = clock.Sleep(ctx, reportGather)
		case <-t.C:
		}

		t.Stop()
	}
}

// reportOnce sends one report. It reports whether requests wait.
func (e *Entry) reportOnce(ctx context.Context, c int) (waits bool, err error) {
	if err := e.gate.Wait(ctx); err != nil {
		return false, err
	}

	waiting, uses := e.dispatch.Report(c)
	at := e.table.Position(c)
	r := demand.Report{
		Entry:   e.cfg.ID,
		Process: e.process,
		Cell:    c,
		Token:   at.Token,
		Number:  at.Number,
		Waiting: waiting,
		Uses:    uses,
	}

	return len(waiting) > 0, e.deliver(ctx, r)
}

func (e *Entry) deliver(ctx context.Context, r demand.Report) error {
	to := e.holder(r.Cell)
	if to == e.cfg.ID {
		return e.cells[r.Cell].Report(r)
	}

	c, err := e.peer(to)
	if err != nil {
		return err
	}

	return c.Report(ctx, r)
}

// holder returns who holds the cell's lease, as far as this entry knows: the
// highest token that it has heard of wins.
func (e *Entry) holder(c int) instance.ID {
	at := e.table.Position(c)
	token, holder := at.Token, at.Holder

	if l, ok := e.cells[c].Lease(); ok && l.Token >= token {
		token, holder = l.Token, e.cfg.ID
	}

	for _, s := range e.fleet.Statuses(time.Now()) {
		for _, l := range s.Leases {
			if l.Cell == c && l.Token > token {
				token, holder = l.Token, s.ID
			}
		}
	}

	if holder == "" {
		holder = instance.Rank(cell.RankKey(c), e.fleet.Entries())[0]
	}

	return holder
}
