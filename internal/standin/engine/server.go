package engine

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
	"github.com/fulmarcross/fulmarcross/internal/standin/httpjson"
	wire "github.com/fulmarcross/fulmarcross/internal/wire/engine"
)

const maxBody = 8 << 20

// Handler serves e over the engines' HTTP protocol.
func Handler(e *Engine) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathGenerate, e.serveGenerate)
	mux.HandleFunc("POST "+wire.PathCancel, e.serveCancel)
	mux.HandleFunc("POST "+wire.PathOrders, e.serveOrder)
	mux.HandleFunc("GET "+wire.PathInventory, e.serveInventory)
	mux.HandleFunc("GET "+wire.PathReport, e.serveReport)
	mux.HandleFunc("GET "+wire.PathEvents, e.serveEvents)
	mux.HandleFunc("GET "+wire.PathKV+"{id}", e.serveExport)
	mux.HandleFunc("PUT "+wire.PathKV+"{id}", e.serveImport)
	mux.HandleFunc("POST "+wire.PathFaults, e.serveFaults)

	return mux
}

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var g wire.Generation
	if !httpjson.Decode(w, r, maxBody, &g) {
		return
	}

	s, err := e.Generate(r.Context(), target.Generation(g))
	if err != nil {
		refuse(w, err)

		return
	}
	defer s.Close()

	enc := json.NewEncoder(w)
	flush := http.NewResponseController(w).Flush

	for {
		f, err := s.Next()
		if errors.Is(err, io.EOF) {
			return
		}

		if err != nil {
			panic(http.ErrAbortHandler)
		}

		if enc.Encode(wire.Frame(f)) != nil || flush() != nil {
			return
		}
	}
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var c wire.Cancel
	if httpjson.Decode(w, r, maxBody, &c) {
		answer(w, struct{}{}, e.Cancel(r.Context(), c.RequestID))
	}
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var m wire.Order
	if !httpjson.Decode(w, r, maxBody, &m) {
		return
	}

	o, err := wire.ToOrder(m)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)

		return
	}

	inv, err := e.Submit(r.Context(), o)
	answer(w, wire.FromInventory(inv), err)
}

func (e *Engine) serveInventory(w http.ResponseWriter, r *http.Request) {
	inv, err := e.Inventory(r.Context())
	answer(w, wire.FromInventory(inv), err)
}

func (e *Engine) serveReport(w http.ResponseWriter, r *http.Request) {
	report, err := e.Report(r.Context())
	answer(w, wire.Report(report), err)
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	events, err := e.Events(r.Context(), after)

	out := make([]wire.CacheEvent, len(events))
	for i, ev := range events {
		out[i] = wire.CacheEvent(ev)
	}

	answer(w, out, err)
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	state, err := e.ExportKV(r.Context(), r.PathValue("id"))
	answer(w, state, err)
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var state []byte
	if httpjson.Decode(w, r, maxBody, &state) {
		answer(w, struct{}{}, e.ImportKV(r.Context(), r.PathValue("id"), state))
	}
}

// faultsMessage is Faults on the wire, with the faults that occur once.
type faultsMessage struct {
	SwapAnswers  bool  `json:"swapAnswers"`
	Truncate     bool  `json:"truncate"`
	LateOrdersMs int64 `json:"lateOrdersMs"`
	FailLoads    int   `json:"failLoads"`
	DropEvents   bool  `json:"dropEvents"`
	Crash        bool  `json:"crash"`
	Silence      bool  `json:"silence"`
	Leave        bool  `json:"leave"`
}

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var m faultsMessage
	if !httpjson.Decode(w, r, maxBody, &m) {
		return
	}

	e.SetFaults(Faults{
		SwapAnswers: m.SwapAnswers,
		Truncate:    m.Truncate,
		LateOrders:  time.Duration(m.LateOrdersMs) * time.Millisecond,
		FailLoads:   m.FailLoads,
		DropEvents:  m.DropEvents,
	})

	if m.Crash {
		e.Crash()
	}

	if m.Silence {
		e.Silence()
	}

	if m.Leave {
		e.Leave()
	}

	answer(w, struct{}{}, nil)
}

func answer(w http.ResponseWriter, v any, err error) {
	if err != nil {
		refuse(w, err)

		return
	}

	httpjson.Write(w, http.StatusOK, v)
}

// refuse maps typed errors to the protocol's refusals. Any other error means
// that the engine's process died, so the connection is cut.
func refuse(w http.ResponseWriter, err error) {
	var (
		notLoaded *target.NotLoadedError
		stale     *target.StaleTokenError
		noMemory  *target.NoMemoryError
		leaving   *target.LeavingError
		r         wire.Refusal
	)

	switch {
	case errors.As(err, &notLoaded):
		r.Code = wire.CodeNotLoaded
	case errors.As(err, &stale):
		r.Code, r.Highest = wire.CodeStaleToken, stale.Highest
	case errors.As(err, &noMemory):
		r.Code = wire.CodeNoMemory
	case errors.As(err, &leaving):
		r.Code = wire.CodeLeaving
	default:
		panic(http.ErrAbortHandler)
	}

	httpjson.Write(w, http.StatusConflict, r)
}
