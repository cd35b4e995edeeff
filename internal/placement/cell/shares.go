package cell

import (
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
	"github.com/fulmarcross/fulmarcross/internal/placement/ledger"
	"github.com/fulmarcross/fulmarcross/internal/placement/share"
)

// requestSharesEvery is the interval at which a share of the load limit is
// requested.
const requestSharesEvery = share.GrantDuration / 6

// loadsInFlight counts the cell's loads in flight.
func (t *leaseTerm) loadsInFlight() share.Loads {
	var n share.Loads

	t.ledger.All(func(r *ledger.Row) {
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

// loadShare returns how many loads the cell may have in flight at now.
func (t *leaseTerm) loadShare(now time.Time) share.Loads {
	switch {
	case t.cfg.RequestShare == nil:
		return t.cfg.LoadLimit
	case now.Before(t.grantedUntil):
		return t.granted
	}

	return share.Loads{}
}

// requestShares requests a share of the load limit at intervals, for the loads in
// flight and the models that requests wait for.
func (t *leaseTerm) requestShares() {
	for {
		t.mu.Lock()
		sent := time.Now()
		using := t.loadsInFlight()
		a := share.Request{Cell: t.cfg.Cell, InFlight: using, Wanted: t.desiredLoads(using, sent), LastGrant: t.loadShare(sent)}
		t.mu.Unlock()

		granted, err := t.cfg.RequestShare(t.ctx, a)

		t.mu.Lock()
		if err == nil {
			t.granted, t.grantedUntil = granted, sent.Add(share.GrantDuration)
		}
		t.mu.Unlock()
		t.requestRound()

		if !t.sleep(requestSharesEvery) {
			return
		}
	}
}

// desiredLoads returns how many loads the cell requests a share for: those in
// flight, one for each model that requests wait for and that has no ledger row,
// and one spare load each of models and of adapters, up to the load limit. With
// the spare load, a share is already granted when the first request for a cold
// model arrives, provided that the load limit exceeds the number of cells.
func (t *leaseTerm) desiredLoads(using share.Loads, now time.Time) share.Loads {
	desired := share.Loads{Models: using.Models + 1, Adapters: using.Adapters + 1}

	for _, d := range t.demand.Merged(now) {
		if d.Waiting == 0 || len(t.ledger.Model(d.Model)) > 0 {
			continue
		}

		if t.models[d.Model].Base == "" {
			desired.Models++
		} else {
			desired.Adapters++
		}
	}

	return share.Loads{
		Models: min(desired.Models, t.cfg.LoadLimit.Models), Adapters: min(desired.Adapters, t.cfg.LoadLimit.Adapters),
	}
}
