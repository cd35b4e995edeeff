package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// worker is one process of a worker. A path with /crash-MS/ ends the process MS milliseconds
// after the first event of its stream; other paths are sound.
type worker struct {
	id, service, addr, control string
	born                       int64

	mu       sync.Mutex
	models   []string
	sequence uint64
	loading  bool
	active   atomic.Int64
	stamps   atomic.Int64
	options  map[string]string
}

const (
	heartbeat  = 1200 * time.Millisecond
	eventPause = 50 * time.Millisecond
	allEvents  = 40
	// preemptedAt is the event before which a request with the path /preempted-MS/ is preempted.
	preemptedAt = 10
	// A stream with the path /bulk/ has bulkEvents pieces, each with bulkBytes more.
	bulkEvents = 100
	bulkBytes  = 250
	bulkPause  = 15 * time.Millisecond
	// loadTime is load_s of the configuration.
	loadTime = 6 * time.Second
)

func runWorker(args []string) int {
	w := &worker{id: args[0], service: args[1], addr: args[2], control: args[4], born: time.Now().UnixMilli(), options: make(map[string]string)}
	_ = json.Unmarshal([]byte(args[3]), &w.models)

	for _, o := range args[5:] {
		name, value, _ := strings.Cut(o, "=")
		w.options[name] = value
	}

	l, err := net.Listen("tcp", w.addr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return 2
	}

	go w.beat()

	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(rw http.ResponseWriter, _ *http.Request) { rw.Header().Set("Instance-Id", w.id) })
	mux.HandleFunc("GET /api/report", w.report)
	mux.HandleFunc("POST /api/order", w.order)
	mux.HandleFunc("/", w.serve)

	_ = http.Serve(l, mux)

	return 0
}

func (w *worker) state() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()

	models := []map[string]any{}
	for _, m := range w.models {
		models = append(models, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}

	return map[string]any{
		"service": w.service, "address": w.addr, "zone": "centro-a", "version": "v1", "slots": 48, "state": "ready", "cold_left_ms": 0,
		"stage": "both", "models": models, "available": map[string]any{"in_memory": w.models, "on_disk": w.models}, "sequence": w.sequence, "born": w.born,
	}
}

func (w *worker) beat() {
	for {
		body, _ := json.Marshal(map[string]any{"ID": w.id, "Value": w.state()})

		resp, err := http.Post("http://"+w.control+"/row", "application/json", bytes.NewReader(body))
		if err != nil {
			os.Exit(0) // The rig has ended.
		}

		_ = resp.Body.Close()

		time.Sleep(heartbeat)
	}
}

func (w *worker) report(rw http.ResponseWriter, _ *http.Request) {
	out := w.state()
	out["busy"], out["queued"], out["active"], out["kv_used"], out["kv_total"], out["handles"] = w.isLoading(), 0, w.active.Load(), 0, 118877, 0
	data, _ := json.Marshal(out)

	rw.Header().Set("Content-Type", "application/json")
	rw.Header().Set("Instance-Id", w.id)
	_, _ = rw.Write(data)
}

func (w *worker) order(rw http.ResponseWriter, r *http.Request) {
	var o struct {
		Operation, Model, Adapter, Holder string
		Token                             uint64  `json:"fencing_token"`
		Precondition                      *uint64 `json:"precondition"`
	}
	_ = json.NewDecoder(r.Body).Decode(&o)

	w.mu.Lock()
	defer w.mu.Unlock()

	rw.Header().Set("Instance-Id", w.id)

	status := http.StatusAccepted
	if o.Precondition != nil && *o.Precondition != w.sequence {
		status = http.StatusConflict
	}

	if w.loading {
		status = http.StatusConflict
	}

	if status == http.StatusAccepted {
		w.sequence++
		w.loading = true

		go w.carryOut(o.Operation, o.Model)
	}

	go w.tell("order "+o.Operation+" "+o.Holder, strconv.FormatUint(o.Token, 10), o.Model, "", status)
	rw.WriteHeader(status)
}

// carryOut carries out an order. A load takes load_s.
func (w *worker) carryOut(operation, model string) {
	if operation == "load" {
		time.Sleep(loadTime)
	}

	w.mu.Lock()
	defer w.mu.Unlock()

	var kept []string

	for _, m := range w.models {
		if m != model {
			kept = append(kept, m)
		}
	}

	if operation == "load" {
		kept = append(kept, model)
	}

	w.models, w.loading = kept, false
}

func (w *worker) isLoading() bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.loading
}

func (w *worker) holds(model string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	return slices.Contains(w.models, model)
}

// tell tells the rig what this worker does, and waits until the rig has written it down.
func (w *worker) tell(kind, id, path, after string, n int) {
	body, _ := json.Marshal(event{Worker: w.id, Kind: kind, ID: id, Path: path, After: after, N: n})

	resp, err := http.Post("http://"+w.control+"/event", "application/json", bytes.NewReader(body))
	if err == nil {
		_ = resp.Body.Close()
	}
}

// serve runs a client's request.
func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	rw.Header().Set("Attempt-Id", id)
	rw.Header().Set("Instance-Id", w.id)

	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)

		return
	}

	if w.service == "redactor" && !w.holds(r.Header.Get("Model")) {
		rw.WriteHeader(http.StatusMisdirectedRequest)

		return
	}

	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}

	w.active.Add(1)
	defer w.active.Add(-1)

	after := r.Header.Get("Last-Event-Id")
	w.tell("runs", id, r.URL.Path, after, len(body))
	rw.Header().Set("Server-Stamp", fmt.Sprintf("%s.%d", w.id, w.stamps.Add(1)))

	if w.service != "redactor" {
		w.plain(rw, r, id, body)

		return
	}

	w.stream(rw, r, id, after)
}

// plain answers after some work.
func (w *worker) plain(rw http.ResponseWriter, r *http.Request, id string, body []byte) {
	work := 15 * time.Millisecond

	if _, text, found := strings.Cut(r.URL.Path, "/work-"); found {
		ms, _, _ := strings.Cut(text, "/")
		n, _ := strconv.Atoi(ms)
		work = time.Duration(n) * time.Millisecond
	}

	select {
	case <-time.After(work):
	case <-r.Context().Done():
		w.tell("drops", id, r.URL.Path, "", 0)

		return
	}

	w.tell("answers", id, r.URL.Path, "", 0)
	_, _ = fmt.Fprintf(rw, "done %s %d", id, len(body))
}

// stream writes events with increasing ids, after the one that the client has.
func (w *worker) stream(rw http.ResponseWriter, r *http.Request, id, after string) {
	crashAfter := time.Duration(-1)

	if _, text, found := strings.Cut(r.URL.Path, "/crash-"); found {
		ms, _, _ := strings.Cut(text, "/")
		n, _ := strconv.Atoi(ms)
		crashAfter = time.Duration(n) * time.Millisecond
	}

	pieces, pause, pad := allEvents, eventPause, ""

	if strings.Contains(r.URL.Path, "/bulk/") {
		pieces, pause, pad = bulkEvents, bulkPause, strings.Repeat("x", bulkBytes)
	}

	first, _ := strconv.Atoi(after)
	began := time.Time{}

	preempted := time.Duration(0)

	if _, text, found := strings.Cut(r.URL.Path, "/preempted-"); found && after == "" {
		ms, _, _ := strings.Cut(text, "/")
		n, _ := strconv.Atoi(ms)
		preempted = time.Duration(n) * time.Millisecond
	}

	rw.Header().Set("Content-Type", "text/event-stream")
	time.Sleep(60 * time.Millisecond)

	for n := first + 1; n <= pieces; n++ {
		if began.IsZero() {
			began = time.Now()
		}

		_, err := fmt.Fprintf(rw, "id: %d\ndata: piece %d of %s%s\n\n", n, n, r.URL.Path, pad)

		switch gone := err != nil || r.Context().Err() != nil; {
		case gone && w.options["goes-on"] == "":
			w.tell("drops", id, r.URL.Path, "", n)

			return
		case gone:
			w.tell("works on", id, r.URL.Path, "", n)
		}

		if n == preemptedAt && preempted > 0 {
			w.tell("preempts", id, r.URL.Path, "", n)
			time.Sleep(preempted)
		}

		_ = http.NewResponseController(rw).Flush()

		if crashAfter >= 0 && time.Since(began) >= crashAfter {
			w.tell("crashes", id, r.URL.Path, "", n)
			os.Exit(3)
		}

		time.Sleep(pause)
	}

	w.tell("answers", id, r.URL.Path, "", pieces)
}
