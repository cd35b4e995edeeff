package entry

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/customer/list"
	"github.com/fulmarcross/fulmarcross/internal/customer/plan"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/room/timeline"
	wire "github.com/fulmarcross/fulmarcross/internal/wire/peer"
)

const (
	// readersPerCentre is how many entries of a data centre ask the table for
	// new edits. All others hear of them from peers.
	readersPerCentre = 2
	readEvery        = 500 * time.Millisecond
	// fanOut is how many peers an entry passes new edits on to.
	fanOut = 8
	// editsAtOnce bounds how many edits are read at once.
	editsAtOnce = 500
)

// readLists loads the lists and then looks for new edits while this entry is
// one of its data centre's readers.
func (e *Entry) readLists(ctx context.Context) {
	every(ctx, readEvery, func() {
		if e.gate.Wait(ctx) != nil {
			return
		}

		switch {
		case e.freshAt.Load() == 0:
			e.loadLists(ctx)
		case e.isReader():
			e.readEdits(ctx)
		}
	})
}

// loadLists takes the whole lists from a ready peer, if that has the version
// of the table or the table is away, and else from the table. When a data
// centre's entries are replaced at once, the table could not serve them all.
func (e *Entry) loadLists(ctx context.Context) {
	asked := time.Now()
	version, tableErr := e.store.Version(ctx)

	state, err := e.loadFromPeer(ctx)
	if tableErr == nil && (err != nil || state.Version() < version) {
		state, err = e.store.Load(ctx)
	}

	if err != nil {
		return
	}

	e.restore(state)
	e.freshAt.Store(asked.UnixNano())
}

// noReadyPeerError says that no peer can give the lists.
type noReadyPeerError struct{}

func (*noReadyPeerError) Error() string { return "entry: no ready peer" }

func (e *Entry) loadFromPeer(ctx context.Context) (plan.State, error) {
	for _, s := range e.fleet.Statuses(time.Now()) {
		if !s.Ready {
			continue
		}

		c, err := e.peer(s.ID)
		if err != nil {
			continue
		}

		state, err := c.Lists(ctx)
		if err == nil && state.Version() >= s.ListVersion {
			return state, nil
		}
	}

	return plan.State{}, &noReadyPeerError{}
}

// isReader reports whether this entry is among the first of its data centre.
func (e *Entry) isReader() bool {
	ids := []instance.ID{e.cfg.ID}

	for _, s := range e.fleet.Statuses(time.Now()) {
		if s.DataCentre == e.cfg.DataCentre && s.Ready {
			ids = append(ids, s.ID)
		}
	}

	rank := slices.Index(instance.Rank("reader/"+string(e.cfg.DataCentre), ids), e.cfg.ID)

	return rank < readersPerCentre
}

func (e *Entry) readEdits(ctx context.Context) {
	asked := time.Now()

	version, err := e.store.Version(ctx)
	if err != nil {
		return
	}

	if version > e.lists.Current().Version() {
		edits, err := e.store.History(ctx, e.lists.Current().Version(), editsAtOnce)
		if err != nil {
			return
		}

		e.spread(e.applyEdits(edits))
	}

	if e.lists.Current().Version() >= version {
		e.freshAt.Store(asked.UnixNano())
	}
}

// applyEdits puts edits in force and returns those that were new.
func (e *Entry) applyEdits(edits []plan.Edit) []plan.Edit {
	applied := e.lists.Apply(edits)
	for _, edit := range applied {
		e.log.Add(timeline.Event{
			Kind:   timeline.ListInForce,
			Detail: fmt.Sprintf("version %d by %s", edit.Version, edit.Author),
		})
	}

	return applied
}

func (e *Entry) restore(state plan.State) {
	if e.lists.Restore(state) {
		e.log.Add(timeline.Event{Kind: timeline.ListInForce, Detail: fmt.Sprintf("version %d, whole", state.Version())})
	}
}

// spread passes new edits on along a tree over all entries. Each entry that
// finds them new passes them on to its own children, so that an edit reaches
// n entries in the logarithm of n steps and each sends at most fanOut copies.
// An entry below one that died hears of the version from a heartbeat.
func (e *Entry) spread(edits []plan.Edit) {
	if len(edits) == 0 {
		return
	}

	for _, id := range children(edits[0].Version, e.cfg.ID, e.fleet.Entries()) {
		c, err := e.peer(id)
		if err != nil {
			continue
		}

		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()

			if e.gate.Wait(ctx) == nil {
				_, _ = c.Edits(ctx, edits)
			}
		}()
	}
}

// children returns to whom an entry passes the edit on: its children in a
// tree that the edit's version determines, and the tree's root, so that the
// entries which first read the edit set the tree going.
func children(version uint64, self instance.ID, entries []instance.ID) []instance.ID {
	ranked := instance.Rank(fmt.Sprintf("edit/%d", version), entries)
	at := slices.Index(ranked, self)

	var out []instance.ID
	if at > 0 {
		out = append(out, ranked[0])
	}

	if at < 0 {
		return ranked[:min(1, len(ranked))]
	}

	first := fanOut*at + 1
	for i := first; i < min(first+fanOut, len(ranked)); i++ {
		out = append(out, ranked[i])
	}

	return out
}

// catchUp fetches from a peer what this entry lacks.
func (e *Entry) catchUp(from instance.ID) {
	c, err := e.peer(from)
	if err != nil {
		return
	}

	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()

	edits, complete, err := c.EditsAfter(ctx, e.lists.Current().Version())

	switch {
	case err != nil:
	case complete:
		e.spread(e.applyEdits(edits))
	default:
		if state, err := c.Lists(ctx); err == nil {
			e.restore(state)
		}
	}
}

// watchLists acts on each change of the lists.
func (e *Entry) watchLists(ctx context.Context) {
	for {
		changed := e.lists.Changed()

		e.gateway.EnforceLists()

		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// Put accepts an operator's edit, puts it in force here and passes it on.
func (e *Entry) Put(ctx context.Context, p list.Put) (plan.Edit, error) {
	edit, err := e.store.Put(ctx, p)
	if err != nil {
		return edit, err
	}

	if edit.Version != e.lists.Current().Version()+1 {
		e.readEdits(ctx)
	}

	e.spread(e.applyEdits([]plan.Edit{edit}))

	return edit, nil
}

// inForce returns on how many of the known entries the version is in force.
func (e *Entry) inForce(version uint64) (in, all int) {
	all = 1

	if e.lists.Current().Version() >= version {
		in++
	}

	for _, s := range e.fleet.Statuses(time.Now()) {
		all++

		if s.ListVersion >= version {
			in++
		}
	}

	return in, all
}

var _ wire.Handler = handler{}

// ListVersion returns the version of the lists in force on this entry.
func (e *Entry) ListVersion() uint64 { return e.lists.Current().Version() }
