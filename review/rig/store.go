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

// rowName names a row of the store.
type rowName struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

// storeRow is a row on the wire.
type storeRow struct {
	rowName

	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

// store is a stand-in of the platform's store, without faults.
type store struct {
	address string
	began   time.Time

	mu      sync.Mutex
	rows    map[rowName]storeRow
	version uint64
	history []storeRow
	changed chan struct{}
}

type rowsReply struct {
	Rows    []storeRow `json:"rows"`
	More    bool       `json:"has_more"`
	Version uint64     `json:"ver"`
	NowMs   int64      `json:"now_ms"`
}

// startStore serves a store on a free loopback port.
func startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}

	s := &store{address: l.Addr().String(), began: time.Now(), rows: make(map[rowName]storeRow), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/rows-get", s.get)
	mux.HandleFunc("GET /api/rows-feed", s.feed)
	mux.HandleFunc("POST /api/rows-tx", s.transact)

	go func() { _ = (&http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}).Serve(l) }()

	return s, nil
}

// put writes a row as its operator or a worker does.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}

	s.mu.Lock()
	defer s.mu.Unlock()

	s.version++
	s.set(storeRow{rowName: rowName{Table: table, Key: key}, Value: data, Version: s.version})
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.version++
	s.set(storeRow{rowName: rowName{Table: table, Key: key}, Version: s.version, Removed: true})
}

// set applies a change. The caller holds the lock.
func (s *store) set(r storeRow) {
	if r.Removed {
		delete(s.rows, r.rowName)
	} else {
		s.rows[r.rowName] = r
	}

	s.history = append(s.history, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))

	if limit <= 0 || limit > 500 {
		limit = 500
	}

	s.mu.Lock()
	out := rowsReply{Rows: []storeRow{}, Version: s.version}

	for name, row := range s.rows {
		if name.Table == q.Get("table") && name.Part == q.Get("part") && name.Key >= q.Get("from") && (q.Get("to") == "" || name.Key < q.Get("to")) {
			out.Rows = append(out.Rows, row)
		}
	}
	s.mu.Unlock()

	sort.Slice(out.Rows, func(i, j int) bool { return out.Rows[i].Key < out.Rows[j].Key })

	if len(out.Rows) > limit {
		out.Rows, out.More = out.Rows[:limit], true
	}

	s.reply(w, http.StatusOK, out)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(waitMs) * time.Millisecond)

	for {
		s.mu.Lock()
		out := rowsReply{Rows: []storeRow{}, Version: s.version}
		changed := s.changed

		for i := len(s.history) - 1; i >= 0 && s.history[i].Version > after; i-- {
			if s.history[i].Table == q.Get("table") {
				out.Rows = append(out.Rows, s.history[i])
			}
		}
		s.mu.Unlock()

		if len(out.Rows) > 0 || waitMs == 0 {
			for i, j := 0, len(out.Rows)-1; i < j; i, j = i+1, j-1 {
				out.Rows[i], out.Rows[j] = out.Rows[j], out.Rows[i]
			}

			s.reply(w, http.StatusOK, out)

			return
		}

		select {
		case <-changed:
		case <-end:
			waitMs = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Precondition []storeRow `json:"precondition"`
		Puts         []storeRow `json:"puts"`
		Remove       []rowName  `json:"remove"`
	}

	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)

		return
	}

	time.Sleep(5 * time.Millisecond)

	s.mu.Lock()
	defer s.mu.Unlock()

	var now []storeRow

	holds := true

	for _, c := range body.Precondition {
		have, ok := s.rows[c.rowName]
		holds = holds && have.Version == c.Version

		if ok {
			now = append(now, have)
		}
	}

	if !holds {
		s.reply(w, http.StatusPreconditionFailed, rowsReply{Rows: now, Version: s.version})

		return
	}

	s.version++

	for _, p := range body.Puts {
		s.set(storeRow{rowName: p.rowName, Value: p.Value, Version: s.version})
	}

	for _, name := range body.Remove {
		s.set(storeRow{rowName: name, Version: s.version, Removed: true})
	}

	s.reply(w, http.StatusOK, rowsReply{Rows: []storeRow{}, Version: s.version})
}

func (s *store) reply(w http.ResponseWriter, status int, out rowsReply) {
	out.NowMs = time.Since(s.began).Milliseconds()

	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(out) // Its client may have left.
}
