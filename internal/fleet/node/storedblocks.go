package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/platform/revision"
	"github.com/fulmarcross/fulmarcross/internal/platform/table"
	"github.com/fulmarcross/fulmarcross/internal/serving/crash"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
)

const (
	// blocksKey is the key of the row with all blocks. It outlives a restart of all entries.
	blocksKey = "crashes"
	// blocksTimeout bounds a call to the store for blocks, and blocksRetry is the time after
	// which a failed one is made again, at most blocksTries times in all.
	blocksTimeout = time.Second
	blocksRetry   = 2 * time.Second
	blocksTries   = 5
	// maxStoredBlocks bounds the blocks in the row. The newest are kept.
	maxStoredBlocks = 256
)

// blockRow is a block in the store.
type blockRow struct {
	Fingerprint uint64 `json:"fingerprint,string"`
	// LastDeathMs is in milliseconds since 1970.
	LastDeathMs int64 `json:"lastDeathMs"`
	Restricted  bool  `json:"restricted,omitempty"`
	Recurring   bool  `json:"recurring,omitempty"`
}

// encodeBlocks returns the row of the blocks, the newest first.
func encodeBlocks(blocks []crash.Block) ([]byte, error) {
	blocks = crash.Newest(blocks, maxStoredBlocks)
	out := make([]blockRow, len(blocks))

	for i, b := range blocks {
		out[i] = blockRow{Fingerprint: uint64(b.Fingerprint), LastDeathMs: b.LastDeath.UnixMilli(), Restricted: b.Restricted, Recurring: b.Recurring}
	}

	return json.Marshal(out)
}

// decodeBlocks returns the blocks of a row. Clocks of entries differ, so a death that is yet
// to come counts as one of now.
func decodeBlocks(data []byte, now time.Time) ([]crash.Block, error) {
	if len(data) == 0 {
		return nil, nil
	}

	var rows []blockRow
	if err := json.Unmarshal(data, &rows); err != nil {
		return nil, err
	}

	out := make([]crash.Block, len(rows))
	for i, r := range rows {
		out[i] = crash.Block{
			Fingerprint: request.Fingerprint(r.Fingerprint), LastDeath: clock.Earlier(time.UnixMilli(r.LastDeathMs), now),
			Restricted: r.Restricted, Recurring: r.Recurring,
		}
	}

	return out, nil
}

// readBlocks reads the blocks from the store.
func (c *crashes) readBlocks(ctx context.Context) ([]crash.Block, revision.Number, error) {
	ctx, cancel := context.WithTimeout(ctx, blocksTimeout)
	defer cancel()

	rows, err := c.node.cfg.Table.Read(ctx, blocksKey)
	if err != nil {
		return nil, 0, err
	}

	blocks, err := decodeBlocks(rows[0].Value, time.Now())

	return blocks, rows[0].Version, err
}

// learnStored applies the blocks in the store after a start.
func (c *crashes) learnStored(ctx context.Context) {
	c.try(ctx, "read", func() error {
		blocks, _, err := c.readBlocks(ctx)
		for _, b := range blocks {
			c.node.dispatcher.Crashes.Block(b)
		}

		return err
	})
}

// store adds a block to those in the store.
func (c *crashes) store(ctx context.Context, b crash.Block) {
	c.changeStored(ctx, func(blocks []crash.Block) ([]crash.Block, bool) { return crash.Merge(blocks, b, time.Now()) })
}

// storeAll adds all blocks that this entry knows to those in the store, which may have lost them.
// It waits for a random part of blocksRetry, since all entries know the same blocks.
func (c *crashes) storeAll(ctx context.Context) {
	known := c.node.dispatcher.Crashes.Blocks()
	if len(known) == 0 || clock.Sleep(ctx, rand.N(blocksRetry)) != nil { //nolint:gosec // No secret.
		return
	}

	c.changeStored(ctx, func(blocks []crash.Block) ([]crash.Block, bool) {
		changed := false

		for _, b := range known {
			var added bool

			blocks, added = crash.Merge(blocks, b, time.Now())
			changed = changed || added
		}

		return blocks, changed
	})
}

// removeStored removes blocks from those in the store.
func (c *crashes) removeStored(ctx context.Context, remove func(crash.Block) bool) {
	c.changeStored(ctx, func(blocks []crash.Block) ([]crash.Block, bool) {
		next := slices.DeleteFunc(slices.Clone(blocks), remove)

		return next, len(next) < len(blocks)
	})
}

// changeStored changes the blocks in the store, if change reports that it is necessary.
func (c *crashes) changeStored(ctx context.Context, change func([]crash.Block) ([]crash.Block, bool)) {
	c.try(ctx, "change", func() error {
		blocks, version, err := c.readBlocks(ctx)
		if err != nil {
			return err
		}

		next, changed := change(blocks)
		if !changed {
			return nil
		}

		data, err := encodeBlocks(next)
		if err != nil {
			return err
		}

		ctx, cancel := context.WithTimeout(ctx, blocksTimeout)
		defer cancel()

		_, err = c.node.cfg.Table.Commit(ctx, table.Transaction{
			Conditions: []table.Condition{{Key: blocksKey, Version: version}},
			Writes:     []table.Write{{Key: blocksKey, Value: data}},
		})

		return err
	})
}

// try calls f until it succeeds, some times at most.
func (c *crashes) try(ctx context.Context, what string, f func() error) {
	for range blocksTries {
		err := f()
		if err == nil {
			return
		}

		c.node.cfg.Log.Info().Err(err).Str("what", what).Msg("cannot reach blocks in the store")

		if clock.Sleep(ctx, jitter(blocksRetry)) != nil {
			return
		}
	}
}
