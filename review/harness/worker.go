package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is a stand-in of a worker: a plain one, or a model worker with orders.
type worker struct {
	id, service, zone, address string
	slots                      int
	engine                     bool
	// work is how long a plain request takes; events and eachEvent are those of a stream.
	work      time.Duration
	events    int
	eachEvent time.Duration
	loadTime  time.Duration
	// memoryMB and modelMB bound the models, adapterSlots the adapters.
	memoryMB, modelMB float64
	adapterSlots      int
	store             *store
	rec               *record
	gate              *gate
	mux               *http.ServeMux
	// poison is the body of requests that crash the worker, and down how long it is away then.
	poison string
	down   time.Duration
	born   int64

	mu       sync.Mutex
	models   map[string]map[string]bool
	sequence uint64
	busy     bool
	active   int
	running  map[string]int
	beat     uint64
	// draining is set once the worker says that it leaves, ended once it has left.
	draining, ended bool
	// away is set while the worker is down after a crash.
	away bool
}

func (k *worker) serve() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	k.address = l.Addr().String()
	k.born = time.Now().UnixMilli()
	k.running = make(map[string]int)
	if k.models == nil {
		k.models = make(map[string]map[string]bool)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/report", k.report)
	mux.HandleFunc("POST /api/order", k.order)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Instance-Id", k.id) })
	mux.HandleFunc("/", k.run)
	k.mux = mux
	k.gate = newGate(l)
	go func() { _ = http.Serve(k.gate, mux) }()
	k.heartbeat()
	go func() {
		for {
			time.Sleep(1200 * time.Millisecond)
			k.heartbeat()
		}
	}()
}

func (k *worker) process() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.born
}

// crash ends the worker's process: its connections are reset and its port has no listener. It
// is back after some time, under the same id, as another process.
func (k *worker) crash(by string) {
	k.mu.Lock()
	if k.away {
		k.mu.Unlock()
		return
	}
	k.away = true
	k.mu.Unlock()
	k.rec.crashed(by, k.id)
	k.gate.close()
	time.AfterFunc(k.down, func() {
		l, err := net.Listen("tcp", k.address)
		must(err)
		k.mu.Lock()
		k.gate, k.away, k.born, k.sequence, k.active = newGate(l), false, time.Now().UnixMilli(), 0, 0
		k.running = make(map[string]int)
		g := k.gate
		k.mu.Unlock()
		go func() { _ = http.Serve(g, k.mux) }()
		k.heartbeat()
	})
}

// drain reports that the worker leaves. When it returns, the store has accepted that.
func (k *worker) drain() {
	k.mu.Lock()
	k.draining = true
	k.mu.Unlock()
	k.heartbeat()
}

// leave removes the worker's entry.
func (k *worker) leave() {
	k.mu.Lock()
	k.ended = true
	k.mu.Unlock()
	k.store.remove("servers", k.id)
}

func (k *worker) listed() []map[string]any {
	out := []map[string]any{}
	var names []string
	for m := range k.models {
		names = append(names, m)
	}
	slices.Sort(names)
	for _, m := range names {
		adapters := []string{}
		for a := range k.models[m] {
			adapters = append(adapters, a)
		}
		slices.Sort(adapters)
		out = append(out, map[string]any{"name": m, "version": 1, "adapters": adapters})
	}
	return out
}

func (k *worker) heartbeat() {
	k.mu.Lock()
	if k.ended || k.away {
		k.mu.Unlock()
		return
	}
	state := "ready"
	if k.draining {
		state = "draining"
	}
	k.beat++
	entry := map[string]any{
		"service": k.service, "address": k.address, "zone": k.zone, "version": "v1", "slots": k.slots,
		"state": state, "cold_left_ms": 0, "sequence": k.beat, "born": k.born,
	}
	if k.engine {
		entry["stage"], entry["models"] = "both", k.listed()
	}
	k.mu.Unlock()
	k.store.put("servers", k.id, entry)
}

func (k *worker) report(w http.ResponseWriter, _ *http.Request) {
	k.mu.Lock()
	defer k.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "both", "models": k.listed(), "busy": k.busy, "sequence": k.sequence, "queued": 0, "active": k.active,
		"kv_used": 0, "kv_total": 118877, "handles": 0, "born": k.born, "pending": []string{},
	})
}

type orderBody struct {
	Operation, Model, Adapter, Holder string
	Token                             uint64  `json:"fencing_token"`
	Precondition                      *uint64 `json:"precondition"`
}

func (k *worker) order(w http.ResponseWriter, r *http.Request) {
	var o orderBody
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Holder == "" || o.Token == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if e := r.Header.Get("Expect-Instance"); e != "" && e != k.id {
		w.Header().Set("Instance-Id", k.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	k.mu.Lock()
	status := k.carryOut(o)
	k.mu.Unlock()
	k.rec.order(orderSeen{At: time.Now(), Worker: k.id, Order: o, Status: status})
	w.Header().Set("Instance-Id", k.id)
	w.WriteHeader(status)
}

// carryOut needs the lock.
func (k *worker) carryOut(o orderBody) int {
	switch {
	case o.Operation != "load" && o.Operation != "unload":
		return http.StatusBadRequest
	case k.busy, o.Precondition != nil && *o.Precondition != k.sequence:
		return http.StatusConflict
	}
	held, resident := k.models[o.Model]
	switch {
	case o.Adapter != "" && !resident:
		return http.StatusBadRequest
	case o.Adapter != "" && o.Operation == "load":
		if held[o.Adapter] {
			return http.StatusOK
		}
		k.sequence++
		time.AfterFunc(10*time.Millisecond, func() {
			k.mu.Lock()
			defer k.mu.Unlock()
			if m, ok := k.models[o.Model]; ok {
				m[o.Adapter] = true
			}
		})
		return http.StatusAccepted
	case o.Adapter != "":
		k.sequence++
		key := o.Model + "/" + o.Adapter
		if k.running[key] == 0 {
			delete(held, o.Adapter)
			return http.StatusOK
		}
		go k.when(func() bool { return k.running[key] == 0 }, func() { delete(held, o.Adapter) })
		return http.StatusAccepted
	case o.Operation == "load":
		if resident {
			return http.StatusOK
		}
		k.sequence++
		k.busy = true
		time.AfterFunc(k.loadTime, func() {
			k.mu.Lock()
			defer k.mu.Unlock()
			k.models[o.Model], k.busy = make(map[string]bool), false
			go k.heartbeat()
		})
		return http.StatusAccepted
	}
	k.sequence++
	k.busy = true
	go k.when(func() bool { return k.runsOf(o.Model) == 0 }, func() {
		delete(k.models, o.Model)
		k.busy = false
		go k.heartbeat()
	})
	return http.StatusAccepted
}

func (k *worker) runsOf(model string) int {
	n := 0
	for key, runs := range k.running {
		if key == model || strings.HasPrefix(key, model+"/") {
			n += runs
		}
	}
	return n
}

func (k *worker) when(ready func() bool, then func()) {
	for {
		k.mu.Lock()
		if ready() {
			then()
			k.mu.Unlock()
			return
		}
		k.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
}

func (k *worker) run(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	body, _ := io.ReadAll(r.Body)
	h := w.Header()
	h.Set("Attempt-Id", id)
	h.Set("Instance-Id", k.id)
	if e := r.Header.Get("Expect-Instance"); e != "" && e != k.id {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	key := r.Header.Get("Model")
	model, adapter, _ := strings.Cut(key, "/")
	k.mu.Lock()
	if k.engine && (k.models[model] == nil || adapter != "" && !k.models[model][adapter]) {
		k.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if k.active >= k.slots {
		k.mu.Unlock()
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	k.active++
	k.running[key]++
	k.mu.Unlock()
	born := k.process()
	defer func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		if k.born == born {
			k.active--
			k.running[key]--
		}
	}()
	h.Set("Server-Stamp", "stamp."+k.id+"."+id)
	k.rec.add("run", id, "worker "+k.id+" begins to run it")
	if k.poison != "" && string(body) == k.poison {
		k.rec.arrive(id, k.id)
		time.Sleep(60 * time.Millisecond)
		k.crash(id)
		return
	}
	if k.events == 0 {
		select {
		case <-time.After(k.work):
		case <-r.Context().Done():
			k.rec.add("run", id, "worker "+k.id+": its connection was closed while it worked")
			return
		}
		text := "done " + id
		h.Set("Content-Type", "text/plain")
		h.Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(w, text)
		k.rec.add("run", id, "worker "+k.id+" has answered")
		return
	}
	h.Set("Content-Type", "text/event-stream")
	h.Set("Weight-Versions", "1")
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := first + 1; i <= k.events; i++ {
		select {
		case <-time.After(k.eachEvent):
		case <-r.Context().Done():
			k.rec.add("run", id, fmt.Sprintf("worker %s: its connection was closed after event %d", k.id, i-1))
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s piece %d\n\n", i, id, i)
		_ = http.NewResponseController(w).Flush()
	}
	k.rec.add("run", id, "worker "+k.id+" has ended its stream")
}
