package entry

import (
	"context"
	"sync"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/room/board"
	wireboard "github.com/fulmarcross/fulmarcross/internal/wire/board"
	wire "github.com/fulmarcross/fulmarcross/internal/wire/peer"
)

// publishEvery is the time between two boards.
const publishEvery = time.Second

// boards keeps the newest board and tells those who watch.
type boards struct {
	mu      sync.Mutex
	number  uint64
	data    []byte
	at      time.Time
	changed chan struct{}
	// sequence counts the boards published under one token.
	sequence uint32
	token    uint64
}

// take keeps a board if it is newer. An entry never shows a lower number than
// before, whichever order boards come in.
func (b *boards) take(number uint64, data []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()

	if number <= b.number {
		return
	}

	b.number, b.data, b.at = number, data, time.Now()

	if b.changed != nil {
		close(b.changed)
		b.changed = nil
	}
}

// current returns the newest board, when it came, and a channel that is
// closed when the next one comes.
func (b *boards) current() (data []byte, at time.Time, changed <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()

	if b.changed == nil {
		b.changed = make(chan struct{})
	}

	return b.data, b.at, b.changed
}

func (b *boards) next(token uint64) board.Number {
	b.mu.Lock()
	defer b.mu.Unlock()

	if token != b.token {
		b.token, b.sequence = token, 0
	}

	b.sequence++

	return board.NumberOf(token, b.sequence)
}

// publishBoards builds and spreads boards while this entry holds the first
// cell, whose lease makes it the only one.
func (e *Entry) publishBoards(ctx context.Context) {
	every(ctx, publishEvery, func() {
		l, ok := e.cells[0].Lease()
		if !ok {
			return
		}

		now := time.Now()
		b := board.Build(board.View{
			Number:    e.boards.next(l.Token),
			At:        now,
			Publisher: e.cfg.ID,
			Lists:     e.lists.Current(),
			Table:     &e.table,
			Statuses:  append(e.fleet.Statuses(now), e.status()),
		})

		data, err := wireboard.Encode(b)
		if err != nil {
			e.logger.Error().Err(err).Msg("board cannot be encoded")

			return
		}

		number := uint64(b.Number)
		e.boards.take(number, data)
		e.toPeers(func(ctx context.Context, c *wire.Client) { _ = c.Board(ctx, number, data) })
	})
}
