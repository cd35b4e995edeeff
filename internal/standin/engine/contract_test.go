package engine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
	wire "github.com/fulmarcross/fulmarcross/internal/wire/engine"
)

// eachForm runs a contract against the engine in memory and over TCP.
func eachForm(t *testing.T, opt Options, contract func(t *testing.T, e target.Engine, s *Engine)) {
	t.Helper()

	opt.ID, opt.Memory = "e", 100

	t.Run("in memory", func(t *testing.T) {
		s := New(opt)
		contract(t, s, s)
	})
	t.Run("over TCP", func(t *testing.T) {
		s := New(opt)

		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)

		server := &http.Server{Handler: Handler(s), ReadHeaderTimeout: time.Second}
		go func() { _ = server.Serve(l) }()

		t.Cleanup(func() { _ = server.Close() })
		contract(t, &wire.Client{
			Target: "e", Address: netip.MustParseAddrPort(l.Addr().String()), HTTP: &http.Client{},
		}, s)
	})
}

// load orders the load of m and waits until it is ready.
func load(t *testing.T, e target.Engine, token uint64) {
	t.Helper()

	_, err := e.Submit(t.Context(), target.Order{ID: "1", Token: token, Action: target.Load{Model: "m", Bytes: 10}})
	assert.NilError(t, err)

	for range 1000 {
		inv, err := e.Inventory(t.Context())
		assert.NilError(t, err)

		for _, h := range inv.Resident {
			if h.Model == "m" && h.Phase == target.Ready {
				return
			}
		}

		time.Sleep(time.Millisecond)
	}

	t.Fatal("not loaded")
}

func readAll(s target.Stream) (text string, whole bool, err error) {
	defer s.Close()

	for {
		f, err := s.Next()
		if err != nil {
			return text, false, err
		}

		if f.End {
			return text, true, nil
		}

		text += f.Text
	}
}

func TestGenerateContract(t *testing.T) {
	eachForm(t, Options{}, func(t *testing.T, e target.Engine, s *Engine) {
		g := target.Generation{RequestID: "r", Model: "m", Prompt: "p", MaxTokens: 5}

		_, err := e.Generate(t.Context(), g)

		var notLoaded *target.NotLoadedError

		assert.Assert(t, errors.As(err, &notLoaded))
		load(t, e, 1)

		stream, err := e.Generate(t.Context(), g)
		assert.NilError(t, err)

		text, whole, _ := readAll(stream)
		assert.Assert(t, whole)
		assert.Equal(t, text, Answer("m", "p", 5))

		// A resumed stream begins at its offset.
		g.Offset = 3
		stream, err = e.Generate(t.Context(), g)
		assert.NilError(t, err)

		f, err := stream.Next()
		assert.NilError(t, err)
		assert.Equal(t, f, target.Frame{RequestID: "r", Index: 3, Text: Token("m", "p", 3)})
		assert.NilError(t, stream.Close())
		assert.NilError(t, e.Cancel(t.Context(), "r"))
		assert.NilError(t, e.Cancel(t.Context(), "unknown"))

		s.SetFaults(Faults{Truncate: true})

		g.Offset = 0
		stream, err = e.Generate(t.Context(), g)
		assert.NilError(t, err)

		_, whole, err = readAll(stream)
		assert.Assert(t, !whole)
		assert.ErrorIs(t, err, io.EOF)

		s.Leave()

		_, err = e.Generate(t.Context(), g)

		var leaving *target.LeavingError

		assert.Assert(t, errors.As(err, &leaving))
	})
}

func TestOrderContract(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("tokens checked %v", checks), func(t *testing.T) {
			eachForm(t, Options{ChecksToken: checks, Restart: 50 * time.Millisecond}, func(t *testing.T, e target.Engine, s *Engine) {
				load(t, e, 5)

				_, err := e.Submit(t.Context(), target.Order{ID: "2", Token: 4, Action: target.Load{Model: "old", Bytes: 1}})

				var stale *target.StaleTokenError

				assert.Equal(t, errors.As(err, &stale), checks)

				if checks {
					assert.Equal(t, *stale, target.StaleTokenError{Target: "e", Token: 4, Highest: 5})
				}

				// An order is carried out once, whoever sends it again.
				_, err = e.Submit(t.Context(), target.Order{ID: "3", Token: 6, Action: target.Unload{Model: "m"}})
				assert.NilError(t, err)

				inv, err := e.Submit(t.Context(), target.Order{ID: "1", Token: 6, Action: target.Load{Model: "m"}})
				assert.NilError(t, err)

				for _, h := range inv.Resident {
					assert.Assert(t, h.Model != "m")
				}

				before := inv.Incarnation

				s.Crash()

				_, err = e.Inventory(t.Context())
				assert.Assert(t, err != nil)
				time.Sleep(100 * time.Millisecond)

				inv, err = e.Inventory(t.Context())
				assert.NilError(t, err)
				assert.Assert(t, inv.Incarnation != before)
				assert.Equal(t, len(inv.Resident), 0)
			})
		})
	}
}

func TestReportsAndEventsContract(t *testing.T) {
	eachForm(t, Options{Slots: 1, FirstToken: time.Millisecond}, func(t *testing.T, e target.Engine, s *Engine) {
		load(t, e, 1)

		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()

		first, err := e.Generate(ctx, target.Generation{RequestID: "1", Model: "m", Prompt: "a", MaxTokens: 1000000})
		assert.NilError(t, err)

		defer first.Close()

		_, err = first.Next()
		assert.NilError(t, err)

		r, err := e.Report(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, r.Running, 1)
		assert.Equal(t, r.Slots, 1)

		events, err := e.Events(t.Context(), 0)
		assert.NilError(t, err)
		assert.Equal(t, len(events), 1)
		assert.Equal(t, events[0].Prefix, "a")

		state, err := e.ExportKV(t.Context(), "1")
		assert.NilError(t, err)
		assert.NilError(t, e.ImportKV(t.Context(), "1", state))

		s.Silence()
		assert.NilError(t, e.Cancel(t.Context(), "1"))
	})
}

// TestPrioritiesWait is the story of two requests that wait for one slot: the
// one with the higher priority is served first, though it came later.
func TestPrioritiesWait(t *testing.T) {
	e := New(Options{ID: "e", Memory: 100, Slots: 1})
	load(t, e, 1)

	open := func(id string, priority int) target.Stream {
		s, err := e.Generate(t.Context(), target.Generation{
			RequestID: id, Model: "m", Prompt: id, MaxTokens: 1, Priority: priority,
		})
		assert.NilError(t, err)

		return s
	}

	running, low, high := open("running", 0), open("low", 1), open("high", 9)

	assert.NilError(t, running.Close())
	assert.Assert(t, e.running["high"] != nil && e.running["low"] == nil)
	assert.NilError(t, high.Close())
	assert.Assert(t, e.running["low"] != nil)
	assert.NilError(t, low.Close())
}
