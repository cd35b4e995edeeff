package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// worker is a stand-in of a worker: a process that answers requests on one address.
type worker struct {
	id, service, model string
	born               int64
	events             int
	gap                time.Duration
	work               time.Duration
	// unframedEvery is how many streams there are, for unframedFor after each SIGUSR1, to one
	// whose answer has no length and ends with its connection. Zero means that all answers
	// have one.
	unframedEvery int64
	unframedUntil atomic.Int64

	streams, active atomic.Int64
	mu              sync.Mutex
	sequence        int
}

// unframedFor is for_s of the site file's longest such trouble.
const unframedFor = 5 * time.Second

// workerMain runs a worker until it is killed. It writes its address first, then a line
// for each begin and end of a run.
func workerMain(args []string) {
	w := &worker{born: time.Now().UnixMilli()}
	f := flag.NewFlagSet("worker", flag.ExitOnError)
	f.StringVar(&w.id, "id", "", "")
	f.StringVar(&w.service, "service", "", "")
	f.StringVar(&w.model, "model", "", "")
	f.IntVar(&w.events, "events", 60, "")
	f.DurationVar(&w.gap, "gap", 100*time.Millisecond, "")
	f.DurationVar(&w.work, "work", 15*time.Millisecond, "")
	f.Int64Var(&w.unframedEvery, "unframed-every", 0, "")
	_ = f.Parse(args)

	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}

	fmt.Println(l.Addr())

	usr := make(chan os.Signal, 1)
	signal.Notify(usr, syscall.SIGUSR1)

	go func() {
		for range usr {
			fmt.Println(w.id, "leaves out the length of some answers")
			w.unframedUntil.Store(time.Now().Add(unframedFor).UnixNano())
		}
	}()

	for {
		c, err := l.Accept()
		if err != nil {
			os.Exit(2)
		}

		go w.serve(c)
	}
}

// serve answers the requests of one connection, one after the other.
func (w *worker) serve(c net.Conn) {
	defer c.Close()

	r := bufio.NewReader(c)

	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}

		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}

		if !w.answer(c, req, len(body)) {
			return
		}
	}
}

// answer answers a request. It reports whether the connection can carry another one.
func (w *worker) answer(c net.Conn, req *http.Request, size int) bool {
	if want := req.Header.Get("Expect-Instance"); want != "" && want != w.id {
		return send(c, "421 Misdirected Request", "Instance-Id: "+w.id+"\r\n", "")
	}

	switch req.URL.Path {
	case "/healthz":
		return send(c, "200 OK", "Instance-Id: "+w.id+"\r\n", "")
	case "/api/report":
		return send(c, "200 OK", "Content-Type: application/json\r\n", w.report())
	case "/api/order":
		w.mu.Lock()
		w.sequence++
		w.mu.Unlock()

		return send(c, "409 Conflict", "", "")
	}

	id := req.Header.Get("Attempt-Id")
	fmt.Printf("%s begins %s\n", w.id, id)
	w.active.Add(1)

	defer w.active.Add(-1)

	own := "Attempt-Id: " + id + "\r\nServer-Stamp: stamp." + w.id + "\r\n"

	if strings.HasPrefix(req.URL.Path, "/stream/") {
		return w.stream(c, req, own)
	}

	time.Sleep(w.work)
	fmt.Printf("%s ends %s\n", w.id, id)

	return send(c, "200 OK", own, id+" "+strconv.Itoa(size)+strings.Repeat(".", 760))
}

// stream answers with events. Those of one answer in unframedEvery end with the connection.
func (w *worker) stream(c net.Conn, req *http.Request, own string) bool {
	id := req.Header.Get("Attempt-Id")
	after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	unframed := time.Now().UnixNano() < w.unframedUntil.Load() && w.streams.Add(1)%w.unframedEvery == 0

	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + own
	if unframed {
		head += "Connection: close\r\n\r\n"
	} else {
		head += "Transfer-Encoding: chunked\r\n\r\n"
	}

	if _, err := io.WriteString(c, head); err != nil {
		return false
	}

	for i := after + 1; i <= w.events; i++ {
		time.Sleep(w.gap)

		text := fmt.Sprintf("id: %d\ndata: %s %d of %d\n\n", i, id, i, w.events)
		if !unframed {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}

		if _, err := io.WriteString(c, text); err != nil {
			fmt.Printf("%s is left %s at %d\n", w.id, id, i)

			return false
		}
	}

	if !unframed {
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}

	fmt.Printf("%s ends %s unframed=%v\n", w.id, id, unframed)

	return !unframed
}

func (w *worker) report() string {
	w.mu.Lock()
	defer w.mu.Unlock()

	data, _ := json.Marshal(map[string]any{
		"stage": "both", "born": w.born, "models": w.models(), "busy": false, "sequence": w.sequence, "queued": 0, "active": w.active.Load(),
		"kv_used": 0, "kv_total": 90000, "handles": 0, "pending": []string{},
	})

	return string(data)
}

func (w *worker) models() []any {
	if w.model == "" {
		return []any{}
	}

	return []any{map[string]any{"name": w.model, "version": 1, "adapters": []string{}}}
}

// send writes an answer with its length.
func send(c net.Conn, status, header, body string) bool {
	_, err := io.WriteString(c, "HTTP/1.1 "+status+"\r\n"+header+"Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)

	return err == nil
}
