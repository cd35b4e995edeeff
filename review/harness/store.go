package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store, in memory. It serves
// rows-get, rows-feed and rows-tx as PROTOCOL.md describes them.
type store struct {
	mu      sync.Mutex
	version uint64
	rows    map[rowID]row
	changes []row
	changed chan struct{}
	began   time.Time
	address string
}

type rowID struct{ Table, Part, Key string }

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

func (r row) id() rowID { return rowID{r.Table, r.Part, r.Key} }

func newStore() *store {
	return &store{rows: make(map[rowID]row), changed: make(chan struct{}), began: time.Now(), version: 1}
}

func (s *store) serve() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/rows-get", s.get)
	mux.HandleFunc("GET /api/rows-feed", s.feed)
	mux.HandleFunc("POST /api/rows-tx", s.tx)
	go func() { _ = http.Serve(l, mux) }()
}

// put writes a row as the operator or a worker does.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	must(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(row{Table: table, Key: key, Value: data, Version: s.version})
	s.wake()
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(row{Table: table, Key: key, Version: s.version, Removed: true})
	s.wake()
}

// write and wake need the lock.
func (s *store) write(r row) {
	if r.Removed {
		delete(s.rows, r.id())
	} else {
		s.rows[r.id()] = r
	}
	s.changes = append(s.changes, r)
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

type rowsAnswer struct {
	Rows []row  `json:"rows"`
	More bool   `json:"has_more"`
	Ver  uint64 `json:"ver"`
	Now  int64  `json:"now_ms"`
}

func (s *store) answer(w http.ResponseWriter, status int, a rowsAnswer) {
	if a.Rows == nil {
		a.Rows = []row{}
	}
	a.Now = time.Since(s.began).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(a)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	var out []row
	for id, have := range s.rows {
		if id.Table != q.Get("table") || id.Part != q.Get("part") || id.Key < q.Get("from") {
			continue
		}
		if to := q.Get("to"); to != "" && id.Key >= to {
			continue
		}
		out = append(out, have)
	}
	a := rowsAnswer{Ver: s.version}
	s.mu.Unlock()
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	if len(out) > limit {
		out, a.More = out[:limit], true
	}
	a.Rows = out
	s.answer(w, http.StatusOK, a)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	time.Sleep(4 * time.Millisecond)
	for {
		s.mu.Lock()
		last := make(map[rowID]int)
		var out []row
		for _, c := range s.changes {
			if c.Table != q.Get("table") || c.Version <= after {
				continue
			}
			if i, seen := last[c.id()]; seen {
				out[i].Version = 0
			}
			last[c.id()] = len(out)
			out = append(out, c)
		}
		kept := out[:0]
		for _, c := range out {
			if c.Version != 0 {
				kept = append(kept, c)
			}
		}
		a, changed := rowsAnswer{Rows: kept, Ver: s.version}, s.changed
		s.mu.Unlock()
		if len(a.Rows) > 0 {
			s.answer(w, http.StatusOK, a)
			return
		}
		select {
		case <-changed:
		case <-end:
			s.answer(w, http.StatusOK, a)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Precondition, Puts, Remove []row
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(5 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	a, holds := rowsAnswer{}, true
	for _, p := range body.Precondition {
		have := s.rows[p.id()]
		if have.Version != p.Version {
			holds = false
		}
		if have.Version != 0 {
			a.Rows = append(a.Rows, have)
		}
	}
	if !holds {
		a.Ver = s.version
		s.answer(w, http.StatusPreconditionFailed, a)
		return
	}
	s.version++
	for _, p := range body.Puts {
		p.Version = s.version
		s.write(p)
	}
	for _, p := range body.Remove {
		p.Version, p.Removed = s.version, true
		s.write(p)
	}
	s.wake()
	s.answer(w, http.StatusOK, rowsAnswer{Ver: s.version})
}
