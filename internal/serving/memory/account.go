// Package memory counts the bytes that an entry holds for its clients, by connection,
// by team and in total, and bounds them: when they come near the limit, new requests
// are refused, and clients that do not read are cut off.
package memory

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
)

const (
	// largeBody is the size of a body from which a request is refused first.
	largeBody = 64 << 10
	// The fractions of the limit, in eighths, from which requests are refused: those
	// with large bodies and those of a team that holds more than half of the limit;
	// all but those of a team that holds less than an eighth; all. The last lies above
	// the limit, so that other teams are served until the clients of a team that holds
	// most have been cut off: send queues that fill at once are counted 100 ms later.
	eighths, refuseSomeFrom, refuseMostFrom, refuseAllFrom = 8, 6, 8, 12
	// reclaimFrom is the fraction from which clients that do not read are cut off.
	reclaimFrom = 7
	// reserveWait is how long a reservation waits for memory. Cutting off clients
	// takes about two reclaimIntervals.
	reserveWait         = time.Second
	reservePollInterval = 20 * time.Millisecond
)

// Account counts the bytes that are held for all clients. Create it with New.
type Account struct {
	// OnShort is called when clients are about to be cut off because memory is short,
	// at most once a second. It may be nil.
	OnShort func(held, limit int64)

	limit      int64
	total      atomic.Int64
	reclaiming atomic.Bool
	epoch      time.Time
	// shortAt is when OnShort was last called. It belongs to the goroutine that set
	// reclaiming.
	shortAt time.Time

	mu       sync.Mutex
	teams    map[string]*teamSum
	holdings map[*Holding]struct{}
}

// teamSum is what is held for one team.
type teamSum struct{ held atomic.Int64 }

// New returns an account for a process that may use memoryMB. Half of it may be held
// for clients; the rest is for the program, its state and the runtime.
func New(memoryMB float64) *Account {
	return &Account{
		limit: int64(memoryMB * (1 << 20) / 2), //nolint:mnd // Half.
		epoch: time.Now().Add(-epochMargin),
		teams: make(map[string]*teamSum), holdings: make(map[*Holding]struct{}),
	}
}

// Held returns the number of bytes held for all clients, and the limit.
func (a *Account) Held() (held, limit int64) { return a.total.Load(), a.limit }

// Refuses returns why a new request must be refused, or an empty text. bodyBytes is
// the size of its body, negative if unknown.
func (a *Account) Refuses(team string, bodyBytes int64) string {
	level := a.total.Load() * eighths
	if level < a.limit*refuseSomeFrom {
		return ""
	}

	ofTeam := a.team(team).held.Load()
	large := bodyBytes < 0 || bodyBytes > largeBody

	switch {
	case level >= a.limit*refuseAllFrom || level >= a.limit*refuseMostFrom && ofTeam*eighths >= a.limit:
		return "memory is short"
	case large:
		return "memory is short for a large body"
	case ofTeam > a.limit/2: //nolint:mnd // Half.
		return "memory is short, and the team holds more than half of it"
	default:
		return ""
	}
}

func (a *Account) team(name string) *teamSum {
	a.mu.Lock()
	defer a.mu.Unlock()

	t := a.teams[name]
	if t == nil {
		t = &teamSum{}
		a.teams[name] = t
	}

	return t
}

// ShortError reports that memory stayed short while a body was read.
type ShortError struct{ Needed, Held, Limit int64 }

func (e *ShortError) Error() string {
	return fmt.Sprintf("memory is short: %d more bytes needed, %d of %d held", e.Needed, e.Held, e.Limit)
}

// Holding is what is held for one client's connection. A nil *Holding counts nothing
// and has no limit.
type Holding struct {
	account *Account
	cut     func(stalled time.Duration)
	// base is what the connection itself takes. It is part of the total only.
	base int64
	team *teamSum
	held atomic.Int64
	// stalledSince is when the client last read, in nanoseconds since the account's
	// epoch, or zero if no write to it is blocked.
	stalledSince atomic.Int64
	// idleSince is when the last request on the connection ended, in the same unit, or
	// zero if it carries one.
	idleSince atomic.Int64
	// cutOff is set under account.mu once cut is called.
	cutOff bool
}

// Open returns the holding of a new connection, which itself takes base bytes. cut is called, at most once and
// possibly in another goroutine, to disconnect a client that has read nothing for the
// given time, or whose connection is idle if the time is zero. It must not block.
func (a *Account) Open(base int64, cut func(stalled time.Duration)) *Holding {
	h := &Holding{account: a, base: base, cut: cut, team: a.team("")}

	a.mu.Lock()
	defer a.mu.Unlock()

	a.holdings[h] = struct{}{}
	h.Idle()

	if total := a.total.Add(base); total*eighths > a.limit*reclaimFrom {
		a.startReclaim()
	}

	return h
}

// Close ends the holding. What is still held must be subtracted by Add as well.
func (h *Holding) Close() {
	if h == nil {
		return
	}

	h.account.mu.Lock()
	defer h.account.mu.Unlock()

	if _, open := h.account.holdings[h]; open {
		delete(h.account.holdings, h)
		h.account.total.Add(-h.base)
	}
}

// SetTeam moves the holding to another team. It must not be called concurrently with
// Add or Reserve.
func (h *Holding) SetTeam(name string) {
	if h == nil {
		return
	}

	t := h.account.team(name)
	held := h.held.Load()

	h.team.held.Add(-held)
	t.held.Add(held)

	h.account.mu.Lock()
	defer h.account.mu.Unlock()

	h.team = t
}

// Idle records that the connection carries no request. A new one carries none.
func (h *Holding) Idle() {
	if h != nil {
		h.idleSince.Store(h.account.sinceEpoch(time.Now()))
	}
}

// Busy records that the connection carries a request.
func (h *Holding) Busy() {
	if h != nil {
		h.idleSince.Store(0)
	}
}

// Held returns the bytes held for the connection.
func (h *Holding) Held() int64 {
	if h == nil {
		return 0
	}

	return h.held.Load()
}

// Add adds to the bytes held, or subtracts if n is negative.
func (h *Holding) Add(n int64) {
	if h == nil || n == 0 {
		return
	}

	h.held.Add(n)
	h.team.held.Add(n)

	total := h.account.total.Add(n)
	if n > 0 && total*eighths > h.account.limit*reclaimFrom {
		h.account.startReclaim()
	}
}

// Reserve adds to the bytes held when the limit allows it. It waits for that for a
// short time, then fails with a *ShortError.
func (h *Holding) Reserve(ctx context.Context, n int64) error {
	if h == nil || n <= 0 {
		return nil
	}

	a := h.account

	for began := time.Now(); ; {
		if held := a.total.Load(); held+n <= a.limit {
			// Concurrent reservations may exceed the limit by their sum.
			h.Add(n)

			return nil
		} else if time.Since(began) >= reserveWait {
			return &ShortError{Needed: n, Held: held, Limit: a.limit}
		}

		a.startReclaim()

		if err := clock.Sleep(ctx, reservePollInterval); err != nil {
			return err
		}
	}
}

// Stalled records that a write to the client is blocked and that the client last read
// at the given time.
func (h *Holding) Stalled(since time.Time) {
	if h != nil {
		h.stalledSince.Store(h.account.sinceEpoch(since))
	}
}

// Progressed records that no write to the client is blocked.
func (h *Holding) Progressed() {
	if h != nil {
		h.stalledSince.Store(0)
	}
}

// epochMargin is how long before an account's creation its epoch lies. It exceeds
// every time for which a client may have read nothing.
const epochMargin = 24 * time.Hour

// sinceEpoch returns a time as nanoseconds since the account's epoch, at least one.
func (a *Account) sinceEpoch(t time.Time) int64 { return max(1, int64(t.Sub(a.epoch))) }

// Buffer is what is held for a buffer that grows. The zero value counts nothing.
type Buffer struct {
	Holding *Holding

	size int64
}

// SetSize sets the buffer's size. It is cheap if the size is unchanged.
func (b *Buffer) SetSize(n int) {
	if size := int64(n); size != b.size {
		b.Holding.Add(size - b.size)
		b.size = size
	}
}

// Grow sets the buffer's size when the limit allows it, as Reserve does.
func (b *Buffer) Grow(ctx context.Context, n int) error {
	size := int64(n)
	if err := b.Holding.Reserve(ctx, size-b.size); err != nil {
		return err
	}

	b.size = size

	return nil
}
