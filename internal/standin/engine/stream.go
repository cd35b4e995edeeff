package engine

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
)

// prefill returns the time to the first token, and caches the prefix.
func (e *Engine) prefill(g *generation) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()

	const prefixLen, maxPrefixes, maxEvents = 64, 256, 1024

	prefix := g.Prompt[:min(len(g.Prompt), prefixLen)]
	d := time.Duration(float64(e.opt.FirstToken) / e.opt.Speed)

	if e.prefixes[prefix] || e.imported[g.RequestID] {
		return d / 4
	}

	if len(e.prefixes) < maxPrefixes {
		e.prefixes[prefix] = true
		e.number++
		e.events = append(e.events, target.CacheEvent{Number: e.number, Prefix: prefix, Cached: true})
		e.events = e.events[max(0, len(e.events)-maxEvents):]
	}

	return d
}

// step returns the time between tokens at the present batch size.
func (e *Engine) step() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()

	batch := 1 + 0.1*float64(len(e.running))

	return time.Duration(float64(e.opt.PerToken) / e.opt.Speed * batch)
}

// stream produces a generation's frames on demand.
type stream struct {
	ctx      context.Context //nolint:containedctx // A stream lives as long as its call.
	engine   *Engine
	gen      *generation
	next     int
	id       string
	truncate bool
	started  bool
	ended    bool
}

func (s *stream) Next() (target.Frame, error) {
	if s.ended {
		return target.Frame{}, io.EOF
	}

	delay, err := s.begin()
	if err != nil {
		return target.Frame{}, err
	}

	select {
	case <-s.ctx.Done():
		return target.Frame{}, io.ErrUnexpectedEOF
	case <-s.gen.silent:
		<-s.ctx.Done()

		return target.Frame{}, io.ErrUnexpectedEOF
	case <-time.After(delay):
	}

	if s.next >= s.gen.MaxTokens {
		s.ended = true

		return target.Frame{RequestID: s.id, Index: s.next, End: true}, nil
	}

	if s.truncate && s.next > s.gen.MaxTokens/2 {
		return target.Frame{}, io.EOF
	}

	f := target.Frame{RequestID: s.id, Index: s.next, Text: Token(s.gen.Model, s.gen.Prompt, s.next)}
	s.next++

	return f, nil
}

// begin waits for a slot before the first frame and returns the time that the
// next frame takes.
func (s *stream) begin() (time.Duration, error) {
	if s.started {
		return s.engine.step(), nil
	}

	s.started = true

	select {
	case <-s.ctx.Done():
		return 0, io.ErrUnexpectedEOF
	case <-s.gen.ready:
		return s.engine.prefill(s.gen), nil
	}
}

func (s *stream) Close() error {
	s.engine.finish(s.gen)

	return nil
}

// Token returns the token at index of the answer to prompt.
func Token(model, prompt string, index int) string {
	return fmt.Sprintf("%08x.%d ", uint32(xxhash.Sum64String(model+"\x00"+prompt)), index) //nolint:gosec // A digest.
}

// Answer returns the whole answer of n tokens to prompt.
func Answer(model, prompt string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(model, prompt, i))
	}

	return b.String()
}
