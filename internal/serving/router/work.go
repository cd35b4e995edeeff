package router

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/serving/route"
)

const (
	// steepLoad is the part of a target's slots up to which the time to a first token is
	// taken to grow as in a queue; beyond, it grows linearly, so that full targets can
	// still be compared.
	steepLoad = 0.9
	// maxTokenShare is the part of a target's memory that requests may take. The rest is
	// for what entries have sent since the last count.
	maxTokenShare = 0.9
	// sharedTokens is the part of a target's memory that entries divide between them. The
	// difference to maxTokenShare is for the chance that more entries than expected use
	// their shares.
	sharedTokens = 0.75
	// competingFactor multiplies the entries that are assumed to compete for a target's
	// slots. More may find room than expected: with a factor of one, up to 34 requests
	// were sent to a target of 12 slots before the next count.
	competingFactor = 2
	// crowdedTokens is the part from which on all entries are assumed to send. On targets
	// with 12 busy slots, requests of the usual sizes take 0.4.
	crowdedTokens = 0.6
	// uncountedShare is the part of the shared memory that entries use without a holder's
	// count. Their shares do not follow the load, and with the whole of it requests
	// exceeded the memory in one of 30 plays.
	uncountedShare = 0.7
	// crowdedDivisor is the number of snapshots over which what is free on a crowded target
	// is divided: a count that includes what was sent arrives after two to three.
	crowdedDivisor = 3
)

// work is what a choice considers of the size of the requests on a target.
type work struct {
	// tokens is the memory that this entry's requests may take on the target.
	tokens atomic.Int64
	// tokensAtCount is the value of tokens when the last new count of all entries' tokens
	// was applied, and tokensIncluded the part of them that the count certainly includes.
	tokensAtCount, tokensIncluded atomic.Int64
	// lowest is the lowest value of tokens since spanBegan, in nanoseconds since 1970, and
	// lowestBefore the one in the span of at least countDelay before.
	lowest, lowestBefore, spanBegan atomic.Int64
	// first is shared by all targets of a table.
	first *firstTokens
}

// firstTokens is an entry's mean time to a first token on an idle target of speed one.
type firstTokens struct{ meanNs atomic.Int64 }

func (f *firstTokens) mean() float64 {
	if f != nil {
		if ns := f.meanNs.Load(); ns > 0 {
			return float64(ns)
		}
	}

	return float64(defaultTimeToFirstToken)
}

func (f *firstTokens) observe(idle float64) {
	const gain = 0.05

	if f != nil {
		mean := f.mean()
		f.meanNs.Store(int64(mean + gain*(idle-mean)))
	}
}

// speed returns the published speed; an unknown one counts as the mean.
func (info *TargetInfo) speed() float64 {
	if info.Speed <= 0 {
		return 1
	}

	return info.Speed
}

// countedTokens returns the published tokens. A holder that counts none leaves the
// number of running requests.
func (info *TargetInfo) countedTokens() int64 {
	if info.Tokens == 0 {
		return int64(info.Running * route.TypicalRequestTokens)
	}

	return int64(info.Tokens)
}

// tokensAhead returns the tokens that are assumed to be ahead of a new request: those of
// all entries by the last count, and what this entry has added since, once for each of up
// to maxCompetitors entries; at least this entry's own.
func (t *Target) tokensAhead(info *TargetInfo, entries int) int64 {
	own := t.tokens.Load()
	added := (own - t.tokensAtCount.Load()) * int64(max(1, min(entries, maxCompetitors)))

	return max(own, info.countedTokens()+added)
}

// slowdown returns the factor by which load delays a first token.
func (t *Target) slowdown(info *TargetInfo, entries int) float64 {
	slots := float64(max(1, info.Slots))
	heads := t.headsAhead(info, entries)
	ahead := float64(t.tokensAhead(info, entries)) / route.TypicalRequestTokens

	if ahead <= 0 {
		// The requests state no size.
		ahead = heads
	}

	// Requests beyond the slots wait for one, whatever their size.
	load := (ahead + max(0, heads-slots)) / slots
	if load <= steepLoad {
		return 1 / (1 - load)
	}

	return 1/(1-steepLoad) + (load-steepLoad)/((1-steepLoad)*(1-steepLoad))
}

// estimateWork returns the predicted time to first token, in nanoseconds, by the tokens
// ahead and the target's speed.
func (t *Target) estimateWork(info *TargetInfo, entries int) float64 {
	return t.first.mean() * t.slowdown(info, entries) / info.speed()
}

// Prediction is what a choice of a target was based on.
type Prediction struct {
	// Tokens are the tokens ahead by the last count and this entry's own, Speed is the
	// target's speed.
	Tokens int
	Speed  float64
	// FirstToken is the predicted time to first token.
	FirstToken time.Duration
}

// Predict returns the prediction for a request of so many tokens that was counted on a
// target that is balanced by work.
func (t *Target) Predict(tokens int) Prediction {
	info := t.info.Load()
	if info == nil {
		return Prediction{}
	}

	ahead := max(0, t.tokensAhead(info, 1)-int64(tokens))

	return Prediction{Tokens: int(ahead), Speed: info.speed(), FirstToken: time.Duration(t.estimateWork(info, 1))}
}

// hasMemory reports whether the target has memory for the request besides own, the
// tokens of this entry's requests there. Where the limit is known, the tokens of all
// requests stay under maxTokenShare of it, except that a larger request may run alone.
func (t *Target) hasMemory(info *TargetInfo, q *Query, own int64) bool {
	if info.TokenLimit <= 0 {
		return true
	}

	tokens, counted := int64(q.Tokens), info.countedTokens()
	added := own - t.tokensIncluded.Load()
	used := max(own, counted+added)
	limit := int64(maxTokenShare * float64(info.TokenLimit))

	if tokens > limit {
		return used <= 0 && q.Tokens <= info.TokenLimit
	}

	if info.Uncounted && own == 0 {
		return true
	}

	return used+tokens <= limit && float64(added+tokens) <= t.memoryShare(info, q, int64(sharedTokens*float64(info.TokenLimit))-counted)
}

// memoryShare returns the tokens that this entry may add to a target with the given free
// tokens before the next count. Entries that send at the same time share them in the way
// of shareOfFree.
//
// On a crowded target, and on all targets of a model if they are crowded on average, all
// entries are assumed to send: a target with free memory among full ones would otherwise
// get the requests of all entries. Without a holder's count, all entries share the memory;
// each may send one request in any case (see hasMemory), since the random part of its share
// stays the same, and an entry with a low one would refuse all requests for a model with one
// replica.
//
// The shares bound what entries send on average. With counts that are a second old, or
// under high load from 87 entries, the requests can exceed the memory.
func (t *Target) memoryShare(info *TargetInfo, q *Query, free int64) float64 {
	entries := max(1, q.Entries)
	if entries == 1 {
		return float64(free)
	}

	competing, share := float64(entries), float64(free)

	switch {
	case info.Uncounted:
		share *= uncountedShare
	case q.crowded || crowded(info.countedTokens(), info.TokenLimit):
		share /= crowdedDivisor
	default:
		competing = float64(min(entries, competingFactor*competitors(info, entries, q.Waiting)))
	}

	return share/competing + math.Float64frombits(t.remainderDraw.Load())*float64(q.Tokens)
}

func crowded(tokens int64, limit int) bool { return float64(tokens) > crowdedTokens*float64(limit) }

// crowdedMemory reports whether the targets' memory is crowded on average. It is false if
// the memory has no limit.
func crowdedMemory(targets []*Target) bool {
	tokens, limit := int64(0), 0

	for _, t := range targets {
		info := t.info.Load()
		if info == nil || info.TokenLimit <= 0 {
			return false
		}

		tokens += max(t.tokens.Load(), info.countedTokens())
		limit += info.TokenLimit
	}

	return crowded(tokens, limit)
}

// BeginQuery counts the request of a query and its tokens on the target. It returns false
// and counts nothing if Begin does or if the target has no memory for the request. Two
// requests that choose at the same time may both find the last free memory; only one may
// use it.
func (t *Target) BeginQuery(q *Query) bool {
	n := int64(q.Tokens)
	own := t.tokens.Add(n) - n

	info := t.info.Load()
	if info != nil && !t.hasMemory(info, q, own) || !t.Begin(q.Suspect) {
		t.tokens.Add(-n)

		return false
	}

	return true
}

// EndQuery removes a request that BeginQuery has counted.
func (t *Target) EndQuery(suspect bool, tokens int) {
	t.lower(t.tokens.Add(-int64(tokens)))
	t.End(suspect)
}

// Tokens returns the memory that this entry's requests may take on the target.
func (t *Target) Tokens() int { return int(t.tokens.Load()) }

// countDelay is the usual time from an entry's report until it has a snapshot that includes
// it. The lowest values of one to two such times are considered. With a second, requests of
// two entries were queued twice as often at 0.87 of the load.
const countDelay = 600 * time.Millisecond

// lower lowers the lowest value of tokens to own.
func (w *work) lower(own int64) {
	for low := w.lowest.Load(); own < low && !w.lowest.CompareAndSwap(low, own); low = w.lowest.Load() {
	}
}

// applyCount records a new count of all entries' tokens at now. It includes at least the
// fewest tokens that this entry's requests had within countDelay; which of the entry's
// reports it includes is unknown.
func (w *work) applyCount(now time.Time) {
	own := w.tokens.Load()
	w.tokensAtCount.Store(own)
	w.tokensIncluded.Store(min(own, w.lowest.Load(), w.lowestBefore.Load()))

	if at := now.UnixNano(); at-w.spanBegan.Load() >= int64(countDelay) {
		w.spanBegan.Store(at)
		w.lowestBefore.Store(w.lowest.Swap(own))
		w.lower(w.tokens.Load())
	}
}

// observeFirst records an answer's time to first token under the present load.
func (t *Target) observeFirst(firstToken time.Duration) {
	if info := t.info.Load(); info != nil && info.SmallBatch {
		t.first.observe(float64(firstToken) / t.slowdown(info, 1) * info.speed())
	}
}
