package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/serving/router"
)

// errMigrate ends a stream on a target that is leaving. The answer is resumed
// on another target with the engine's state of it.
var errMigrate = errors.New("target is leaving")

// minTokensToMigrate is the number of tokens that must be left for a migration
// to be worthwhile: the transfer of the state takes about as long as a few
// tokens.
const minTokensToMigrate = 8

// shouldMigrate reports whether the answer should be resumed on another target:
// its target is leaving, enough of the answer is still to come, and another
// target that is not leaving has the model and may go on with the answer.
func (f *forwarder) shouldMigrate() bool {
	if !f.last.Leaving() || f.req.MaxTokens-f.checker.Next() < minTokensToMigrate {
		return false
	}

	for _, t := range f.cfg.Table.Targets(f.req.Model) {
		if t != f.last && !t.Leaving() && f.req.Origin.Allows(t.Info().Software) {
			return true
		}
	}

	return false
}

// exportState fetches the engine's state of the answer from the target that is
// leaving. A failure is harmless: the next target then processes the prompt
// again.
func (f *forwarder) exportState(t *router.Target) {
	ctx, cancel := context.WithTimeout(context.Background(), stateTimeout)
	defer cancel()

	f.state, _ = f.cfg.Engine(t).ExportKV(ctx, f.req.EngineID)
}

// importState sends the state to the next target.
func (f *forwarder) importState(t *router.Target) {
	if f.state == nil {
		return
	}

	ctx, cancel := context.WithTimeout(context.Background(), stateTimeout)
	defer cancel()

	_ = f.cfg.Engine(t).ImportKV(ctx, f.req.EngineID, f.state)
	f.state = nil
}

// stateTimeout bounds each transfer of an answer's state.
const stateTimeout = 500 * time.Millisecond
