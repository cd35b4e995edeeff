package platform

import (
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/platform/object"
	"github.com/fulmarcross/fulmarcross/internal/platform/table"
	"github.com/fulmarcross/fulmarcross/internal/standin/httpjson"
	wire "github.com/fulmarcross/fulmarcross/internal/wire/platform"
)

const maxBody = 16 << 20

// Handler serves p over the platform's HTTP protocol.
func Handler(p *Platform) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathRead, p.serveRead)
	mux.HandleFunc("POST "+wire.PathScan, p.serveScan)
	mux.HandleFunc("POST "+wire.PathCommit, p.serveCommit)
	mux.HandleFunc(wire.PathObjects, p.serveObjects)
	mux.HandleFunc("GET "+wire.PathCheckpoints, p.serveCheckpoints)
	mux.HandleFunc("GET "+wire.PathInstances, p.serveInstances)
	mux.HandleFunc("POST "+wire.PathInstances, p.serveAnnounce)
	mux.HandleFunc("DELETE "+wire.PathInstances+"/{id}", p.serveRemove)
	mux.HandleFunc("POST "+wire.PathFaults, p.serveFaults)

	return mux
}

func (p *Platform) serveRead(w http.ResponseWriter, r *http.Request) {
	var req wire.ReadRequest
	if !httpjson.Decode(w, r, maxBody, &req) {
		return
	}

	rows, err := p.Read(r.Context(), req.Keys...)
	answer(w, wire.RowsReply{Rows: wire.FromRows(rows)}, err)
}

func (p *Platform) serveScan(w http.ResponseWriter, r *http.Request) {
	var req wire.ScanRequest
	if !httpjson.Decode(w, r, maxBody, &req) {
		return
	}

	rows, err := p.Scan(r.Context(), req.Prefix, req.After, req.Limit)
	answer(w, wire.RowsReply{Rows: wire.FromRows(rows)}, err)
}

func (p *Platform) serveCommit(w http.ResponseWriter, r *http.Request) {
	var req wire.CommitRequest
	if !httpjson.Decode(w, r, maxBody, &req) {
		return
	}

	version, err := p.Commit(r.Context(), wire.ToTransaction(req))

	if conflict, ok := errors.AsType[*table.ConflictError](err); ok {
		answer(w, wire.CommitReply{Conflict: &wire.Condition{Key: conflict.Key, Version: uint64(conflict.Version)}}, nil)

		return
	}

	answer(w, wire.CommitReply{Version: uint64(version)}, err)
}

func (p *Platform) serveObjects(w http.ResponseWriter, r *http.Request) {
	name := strings.TrimPrefix(r.URL.Path, wire.PathObjects)

	switch {
	case name == "":
		names, err := p.List(r.Context(), r.URL.Query().Get("prefix"))
		answer(w, wire.NamesReply{Names: names}, err)
	case r.Method == http.MethodPut:
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
		if err == nil {
			err = p.Put(r.Context(), name, data)
		}

		answer(w, struct{}{}, err)
	case r.Method == http.MethodDelete:
		answer(w, struct{}{}, p.Delete(r.Context(), name))
	default:
		p.serveObject(w, r, name)
	}
}

func (p *Platform) serveObject(w http.ResponseWriter, r *http.Request, name string) {
	data, err := p.Get(r.Context(), name)

	if _, ok := errors.AsType[*object.NotFoundError](err); ok {
		http.Error(w, err.Error(), http.StatusNotFound)

		return
	}

	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)

		return
	}

	_, _ = w.Write(data)
}

func (p *Platform) serveCheckpoints(w http.ResponseWriter, r *http.Request) {
	all, err := p.Checkpoints(r.Context())
	answer(w, wire.CheckpointsReply{Checkpoints: wire.FromCheckpoints(all)}, err)
}

func (p *Platform) serveInstances(w http.ResponseWriter, r *http.Request) {
	all, err := p.Instances(r.Context())
	answer(w, wire.InstancesReply{Instances: wire.FromInstances(all)}, err)
}

func (p *Platform) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	var in wire.Instance
	if !httpjson.Decode(w, r, maxBody, &in) {
		return
	}

	addr, err := netip.ParseAddrPort(in.Address)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)

		return
	}

	p.Announce(instance.Instance{
		ID:         instance.ID(in.ID),
		DataCentre: instance.DataCentre(in.DataCentre),
		Role:       instance.Role(in.Role),
		Address:    addr,
		Service:    in.Service,
		State:      instance.State(in.State),
	})
	answer(w, struct{}{}, nil)
}

func (p *Platform) serveRemove(w http.ResponseWriter, r *http.Request) {
	p.Remove(instance.ID(r.PathValue("id")))
	answer(w, struct{}{}, nil)
}

// faultsMessage is Faults on the wire.
type faultsMessage struct {
	TableDown    bool  `json:"tableDown"`
	TableDelayMs int64 `json:"tableDelayMs"`
	LoseAnswers  int   `json:"loseAnswers"`
	ListLagMs    int64 `json:"listLagMs"`
}

func (p *Platform) serveFaults(w http.ResponseWriter, r *http.Request) {
	var m faultsMessage
	if !httpjson.Decode(w, r, maxBody, &m) {
		return
	}

	p.SetFaults(Faults{
		TableDown:   m.TableDown,
		TableDelay:  time.Duration(m.TableDelayMs) * time.Millisecond,
		LoseAnswers: m.LoseAnswers,
		ListLag:     time.Duration(m.ListLagMs) * time.Millisecond,
	})
	answer(w, struct{}{}, nil)
}

func answer(w http.ResponseWriter, v any, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)

		return
	}

	httpjson.Write(w, http.StatusOK, v)
}
