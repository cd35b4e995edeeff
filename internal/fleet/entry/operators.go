package entry

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/fulmarcross/fulmarcross/internal/customer/key"
	"github.com/fulmarcross/fulmarcross/internal/customer/list"
	"github.com/fulmarcross/fulmarcross/internal/customer/plan"
	"github.com/fulmarcross/fulmarcross/internal/room/screen"
	"github.com/fulmarcross/fulmarcross/internal/room/timeline"
	"github.com/fulmarcross/fulmarcross/internal/wire/document"
	"github.com/fulmarcross/fulmarcross/internal/wire/operator"
	"github.com/fulmarcross/fulmarcross/internal/wire/record"
	"github.com/fulmarcross/fulmarcross/internal/wire/schema"
)

// maxDocument bounds an operator's document.
const maxDocument = 64 << 20

// operatorHandler serves the screen and what the command line asks for.
func (e *Entry) operatorHandler(ctx context.Context) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /", screen.Handler())
	mux.HandleFunc("GET "+operator.PathBoard, e.serveBoard)
	mux.HandleFunc("GET "+operator.PathBoardEvents, func(w http.ResponseWriter, r *http.Request) {
		e.serveBoardEvents(ctx, w, r)
	})
	mux.HandleFunc("GET "+operator.PathLists+"{list}", e.serveList)
	mux.HandleFunc("PUT "+operator.PathLists+"{list}", e.servePut)
	mux.HandleFunc("GET "+operator.PathHistory, e.serveHistory)
	mux.HandleFunc("GET "+operator.PathTimeline, e.serveTimeline)

	return e.authenticated(mux)
}

// authenticated lets operators in. Any user name goes with the key; it stands
// as the author of edits.
func (e *Entry) authenticated(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, text, _ := r.BasicAuth()
		got := key.DigestOf(text)

		if subtle.ConstantTimeCompare(got[:], e.cfg.OperatorKey[:]) != 1 {
			w.Header().Set("WWW-Authenticate", `Basic realm="fulmarcross operators"`)
			http.Error(w, "the operators' key is needed", http.StatusUnauthorized)

			return
		}

		next.ServeHTTP(w, r)
	})
}

// meta is how this entry came by its board.
func (e *Entry) meta(at time.Time) operator.Meta {
	age := time.Since(at)

	return operator.Meta{
		Entry: string(e.cfg.ID),
		AgeMs: age.Milliseconds(),
		Stale: at.IsZero() || age > staleAfter,
	}
}

// staleAfter is the age from which a board is shown as stale.
const staleAfter = 3 * publishEvery

func (e *Entry) serveBoard(w http.ResponseWriter, _ *http.Request) {
	data, at, _ := e.boards.current()
	if data == nil {
		http.Error(w, "no board was published yet", http.StatusServiceUnavailable)

		return
	}

	writeJSON(w, http.StatusOK, operator.BoardReply{Meta: e.meta(at), Board: data})
}

// serveBoardEvents streams every new board, and the board's age while none
// comes.
func (e *Entry) serveBoardEvents(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")

	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Time{})

	t := time.NewTicker(publishEvery)
	defer t.Stop()

	var shown time.Time

	for {
		data, at, changed := e.boards.current()
		if data != nil && at != shown {
			shown = at

			if event(w, "board", data) != nil {
				return
			}
		}

		meta, _ := json.Marshal(e.meta(at))
		_ = control.SetWriteDeadline(time.Now().Add(headerTimeout))

		if event(w, "meta", meta) != nil || control.Flush() != nil {
			return
		}

		select {
		case <-ctx.Done():
			return
		case <-r.Context().Done():
			return
		case <-changed:
		case <-t.C:
		}

		if e.draining.Load() {
			return
		}
	}
}

func event(w io.Writer, name string, data []byte) error {
	_, err := fmt.Fprintf(w, "event: %s\ndata: %s\n\n", name, data)

	return err
}

func (e *Entry) serveList(w http.ResponseWriter, r *http.Request) {
	data, err := document.Encode(document.List(r.PathValue("list")), e.lists.Current())
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)

		return
	}

	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

// servePut takes a whole document, works out what it changes, and puts that.
func (e *Entry) servePut(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxDocument))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)

		return
	}

	put, err := e.readPut(r, body)
	if err != nil {
		e.answerPutError(w, err)

		return
	}

	if stranded := e.stranded(put.Changes); len(stranded) > 0 && r.URL.Query().Get("force") != "true" {
		writeJSON(w, http.StatusConflict, operator.PutReply{Outcome: operator.Strands, Stranded: stranded})

		return
	}

	edit, err := e.Put(r.Context(), put)
	if err != nil {
		e.answerPutError(w, err)

		return
	}

	in, all := e.inForce(edit.Version)
	writeJSON(w, http.StatusOK, operator.PutReply{
		Outcome: operator.Accepted, Version: edit.Version, WriteID: edit.WriteID, InForce: in, Entries: all,
		Changes: len(edit.Changes),
	})
}

// readPut works out the edit that a document stands for.
func (e *Entry) readPut(r *http.Request, body []byte) (list.Put, error) {
	current := e.lists.Current()
	base, want, err := e.wanted(document.List(r.PathValue("list")), current, body)

	if base > current.Version() {
		// The operator has seen a newer version on another entry.
		e.readEdits(r.Context())

		current = e.lists.Current()
		base, want, err = e.wanted(document.List(r.PathValue("list")), current, body)
	}

	put := list.Put{Base: base, WriteID: r.URL.Query().Get("writeId"), At: time.Now()}
	put.Author, _, _ = r.BasicAuth()

	if put.WriteID == "" {
		put.WriteID = uuid.NewString()
	}

	if err != nil {
		return put, err
	}

	if base != current.Version() {
		// The document was made from another version, so a difference to the
		// lists in force is not what its author meant. The store says what
		// was changed since, or that this very put was accepted before.
		return put, e.oldPut(r.Context(), put)
	}

	put.Changes = plan.Diff(current, want)

	return put, nil
}

// acceptedBeforeError says that a put is a repeat of one that was accepted.
type acceptedBeforeError struct{ edit plan.Edit }

func (e *acceptedBeforeError) Error() string {
	return fmt.Sprintf("already accepted as version %d", e.edit.Version)
}

func (e *Entry) oldPut(ctx context.Context, put list.Put) error {
	edit, err := e.store.Resolve(ctx, put)
	if err == nil {
		return &acceptedBeforeError{edit}
	}

	return err
}

// wanted returns the lists as the document wants them.
func (e *Entry) wanted(l document.List, current plan.State, body []byte) (uint64, plan.State, error) {
	switch l {
	case document.Plans:
		base, plans, err := document.DecodePlans(body)

		return base, plan.Restore(base, plans, keepAllowed(current, plans)), err
	case document.Allowances:
		known := func(name string) bool {
			_, ok := current.Plan(name)

			return ok
		}
		base, allowances, err := document.DecodeAllowances(body, known)

		return base, plan.Restore(base, current.Plans(), allowances), err
	}

	return 0, plan.State{}, &document.UnknownListError{List: l}
}

// keepAllowed returns the allowances of the plans that stay. Those of a plan
// that is removed go with it.
func keepAllowed(current plan.State, plans []plan.Plan) []plan.Allowance {
	names := make(map[string]bool, len(plans))
	for _, p := range plans {
		names[p.Name] = true
	}

	var out []plan.Allowance

	for _, a := range current.Allowances("") {
		if names[a.Plan] {
			out = append(out, a)
		}
	}

	return out
}

// stranded returns what an edit would take from under running or waiting
// requests.
func (e *Entry) stranded(changes []plan.Change) []string {
	busy := make(map[string]int)

	for _, s := range append(e.fleet.Statuses(time.Now()), e.status()) {
		for _, p := range s.Plans {
			busy[p.Plan] += p.Running + p.Waiting
		}
	}

	var out []string

	for _, c := range changes {
		switch c := c.(type) {
		case plan.RemovePlan:
			if n := busy[c.Name]; n > 0 {
				out = append(out, fmt.Sprintf("plan %s has %d requests running or waiting", c.Name, n))
			}
		case plan.Disallow:
			if w, ok := e.table.Wait(c.Allowance.Name); ok && w.Waiting > 0 && c.Allowance.Kind == plan.Model {
				out = append(out, fmt.Sprintf("%d requests wait for model %s", w.Waiting, c.Allowance.Name))
			}
		case plan.SetPlan, plan.Allow:
		}
	}

	return out
}

// answerPutError says whether an edit was refused, or may have been accepted.
func (e *Entry) answerPutError(w http.ResponseWriter, err error) {
	var (
		faults   *schema.FaultsError
		conflict *list.ConflictError
		unknown  *list.InDoubtError
		before   *acceptedBeforeError
		missing  *document.UnknownListError
	)

	switch {
	case errors.As(err, &before):
		in, all := e.inForce(before.edit.Version)
		writeJSON(w, http.StatusOK, operator.PutReply{
			Outcome: operator.Accepted, Version: before.edit.Version, WriteID: before.edit.WriteID,
			InForce: in, Entries: all, Changes: len(before.edit.Changes),
		})
	case errors.As(err, &faults):
		reply := operator.PutReply{Outcome: operator.Invalid}
		for _, f := range faults.Faults {
			reply.Faults = append(reply.Faults, f.String())
		}

		writeJSON(w, http.StatusUnprocessableEntity, reply)
	case errors.As(err, &conflict):
		reply := operator.PutReply{Outcome: operator.Conflict, Version: conflict.Version}
		for _, edit := range conflict.Since {
			reply.Since = append(reply.Since, record.FromEdit(edit))
		}

		writeJSON(w, http.StatusConflict, reply)
	case errors.As(err, &unknown):
		writeJSON(w, http.StatusServiceUnavailable, operator.PutReply{
			Outcome: operator.Unknown, WriteID: unknown.WriteID,
		})
	case errors.As(err, &missing):
		http.Error(w, err.Error(), http.StatusNotFound)
	default:
		// The version could not even be read, so nothing was written.
		writeJSON(w, http.StatusServiceUnavailable, operator.PutReply{Outcome: operator.NotAccepted})
	}
}

const historyLimit = 200

func (e *Entry) serveHistory(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)

	edits, err := e.store.History(r.Context(), after, historyLimit)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)

		return
	}

	reply := operator.HistoryReply{Edits: []record.Edit{}}
	for _, edit := range edits {
		reply.Edits = append(reply.Edits, record.FromEdit(edit))
	}

	writeJSON(w, http.StatusOK, reply)
}

func (e *Entry) serveTimeline(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	f := timeline.Filter{Request: q.Get("request"), Model: q.Get("model")}

	if text := q.Get("sinceMs"); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			http.Error(w, "sinceMs: "+err.Error(), http.StatusBadRequest)

			return
		}

		f.Since = timeline.StampOf(time.UnixMilli(ms))
	}

	s := e.Timeline(r.Context(), f)
	writeJSON(w, http.StatusOK, operator.FromStory(s.Events, s.Gaps, s.Unreached))
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
