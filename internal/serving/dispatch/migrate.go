package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/serving/router"
)

// errMigrate ends a stream on a target that is leaving, so that it goes on
// elsewhere with its state.
var errMigrate = errors.New("target is leaving")

// minTokensToMigrate is how many tokens must be left for a move to pay: the state's
// way to another target takes about as long as a few tokens.
const minTokensToMigrate = 8

// shouldMigrate reports whether the answer should go on elsewhere: its target is
// leaving, much of it is still to come, and another target has the model.
func (f *forwarder) shouldMigrate() bool {
	if !f.last.Leaving() || f.req.MaxTokens-f.checker.Next() < minTokensToMigrate {
		return false
	}

	for _, t := range f.cfg.Table.Targets(f.req.Model) {
		if t != f.last && !t.Leaving() {
			return true
		}
	}

	return false
}

// exportState fetches the answer's state from the target that is leaving. It is
// no loss if that fails: the next target reads the prompt again.
func (f *forwarder) exportState(t *router.Target) {
	ctx, cancel := context.WithTimeout(context.Background(), stateTimeout)
	defer cancel()

	f.state, _ = f.cfg.Engine(t).ExportKV(ctx, f.req.EngineID)
}

// importState hands the state to the next target.
func (f *forwarder) importState(t *router.Target) {
	if f.state == nil {
		return
	}

	ctx, cancel := context.WithTimeout(context.Background(), stateTimeout)
	defer cancel()

	_ = f.cfg.Engine(t).ImportKV(ctx, f.req.EngineID, f.state)
	f.state = nil
}

// stateTimeout bounds the way of an answer's state.
const stateTimeout = 500 * time.Millisecond
