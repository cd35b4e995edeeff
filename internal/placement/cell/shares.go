package cell

import (
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
	"github.com/fulmarcross/fulmarcross/internal/placement/ledger"
	"github.com/fulmarcross/fulmarcross/internal/placement/share"
)

// askSharesEvery is the time between two asks for a part of the loads.
const askSharesEvery = share.GrantFor / 6

// loading returns how many loads of the cell are in flight.
func (t *tenure) loading() share.Amount {
	var n share.Amount

	t.book.All(func(r *ledger.Row) {
		switch {
		case r.State.Phase != target.Loading:
		case r.Base == "":
			n.Models++
		default:
			n.Adapters++
		}
	})

	return n
}

// loadShare returns how many loads the cell may have in flight now.
func (t *tenure) loadShare(now time.Time) share.Amount {
	switch {
	case t.cfg.AskShare == nil:
		return t.cfg.Loads
	case now.Before(t.partUntil):
		return t.part
	}

	return share.Amount{}
}

// askShares asks for a part of the loads again and again, for what waits and
// what is in flight.
func (t *tenure) askShares() {
	for {
		t.mu.Lock()
		asked := time.Now()
		using := t.loading()
		a := share.Ask{Cell: t.cfg.Cell, Using: using, Want: t.wanted(using, asked), Held: t.loadShare(asked)}
		t.mu.Unlock()

		got, err := t.cfg.AskShare(t.ctx, a)

		t.mu.Lock()
		if err == nil {
			t.part, t.partUntil = got, asked.Add(share.GrantFor)
		}
		t.mu.Unlock()
		t.poke()

		if !t.sleep(askSharesEvery) {
			return
		}
	}
}

// wanted returns how many loads the cell could have in flight. One more than
// it uses is always asked for, so that the first wait finds a share at hand
// where there are more shares than cells.
func (t *tenure) wanted(using share.Amount, now time.Time) share.Amount {
	want := share.Amount{Models: using.Models + 1, Adapters: using.Adapters + 1}

	for _, d := range t.asks.Merged(now) {
		if d.Waiting == 0 || len(t.book.Model(d.Model)) > 0 {
			continue
		}

		if t.models[d.Model].Base == "" {
			want.Models++
		} else {
			want.Adapters++
		}
	}

	return share.Amount{
		Models: min(want.Models, t.cfg.Loads.Models), Adapters: min(want.Adapters, t.cfg.Loads.Adapters),
	}
}
