package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// entry is one process of the project's own program.
type entry struct {
	name                                        string
	ip, callers, readiness, peers, metrics, dir string
	proxy                                       *proxy
	cmd                                         *exec.Cmd
	ended                                       chan struct{}
	how                                         string
}

func freePort(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	must(err)
	defer l.Close()
	return l.Addr().String()
}

// newEntry writes the settings as the deploy file's template makes them. The entry
// reaches the store through a proxy of its own.
func newEntry(dir, name string, store string) *entry {
	e := &entry{name: name, dir: dir}
	e.callers, e.readiness, e.peers, e.metrics = freePort("127.0.0.1"), freePort("127.0.0.1"), freePort("127.0.0.1"), freePort("127.0.0.1")
	e.proxy = newProxy(store)
	return e
}

func (e *entry) writeSettings(seeds []string, burst int) {
	settings := map[string]any{
		"name": e.name, "dataCentre": "zone-a", "callers": e.callers, "readiness": e.readiness, "peers": e.peers, "seeds": seeds,
		"metrics": e.metrics, "strength": 0.4, "memoryMB": 284,
		"rules": []string{"base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "platform"},
		"store": e.proxy.address,
		"bounds": map[string]any{
			"graceSeconds": 8, "turnPauseMs": 3000, "repeatRatio": 0.2, "repeatBurst": burst, "repeatWindowSeconds": 10,
		},
	}
	data, err := json.Marshal(settings)
	must(err)
	must(os.WriteFile(filepath.Join(e.dir, e.name+".json"), data, 0o600))
}

func (e *entry) start() {
	program, err := filepath.Abs("target/fulmarcross-entry")
	must(err)
	if _, err := os.Stat(program); err != nil {
		cannotRun("no target/fulmarcross-entry: build the deploy file first")
	}
	log, err := os.OpenFile(filepath.Join(e.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	cmd := exec.Command(program, "serve")
	cmd.Env = append(os.Environ(), "FULMARCROSS_SETTINGS="+filepath.Join(e.dir, e.name+".json"))
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(cmd.Start())
	ended := make(chan struct{})
	e.cmd, e.ended = cmd, ended
	go func() {
		_ = cmd.Wait()
		e.how = cmd.ProcessState.String()
		_ = log.Close()
		close(ended)
	}()
}

func (e *entry) signal(s syscall.Signal) { _ = e.cmd.Process.Signal(s) }

func (e *entry) stop() {
	if e.cmd == nil {
		return
	}
	e.signal(syscall.SIGCONT)
	e.signal(syscall.SIGKILL)
	<-e.ended
}

func (e *entry) awaitReady(within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + e.readiness + "/api/readyz")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return true
			}
		}
	}
	return false
}

// proxy passes connections on. While it is cut, it passes nothing on in either
// direction and accepts no bytes, as a partitioned link does.
type proxy struct {
	address, to string
	cut         atomic.Bool
	mu          sync.Mutex
	conns       map[net.Conn]bool
}

func newProxy(to string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	p := &proxy{address: l.Addr().String(), to: to, conns: make(map[net.Conn]bool)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.pass(c)
		}
	}()
	return p
}

func (p *proxy) await() {
	for p.cut.Load() {
		time.Sleep(5 * time.Millisecond)
	}
}

func (p *proxy) pass(c net.Conn) {
	defer c.Close()
	p.await()
	up, err := net.Dial("tcp", p.to)
	if err != nil {
		return
	}
	defer up.Close()
	done := make(chan struct{}, 2)
	copyAll := func(dst, src net.Conn) {
		buf := make([]byte, 32<<10)
		for {
			n, err := src.Read(buf)
			p.await()
			if n > 0 {
				if _, werr := dst.Write(buf[:n]); werr != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		done <- struct{}{}
	}
	go copyAll(up, c)
	go copyAll(c, up)
	<-done
}

// logs returns the end of an entry's log.
func (e *entry) logs() string {
	data, _ := os.ReadFile(filepath.Join(e.dir, e.name+".log"))
	return string(data[max(0, len(data)-4000):])
}

func cannotRun(why string) {
	fmt.Println("cannot run:", why)
	stopAll()
	os.Exit(2)
}

func must(err error) {
	if err != nil {
		cannotRun(err.Error())
	}
}

var _ = io.Discard
