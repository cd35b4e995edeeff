package entry

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

// reservations are the targets that this entry keeps for one suspect each.
// Every target has one entry that keeps it, by rendezvous.
type reservations struct {
	mu  sync.Mutex
	all map[instance.ID]reservation
}

type reservation struct {
	holder string
	until  time.Time
}

func (r *reservations) reserve(id instance.ID, holder string, until, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	if got, ok := r.all[id]; ok && got.holder != holder && now.Before(got.until) {
		return false
	}

	if r.all == nil {
		r.all = make(map[instance.ID]reservation)
	}

	r.all[id] = reservation{holder: holder, until: until}

	return true
}

func (r *reservations) release(id instance.ID, holder string) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if r.all[id].holder == holder {
		delete(r.all, id)
	}
}

// reserve keeps a target for one suspect. While the entry that keeps the
// target cannot be reached, suspects go without: to be answered comes before
// being told apart.
func (e *Entry) reserve(ctx context.Context, id instance.ID, until time.Time) (release func(), ok bool) {
	holder := uuid.NewString()
	keeper := instance.Rank("suspect/"+string(id), e.fleet.Entries())[0]

	if keeper == e.cfg.ID {
		return func() { e.kept.release(id, holder) }, e.kept.reserve(id, holder, until, time.Now())
	}

	c, err := e.peer(keeper)
	if err != nil {
		return nil, true
	}

	ok, err = c.Reserve(ctx, id, holder, time.Until(until))
	if err != nil {
		return nil, true
	}

	return func() {
		// The request need not wait for this.
		go func() { _ = c.Unreserve(context.Background(), id, holder) }()
	}, ok
}
