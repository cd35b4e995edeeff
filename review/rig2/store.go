package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeRow is a row of the platform's store.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

type rowKey struct{ table, part, key string }

// store is a stand-in of the platform's store: rows, transactions and the feed.
type store struct {
	mu      sync.Mutex
	ver     uint64
	rows    map[rowKey]storeRow
	changes []storeRow
	changed chan struct{}
	began   time.Time
	addr    string
}

func newStore() *store {
	return &store{rows: make(map[rowKey]storeRow), changed: make(chan struct{}), began: time.Now()}
}

// start serves the store on a free loopback port.
func (s *store) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}

	s.addr = l.Addr().String()

	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/rows-tx", s.tx)
	mux.HandleFunc("GET /api/rows-get", s.get)
	mux.HandleFunc("GET /api/rows-feed", s.feed)

	go func() { _ = http.Serve(l, mux) }()

	return nil
}

// put writes a row unconditionally, as the operator and the workers do. A nil value removes it.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.ver++
	s.write(rowKey{table, "", key}, value)
	s.wake()
}

func (s *store) write(k rowKey, value []byte) {
	r := storeRow{Table: k.table, Part: k.part, Key: k.key, Value: value, Ver: s.ver}

	if value == nil {
		if _, known := s.rows[k]; !known {
			return
		}

		r.Removed = true
		delete(s.rows, k)
	} else {
		s.rows[k] = r
	}

	s.changes = append(s.changes, r)
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["now_ms"] = time.Since(s.began).Milliseconds() + 1000
	data, _ := json.Marshal(body)

	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Precondition []storeRow `json:"precondition"`
		Puts         []storeRow `json:"puts"`
		Remove       []storeRow `json:"remove"`
	}

	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		s.answer(w, http.StatusBadRequest, map[string]any{})

		return
	}

	time.Sleep(4 * time.Millisecond)

	s.mu.Lock()
	defer s.mu.Unlock()

	holds := true

	var now []storeRow

	for _, c := range body.Precondition {
		current := s.rows[rowKey{c.Table, c.Part, c.Key}]
		holds = holds && current.Ver == c.Ver

		if current.Ver != 0 {
			now = append(now, current)
		}
	}

	if !holds {
		s.answer(w, http.StatusPreconditionFailed, map[string]any{"rows": now, "ver": s.ver})

		return
	}

	s.ver++

	for _, p := range body.Puts {
		value := p.Value
		if value == nil {
			value = []byte{}
		}

		s.write(rowKey{p.Table, p.Part, p.Key}, value)
	}

	for _, p := range body.Remove {
		s.write(rowKey{p.Table, p.Part, p.Key}, nil)
	}

	s.wake()
	s.answer(w, http.StatusOK, map[string]any{"ver": s.ver})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()

	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > 500 {
		limit = 500
	}

	time.Sleep(4 * time.Millisecond)

	s.mu.Lock()
	defer s.mu.Unlock()

	rows := []storeRow{}

	for k, row := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("to") == "" || k.key < q.Get("to")) {
			rows = append(rows, row)
		}
	}

	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })

	more := len(rows) > limit
	if more {
		rows = rows[:limit]
	}

	s.answer(w, http.StatusOK, map[string]any{"rows": rows, "has_more": more, "ver": s.ver})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)

	time.Sleep(4 * time.Millisecond)

	for {
		s.mu.Lock()

		rows := []storeRow{}

		for _, c := range s.changes {
			if c.Table == q.Get("table") && c.Ver > after {
				rows = append(rows, c)
			}
		}

		ver, changed := s.ver, s.changed
		s.mu.Unlock()

		if len(rows) > 0 || wait == 0 {
			s.answer(w, http.StatusOK, map[string]any{"rows": rows, "ver": ver})

			return
		}

		select {
		case <-changed:
		case <-end:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// clusterConfig is the operator's configuration of a rig.
func clusterConfig(version int, models []string) []byte {
	var listed []string
	for _, m := range models {
		listed = append(listed, fmt.Sprintf(`{"name":%q,"weights_mb":20000,"load_s":6,"adapters":0,"adapter_size_mb":12,"warm_s":1.2,"disk_s":1.6}`, m))
	}

	text := fmt.Sprintf(`{"version":%d,"routes":[
{"name":"note","host":"rig.example","prefix":"/note/","type":"streaming","timeout_ms":15000,"goal_ms":600,"priority":1,"service":"redactor","max_attempts":2,"sticky":true,"resumable":true,"gap_goal_ms":300},
{"name":"dossier","host":"rig.example","prefix":"/dossier/","type":"streaming","timeout_ms":30000,"goal_ms":4000,"priority":1,"service":"redactor","max_attempts":1,"sticky":true,"resumable":false,"gap_goal_ms":300},
{"name":"book","host":"rig.example","prefix":"/book/","type":"non_idempotent","timeout_ms":5000,"goal_ms":100,"priority":2,"service":"mostrador","max_attempts":1},
{"name":"status","host":"rig.example","prefix":"/status/","type":"idempotent","timeout_ms":5000,"goal_ms":100,"priority":2,"service":"mostrador","max_attempts":2}],
"services":[{"name":"redactor","health_path":"/healthz","max_conns":300,"protocol":"h1","tls":false,"engine":{"slots":48,"kv_capacity":118877,"kv_bytes":163840,"link_mbps":550000,"moves":true,"backups":true,"stride":3,"maximum":12,"host_mb":140000,"disk_mb":1300000,"pin_ms":4000,"hold_ms":2000,"handle_s":5,"models":[`, version)

	for i, l := range listed {
		if i > 0 {
			text += ","
		}

		text += l
	}

	return []byte(text + `],"weights_mb":200000,"adapter_slots":8,"loads_per_s":4.3}},
{"name":"mostrador","health_path":"/healthz","max_conns":100,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`)
}
