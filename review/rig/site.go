package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// beatEvery is heartbeat_ms of the site files.
const beatEvery = 1200 * time.Millisecond

// site is a small deployment on loopback: entries and workers as processes, the store and the
// clients in this one.
type site struct {
	dir    string
	store  *store
	record *os.File
	began  time.Time

	mu      sync.Mutex
	entries []*process
	workers map[string]*workerProcess
	cancel  context.CancelFunc
}

// process is a process that this one has started.
type process struct {
	name                         string
	cmd                          *exec.Cmd
	callers, ready, peers, admin string
	ended                        chan struct{}
}

type workerProcess struct {
	process

	address, service, model string
	slots                   int
	born                    int64
	state                   string
	leavesAt                time.Time
	sequence                int
}

// start starts a site whose configuration is config.
func start(config map[string]any) (*site, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}

	record, err := os.Create(filepath.Join(os.Getenv("CASE_DIR"), "record.txt"))
	if err != nil {
		return nil, err
	}

	st, err := startStore()
	if err != nil {
		return nil, err
	}

	ctx, cancel := context.WithCancel(context.Background())
	s := &site{dir: dir, store: st, record: record, began: time.Now(), workers: make(map[string]*workerProcess), cancel: cancel}
	st.put("op", "config", config)

	go s.beat(ctx)
	go s.closeOnSignal()

	return s, nil
}

// closeOnSignal ends all processes when this one is told to end.
func (s *site) closeOnSignal() {
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	<-ended
	s.close()
	os.Exit(unable)
}

// logf writes a line to the record.
func (s *site) logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()

	fmt.Fprintf(s.record, "%8.3f %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes.
func (s *site) close() {
	s.cancel()

	for _, e := range s.entries {
		_ = e.cmd.Process.Kill()
		<-e.ended
	}

	for _, w := range s.workers {
		_ = w.cmd.Process.Kill()
		<-w.ended
	}

	_ = os.RemoveAll(s.dir)
	_ = s.record.Close()
}

func free() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()

	return l.Addr().String()
}

// addEntries starts entries with the settings of the deploy file.
func (s *site) addEntries(n int) error {
	var seeds []string

	for i := range n {
		e := &process{name: fmt.Sprintf("frontend-a-%d", i+1), callers: free(), ready: free(), peers: free(), admin: free()}
		s.entries = append(s.entries, e)

		if len(seeds) < 3 {
			seeds = append(seeds, e.peers)
		}
	}

	for _, e := range s.entries {
		settings := map[string]any{
			"name": e.name, "dataCentre": "centro-a", "callers": e.callers, "readiness": e.ready, "peers": e.peers, "seeds": seeds, "metrics": e.admin,
			"strength": 0.4, "memoryMB": 284, "rules": []string{"base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "platform"},
			"store":  s.store.address,
			"bounds": map[string]any{"graceSeconds": 8, "turnPauseMs": 3000, "repeatRatio": 0.2, "repeatBurst": 54, "repeatWindowSeconds": 10},
		}

		data, _ := json.Marshal(settings)
		if err := os.WriteFile(s.settings(e), data, 0o600); err != nil {
			return err
		}

		if err := s.startEntry(e); err != nil {
			return err
		}
	}

	return nil
}

func (s *site) settings(e *process) string { return filepath.Join(s.dir, e.name+".json") }

// startEntry starts an entry, also once more.
func (s *site) startEntry(e *process) error {
	log, err := os.OpenFile(filepath.Join(s.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}

	e.cmd = exec.Command(os.Getenv("ENTRY"), "serve")
	e.cmd.Env = append(os.Environ(), "FULMARCROSS_SETTINGS="+s.settings(e), "GOMAXPROCS=1")
	e.cmd.Stdout, e.cmd.Stderr = log, log
	e.ended = make(chan struct{})

	if err := e.cmd.Start(); err != nil {
		return err
	}

	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait()
		_ = log.Close()

		close(ended)
	}(e.cmd, e.ended)

	return nil
}

// logs returns the lines of all entries' logs that contain a text.
func (s *site) logs(text string) []string {
	var out []string

	for _, e := range s.entries {
		data, _ := os.ReadFile(filepath.Join(s.dir, e.name+".log"))
		for line := range strings.Lines(string(data)) {
			if strings.Contains(line, text) {
				out = append(out, strings.TrimSpace(line))
			}
		}
	}

	return out
}

var errNotReady = errors.New("an entry is not ready")

// awaitReady waits until all entries say that they are ready.
func (s *site) awaitReady() error {
	for _, e := range s.entries {
		ok := false

		for range 150 {
			resp, err := http.Get("http://" + e.ready + "/api/readyz")
			if err == nil {
				_ = resp.Body.Close()
				if ok = resp.StatusCode == http.StatusOK; ok {
					break
				}
			}

			time.Sleep(100 * time.Millisecond)
		}

		if !ok {
			return errNotReady
		}
	}

	return nil
}

// addWorker starts a worker as a process.
func (s *site) addWorker(id, service, model string, slots int, args ...string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}

	w := &workerProcess{process: process{name: id, ended: make(chan struct{})}, service: service, model: model, slots: slots, born: time.Now().UnixMilli(), state: "ready"}
	w.cmd = exec.Command(self, append([]string{"worker", "-id", id, "-service", service, "-model", model}, args...)...)

	out, err := w.cmd.StdoutPipe()
	if err != nil {
		return err
	}

	if err := w.cmd.Start(); err != nil {
		return err
	}

	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		return errors.New("a worker does not start")
	}

	w.address = lines.Text()

	go func() {
		for lines.Scan() {
			s.logf("worker %s", lines.Text())
		}

		_ = w.cmd.Wait()
		close(w.ended)
	}()

	s.mu.Lock()
	s.workers[id] = w
	s.mu.Unlock()
	s.register(w)

	return nil
}

// register writes a worker's row, as the worker does.
func (s *site) register(w *workerProcess) {
	s.mu.Lock()
	w.sequence++
	row := map[string]any{
		"service": w.service, "address": w.address, "zone": "centro-a", "version": "v1", "slots": w.slots, "state": w.state,
		"cold_left_ms": 0, "sequence": w.sequence, "born": w.born, "models": []any{},
	}

	if w.model != "" {
		row["models"] = []any{map[string]any{"name": w.model, "version": 1, "adapters": []string{}}}
	}

	if w.state == "draining" {
		row["remaining_ms"] = max(0, time.Until(w.leavesAt).Milliseconds())
	}
	s.mu.Unlock()

	s.store.put("servers", w.name, row)
}

func (s *site) beat(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(beatEvery):
		}

		s.mu.Lock()
		var all []*workerProcess
		for _, w := range s.workers {
			if w.state != "gone" {
				all = append(all, w)
			}
		}
		s.mu.Unlock()

		for _, w := range all {
			s.register(w)
		}
	}
}

// takeAway has a worker say that it leaves, and kills it when the time it has named is over.
// With NOTICE=0 it says nothing before.
func (s *site) takeAway(id string, after time.Duration) {
	s.mu.Lock()
	w := s.workers[id]
	notice := os.Getenv("NOTICE") != "0"

	if notice {
		w.state, w.leavesAt = "draining", time.Now().Add(after)
	}
	s.mu.Unlock()

	if notice {
		s.register(w)
		s.logf("platform: worker %s says that it is draining, remaining_ms %d", id, after.Milliseconds())
	}

	time.Sleep(after)

	s.mu.Lock()
	w.state = "gone"
	s.mu.Unlock()

	_ = w.cmd.Process.Signal(syscall.SIGKILL)
	s.logf("platform: worker %s is gone (SIGKILL)", id)
	<-w.ended
	time.Sleep(beatEvery)
	s.store.remove("servers", id)
}

// signal sends a signal to a worker that has not been taken away.
func (s *site) signal(id string, sig syscall.Signal) {
	s.mu.Lock()
	w := s.workers[id]
	gone := w.state == "gone"
	s.mu.Unlock()

	if !gone {
		_ = w.cmd.Process.Signal(sig)
	}
}
