// Package platform is a small stand-in of the platform: a table service, an object
// store, a weight store and a list of instances in memory, with faults that can be set.
package platform

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/platform/object"
	"github.com/fulmarcross/fulmarcross/internal/platform/revision"
	"github.com/fulmarcross/fulmarcross/internal/platform/table"
	"github.com/fulmarcross/fulmarcross/internal/platform/weight"
)

// Platform contains the platform's state. The zero value is empty and ready to use.
type Platform struct {
	mu          sync.Mutex
	rows        map[string]table.Row
	keys        []string // keys holds the keys of rows, sorted.
	version     revision.Number
	objects     map[string][]byte
	checkpoints []weight.Checkpoint
	instances   map[instance.ID]listed

	faults Faults

	// Reads and Writes count the rows read and written.
	Reads, Writes atomic.Int64
}

type listed struct {
	instance.Instance

	since time.Time
}

// Faults are the faults of the stand-in.
type Faults struct {
	// TableDown makes every call on the table and the object store fail
	// before it takes effect.
	TableDown bool
	// TableDelay is added to every call on the table.
	TableDelay time.Duration
	// LoseAnswers is the number of next commits that take effect and then fail.
	LoseAnswers int
	// ListLag is the delay after which a change of an instance's state is listed.
	ListLag time.Duration
}

var (
	errDown = errors.New("service is down")
	errLost = errors.New("answer lost")
)

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.faults = f
}

// Read implements table.Service.
func (p *Platform) Read(ctx context.Context, keys ...string) ([]table.Row, error) {
	if err := p.enter(ctx, "read"); err != nil {
		return nil, err
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	out := make([]table.Row, len(keys))
	for i, key := range keys {
		out[i] = p.rows[key]
		out[i].Key = key
	}

	p.Reads.Add(int64(len(keys)))

	return out, nil
}

// Scan implements table.Service.
func (p *Platform) Scan(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	if err := p.enter(ctx, "scan"); err != nil {
		return nil, err
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	from := sort.SearchStrings(p.keys, max(prefix, after+"\x00"))
	if after == "" {
		from = sort.SearchStrings(p.keys, prefix)
	}

	var out []table.Row
	for _, key := range p.keys[from:] {
		if !strings.HasPrefix(key, prefix) || len(out) == limit {
			break
		}

		out = append(out, p.rows[key])
	}

	p.Reads.Add(int64(max(1, len(out))))

	return out, nil
}

// Commit implements table.Service.
func (p *Platform) Commit(ctx context.Context, tx table.Transaction) (revision.Number, error) {
	if err := p.enter(ctx, "commit"); err != nil {
		return 0, err
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	for _, c := range tx.Conditions {
		if got := p.rows[c.Key].Version; got != c.Version {
			return 0, &table.ConflictError{Key: c.Key, Version: got}
		}
	}

	p.version++
	for _, w := range tx.Writes {
		p.apply(w)
	}

	p.Writes.Add(int64(len(tx.Writes)))

	if p.faults.LoseAnswers > 0 {
		p.faults.LoseAnswers--

		return 0, &table.UnavailableError{Op: "commit", Err: errLost}
	}

	return p.version, nil
}

func (p *Platform) apply(w table.Write) {
	_, had := p.rows[w.Key]
	at := sort.SearchStrings(p.keys, w.Key)

	if w.Delete {
		if had {
			p.keys = slices.Delete(p.keys, at, at+1)
			delete(p.rows, w.Key)
		}

		return
	}

	if !had {
		p.keys = slices.Insert(p.keys, at, w.Key)
	}

	if p.rows == nil {
		p.rows = make(map[string]table.Row)
	}

	p.rows[w.Key] = table.Row{Key: w.Key, Value: slices.Clone(w.Value), Version: p.version}
}

func (p *Platform) enter(ctx context.Context, op string) error {
	p.mu.Lock()
	f := p.faults
	p.mu.Unlock()

	if f.TableDelay > 0 {
		select {
		case <-ctx.Done():
			return &table.UnavailableError{Op: op, Err: ctx.Err()}
		case <-time.After(f.TableDelay):
		}
	}

	if f.TableDown {
		return &table.UnavailableError{Op: op, Err: errDown}
	}

	return ctx.Err()
}

// Row returns a row regardless of the faults, for checks.
func (p *Platform) Row(key string) (table.Row, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	row, ok := p.rows[key]

	return row, ok
}

// Put implements object.Store.
func (p *Platform) Put(ctx context.Context, name string, data []byte) error {
	if err := p.enter(ctx, "put"); err != nil {
		return err
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	if p.objects == nil {
		p.objects = make(map[string][]byte)
	}

	p.objects[name] = slices.Clone(data)

	return nil
}

// Get implements object.Store.
func (p *Platform) Get(ctx context.Context, name string) ([]byte, error) {
	if err := p.enter(ctx, "get"); err != nil {
		return nil, err
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	data, ok := p.objects[name]
	if !ok {
		return nil, &object.NotFoundError{Name: name}
	}

	return slices.Clone(data), nil
}

// List implements object.Store.
func (p *Platform) List(ctx context.Context, prefix string) ([]string, error) {
	if err := p.enter(ctx, "list"); err != nil {
		return nil, err
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	names := slices.Sorted(maps.Keys(p.objects))

	return slices.DeleteFunc(names, func(n string) bool { return !strings.HasPrefix(n, prefix) }), nil
}

// Delete implements object.Store.
func (p *Platform) Delete(ctx context.Context, name string) error {
	if err := p.enter(ctx, "delete"); err != nil {
		return err
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	delete(p.objects, name)

	return nil
}

// AddCheckpoints fills the weight store.
func (p *Platform) AddCheckpoints(all ...weight.Checkpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.checkpoints = append(p.checkpoints, all...)
	slices.SortFunc(p.checkpoints, func(a, b weight.Checkpoint) int { return strings.Compare(a.Name, b.Name) })
}

// Checkpoints implements weight.Store.
func (p *Platform) Checkpoints(context.Context) ([]weight.Checkpoint, error) {
	p.mu.Lock()
	defer p.mu.Unlock()

	return slices.Clone(p.checkpoints), nil
}

// Announce adds an instance to the list or replaces it.
func (p *Platform) Announce(in instance.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.instances == nil {
		p.instances = make(map[instance.ID]listed)
	}

	p.instances[in.ID] = listed{Instance: in, since: time.Now()}
}

// Remove removes the instance from the list.
func (p *Platform) Remove(id instance.ID) {
	p.mu.Lock()
	defer p.mu.Unlock()

	delete(p.instances, id)
}

// Instances implements roster.Service. A leaving instance is still listed as
// live until the lag has passed.
func (p *Platform) Instances(context.Context) ([]instance.Instance, error) {
	p.mu.Lock()
	defer p.mu.Unlock()

	var out []instance.Instance

	for _, id := range slices.Sorted(maps.Keys(p.instances)) {
		in := p.instances[id]
		if in.State == instance.Leaving && time.Since(in.since) < p.faults.ListLag {
			in.State = instance.Live
		}

		out = append(out, in.Instance)
	}

	return out, nil
}
