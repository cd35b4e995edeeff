// The program harness plays the cases of this review: it starts entries as
// processes, with a store, workers and clients of its own, on loopback.
package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"time"
)

// record is what was sent, answered and run.
type record struct {
	mu     sync.Mutex
	began  time.Time
	lines  []line
	orders []orderSeen
	// arrivals and crashes are those of requests that crash workers.
	arrivals, crashes []time.Time
}

// arrive records that a request that crashes workers has reached one.
func (r *record) arrive(id, worker string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, time.Now())
}

// crashed records that it has crashed one.
func (r *record) crashed(id, worker string) {
	r.mu.Lock()
	r.crashes = append(r.crashes, time.Now())
	r.mu.Unlock()
	r.add("crash", id, "worker "+worker+" has crashed")
}

type line struct {
	at   time.Time
	text string
}

type orderSeen struct {
	At     time.Time
	Worker string
	Order  orderBody
	Status int
}

func (r *record) add(kind, id, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, line{time.Now(), fmt.Sprintf("%-8s %-20s %s", kind, id, text)})
}

func (r *record) order(o orderSeen) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orders = append(r.orders, o)
	what := o.Order.Model
	if o.Order.Adapter != "" {
		what += "/" + o.Order.Adapter
	}
	pre := "-"
	if o.Order.Precondition != nil {
		pre = fmt.Sprint(*o.Order.Precondition)
	}
	r.lines = append(r.lines, line{o.At, fmt.Sprintf("%-8s %-20s %s %s by %s, token %d, precondition %s: %d", "order", o.Worker, o.Order.Operation, what, o.Order.Holder, o.Order.Token, pre, o.Status)})
}

func (r *record) write(path string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sort.SliceStable(r.lines, func(i, j int) bool { return r.lines[i].at.Before(r.lines[j].at) })
	f, err := os.Create(path)
	must(err)
	defer f.Close()
	w := bufio.NewWriter(f)
	for _, l := range r.lines {
		fmt.Fprintf(w, "%8.3f %s\n", l.at.Sub(r.began).Seconds(), l.text)
	}
	must(w.Flush())
}

var (
	entries []*entry
	tempDir string
)

func stopAll() {
	for _, e := range entries {
		e.stop()
	}
	if tempDir != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(tempDir)
	}
}

// answered is what a client got.
type answered struct {
	status   int
	signed   bool
	body     string
	complete bool
	err      string
}

// ask sends one request on a connection of its own and reads its answer.
func ask(address, method, path, id string, header map[string]string, body string, deadline time.Duration, onByte func()) answered {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answered{err: err.Error()}
	}
	defer c.Close()
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", method, path, id, deadline.Milliseconds())
	for k, v := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	if body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	_ = c.SetDeadline(time.Now().Add(deadline + time.Second))
	if _, err := c.Write([]byte(b.String())); err != nil {
		return answered{err: err.Error()}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return answered{err: err.Error()}
	}
	a := answered{status: resp.StatusCode, signed: resp.Header.Get("Server-Stamp") != ""}
	buf := make([]byte, 4096)
	for {
		n, err := resp.Body.Read(buf)
		a.body += string(buf[:n])
		if n > 0 && onByte != nil {
			onByte()
		}
		if err != nil {
			if err.Error() == "EOF" {
				a.complete = true
			} else {
				a.err = err.Error()
			}
			return a
		}
	}
}

func main() {
	if len(os.Args) != 3 {
		cannotRun("usage: harness CASE FOLDER")
	}
	folder, err := filepath.Abs(os.Args[2])
	must(err)
	tempDir, err = os.MkdirTemp("", "review-")
	must(err)
	rec := &record{began: time.Now()}
	time.AfterFunc(110*time.Second, func() {
		rec.write(filepath.Join(folder, "record.txt"))
		cannotRun("it took too long")
	})
	trouble := os.Getenv("TROUBLE") != "0"
	cases := map[string]func(*record, bool) (bool, string){"sighup": caseSighup, "turns": caseTurns, "stale": caseStale, "reach": caseReach, "crash": caseCrash}
	play := cases[os.Args[1]]
	if play == nil {
		cannotRun("no such case")
	}
	broken, why := play(rec, trouble)
	rec.add("verdict", "", why)
	rec.write(filepath.Join(folder, "record.txt"))
	stopAll()
	fmt.Println(why)
	if broken {
		os.Exit(1)
	}
}
