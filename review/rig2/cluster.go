package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// cluster is a small deployment: a store, entries as processes of the deploy file's command, and
// workers as processes of this program.
type cluster struct {
	store   *store
	dir     string
	record  *os.File
	began   time.Time
	control string

	// settings are the rules and bounds in the settings of entries.
	settings string

	mu      sync.Mutex
	entries []*entry
	workers []*workerProc
	onEvent func(event)
	closing bool
}

// entry is one process of the system.
type entry struct {
	name, settings                     string
	callers, readiness, peers, metrics string
	cmd                                *exec.Cmd
	ended                              chan struct{}
}

// workerProc is a worker and its present process.
type workerProc struct {
	id, service, addr string
	models            []string
	cmd               *exec.Cmd
	downFor           time.Duration
	seq               uint64
}

// The rules and bounds of the sheets.
const (
	contraste = `"rules":["base","drain","config","cost","retry","recover","fleet","stream","engine","platform"],
"bounds":{"graceSeconds":8,"turnPauseMs":3000,"repeatRatio":0.2,"repeatBurst":54,"repeatWindowSeconds":10}`
	dalakonvert = `"rules":["base","drain","config","cost","retry","recover","health","pool","fleet","stream","engine","platform"],
"bounds":{"graceSeconds":8,"turnPauseMs":3000,"repeatRatio":0.2,"repeatBurst":178,"repeatWindowSeconds":10}`
)

// event is what a worker tells of a request.
type event struct {
	Worker, Kind, ID, Path, After string
	N                             int
}

func newCluster() (*cluster, error) {
	dir, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		return nil, err
	}

	out := os.Getenv("RECORD")
	if out == "" {
		out = "record.txt"
	}

	f, err := os.Create(out)
	if err != nil {
		return nil, err
	}

	c := &cluster{store: newStore(), dir: dir, record: f, settings: contraste, began: time.Now(), onEvent: func(event) {}}

	return c, c.listen()
}

// listen starts the store and the control listener, to which workers tell what they run.
func (c *cluster) listen() error {
	if err := c.store.start(); err != nil {
		return err
	}

	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}

	c.control = l.Addr().String()

	mux := http.NewServeMux()
	mux.HandleFunc("POST /event", func(w http.ResponseWriter, r *http.Request) {
		var e event
		if json.NewDecoder(r.Body).Decode(&e) != nil {
			return
		}

		c.log("worker %s %s id=%s path=%s after=%s n=%d", e.Worker, e.Kind, e.ID, e.Path, e.After, e.N)
		c.mu.Lock()
		f := c.onEvent
		c.mu.Unlock()
		f(e)
	})
	mux.HandleFunc("POST /row", func(w http.ResponseWriter, r *http.Request) {
		var row struct {
			ID    string
			Value json.RawMessage
		}
		if json.NewDecoder(r.Body).Decode(&row) == nil {
			c.store.put("servers", row.ID, row.Value)
		}
	})

	go func() { _ = http.Serve(l, mux) }()

	return nil
}

func (c *cluster) since() time.Duration { return time.Since(c.began) }

func (c *cluster) log(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()

	fmt.Fprintf(c.record, "%8.3f  %s\n", c.since().Seconds(), fmt.Sprintf(format, args...))
}

// The ports that free returns: none that connections get by themselves.
const (
	firstPort = 20000
	ports     = 10000
)

// given are the ports that free has returned.
var given = make(map[int]bool)

// free returns a loopback address that was free and that it has not returned before.
func free() string {
	for {
		port := firstPort + rand.IntN(ports)
		address := fmt.Sprintf("127.0.0.1:%d", port)

		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}

		_ = l.Close()

		if !given[port] {
			given[port] = true

			return address
		}
	}
}

// startEntries starts entries with settings like those of a small deployment.
func (c *cluster) startEntries(n int) error {
	for i := range n {
		c.entries = append(c.entries, &entry{name: fmt.Sprintf("front-%d", i+1), callers: free(), readiness: free(), peers: free(), metrics: free()})
	}

	var seeds []string
	for _, e := range c.entries {
		seeds = append(seeds, e.peers)
	}

	seedText, _ := json.Marshal(seeds)

	for _, e := range c.entries {
		e.settings = filepath.Join(c.dir, e.name+".json")
		text := fmt.Sprintf(`{"name":%q,"dataCentre":"centro-a","callers":%q,"readiness":%q,"peers":%q,"seeds":%s,"metrics":%q,"strength":0.4,"memoryMB":284,
"store":%q,%s}`,
			e.name, e.callers, e.readiness, e.peers, seedText, e.metrics, c.store.addr, c.settings)

		if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
			return err
		}

		if err := c.startEntry(e); err != nil {
			return err
		}
	}

	return nil
}

// startEntry starts the process of an entry with the command of the deploy file.
func (c *cluster) startEntry(e *entry) error {
	logs, err := os.OpenFile(filepath.Join(c.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}

	cmd := exec.Command("target/fulmarcross-entry", "serve")
	cmd.Dir = os.Getenv("REPO")
	cmd.Env = []string{"FULMARCROSS_SETTINGS=" + e.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + c.dir}
	cmd.Stdout, cmd.Stderr = logs, logs
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}

	if err := cmd.Start(); err != nil {
		return err
	}

	ended := make(chan struct{})
	e.cmd, e.ended = cmd, ended

	go func() {
		_ = cmd.Wait()
		_ = logs.Close()
		close(ended)
	}()

	c.log("entry %s starts, pid %d", e.name, cmd.Process.Pid)

	return nil
}

// awaitReady waits until all entries are ready.
func (c *cluster) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0

		for _, e := range c.entries {
			resp, err := http.Get("http://" + e.readiness + "/api/readyz")
			if err == nil {
				_ = resp.Body.Close()

				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}

		if ready == len(c.entries) {
			c.log("all entries are ready")

			return nil
		}
	}

	return fmt.Errorf("entries are not ready")
}

// addWorker adds a worker and starts its process, which is started again when it ends.
func (c *cluster) addWorker(id, service string, models []string, downFor time.Duration, extra ...string) error {
	w := &workerProc{id: id, service: service, addr: free(), models: models, downFor: downFor}
	c.workers = append(c.workers, w)

	return c.startWorker(w, extra)
}

func (c *cluster) startWorker(w *workerProc, extra []string) error {
	models, _ := json.Marshal(w.models)
	args := append([]string{"worker", w.id, w.service, w.addr, string(models), c.control}, extra...)

	cmd := exec.Command(os.Args[0], args...)
	cmd.Stderr = os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}

	c.mu.Lock()
	closing := c.closing
	c.mu.Unlock()

	if closing {
		return nil
	}

	if err := cmd.Start(); err != nil {
		return err
	}

	c.mu.Lock()
	w.cmd = cmd
	c.mu.Unlock()

	go func() {
		_ = cmd.Wait()

		c.mu.Lock()
		closing := c.closing
		c.mu.Unlock()

		if closing {
			return
		}

		c.log("worker %s has ended, back in %v", w.id, w.downFor)
		// The store removes its row after three heartbeat intervals of silence at the latest.
		time.Sleep(w.downFor)
		_ = c.startWorker(w, extra)
	}()

	return nil
}

// close ends all processes that were started.
func (c *cluster) close() {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()

	for _, e := range c.entries {
		if e.cmd != nil {
			_ = e.cmd.Process.Kill()
			<-e.ended
		}
	}

	c.mu.Lock()
	for _, w := range c.workers {
		if w.cmd != nil {
			_ = w.cmd.Process.Kill()
		}
	}
	c.mu.Unlock()

	time.Sleep(100 * time.Millisecond)

	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	} else {
		fmt.Println("kept", c.dir)
	}
}
