package crash

import (
	"maps"
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/serving/request"
)

// Block is what is blocked, and the last death that counts for it.
type Block struct {
	Fingerprint request.Fingerprint
	LastDeath   time.Time
	// Restricted says that no verdict blocks it but the number of deaths under it, so that single
	// requests may run by permission.
	Restricted bool
	// Recurring says that it crashes targets at times and runs soundly at others, so that no sound run
	// ends the block.
	Recurring bool
}

// Over reports whether the block has ended.
func (b Block) Over(now time.Time) bool { return now.Sub(b.LastDeath) >= blockPeriod }

// isInForce reports whether a fingerprint is among blocks, which are given by their last deaths, and its
// block has not ended.
func isInForce(blocks map[request.Fingerprint]time.Time, fp request.Fingerprint, now time.Time) bool {
	last, blocked := blocks[fp]

	return blocked && now.Sub(last) < blockPeriod
}

// forgetOver removes the blocks that have ended if there are maxBlocks or more.
func forgetOver(blocks map[request.Fingerprint]time.Time, now time.Time) {
	if len(blocks) < maxBlocks {
		return
	}

	maps.DeleteFunc(blocks, func(_ request.Fingerprint, last time.Time) bool { return now.Sub(last) >= blockPeriod })
}

// Merge returns the blocks with another one and without those that are over. It reports false
// if the other one is among them already, with as late a death.
func Merge(blocks []Block, other Block, now time.Time) ([]Block, bool) {
	kept := slices.DeleteFunc(slices.Clone(blocks), func(b Block) bool { return b.Over(now) })

	for _, b := range kept {
		if b.isOf(other) && !b.LastDeath.Before(other.LastDeath.Truncate(time.Second)) {
			return kept, false
		}
	}

	kept = slices.DeleteFunc(kept, func(b Block) bool { return b.isOf(other) })

	return append(kept, other), true
}

// isOf reports whether the block is of the same fingerprint and for the same reason.
func (b Block) isOf(other Block) bool {
	return b.Fingerprint == other.Fingerprint && b.Restricted == other.Restricted && b.Recurring == other.Recurring
}

// Newest returns at most n of the blocks, those with the latest deaths first.
func Newest(blocks []Block, n int) []Block {
	out := slices.SortedFunc(slices.Values(blocks), func(a, b Block) int { return b.LastDeath.Compare(a.LastDeath) })

	return out[:min(n, len(out))]
}
