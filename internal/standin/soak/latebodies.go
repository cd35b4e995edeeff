package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/serving/relay"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
	"github.com/fulmarcross/fulmarcross/internal/standin/site"
	"github.com/fulmarcross/fulmarcross/internal/standin/worker"
	"github.com/fulmarcross/fulmarcross/platform"
)

const (
	// lateBodies is the number of requests whose bodies come late, and lateWork how long targets
	// work on them.
	lateBodies = 12
	lateWork   = 2500 * time.Millisecond
	// headsUntil is the latest time after SIGTERM at which their heads are sent. Their bodies end
	// between bodiesFrom and bodiesUntil.
	headsUntil  = 2 * time.Second
	bodiesFrom  = 2500 * time.Millisecond
	bodiesUntil = 5500 * time.Millisecond
)

// lateTimeout is the timeout of the route of these requests.
const lateTimeout = 9 * time.Second

// allowLateBodies gives requests time for a late body and for the work on them.
func (s *soak) allowLateBodies() {
	s.site.PutConfig(func(c *route.Config) {
		for i := range c.Routes {
			if c.Routes[i].Kind == route.NonIdempotent {
				c.Routes[i].Timeout = lateTimeout
			}
		}
	})
}

// lateRequest is a request whose body comes late. The times count from SIGTERM.
type lateRequest struct{ head, body time.Duration }

// stopBesideLateBodies is the trouble in which a process is stopped while requests arrive whose
// bodies come late, and targets take long.
func (s *soak) stopBesideLateBodies(draw *rand.Rand, p *process) event {
	requests := make([]lateRequest, lateBodies)
	for i := range requests {
		requests[i] = lateRequest{head: time.Duration(draw.Int64N(int64(headsUntil))), body: bodiesFrom + time.Duration(draw.Int64N(int64(bodiesUntil-bodiesFrom)))}
	}

	s.lateSeries++
	series := s.lateSeries

	return event{
		name: p.name + " is stopped while bodies come late",
		begin: func() {
			s.slowDesks(lateWork)

			var all sync.WaitGroup

			p.signal(syscall.SIGTERM)

			for i, r := range requests {
				all.Go(func() { s.askLate(p, fmt.Sprintf("soak-%s-late%d-%d-%d", free, series, s.callerOf(p), i), r) })
			}

			all.Wait()
		},
		end:     func() { s.slowDesks(0) },
		excuses: p.name, after: stoppedAfter,
	}
}

// callerOf returns the number of a process's first client.
func (s *soak) callerOf(p *process) int {
	for i, other := range s.processes {
		if other == p {
			return i * callersEach
		}
	}

	return 0
}

// slowDesks makes all plain targets work longer on each request.
func (s *soak) slowDesks(work time.Duration) {
	for _, d := range s.site.Desks {
		d.SetFaults(worker.Faults{Work: work})
	}
}

// askLate sends a request whose body comes late, and notes its answer.
func (s *soak) askLate(p *process, id string, r lateRequest) {
	time.Sleep(r.head)

	k := kind{path: "/book/x", once: true, body: "lot", whole: desk}

	c, err := net.DialTimeout("tcp", p.callers.String(), callFor)
	if err != nil {
		return // It does not listen any more.
	}
	defer c.Close()

	h := make(http.Header)
	platform.SetAsk(h, relay.RequestInfo{ID: id, Timeout: lateTimeout, Credentials: credentials(free)})

	var head bytes.Buffer

	_, _ = fmt.Fprintf(&head, "POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n", k.path, site.Host, len(k.body)) // Never fails.
	_ = h.Write(&head)                                                                                                  // Never fails.
	head.WriteString("\r\n")

	if _, err := c.Write(head.Bytes()); err != nil {
		return
	}

	time.Sleep(r.body - r.head)
	s.book.send(id, k.path) // It is whole only now.

	reply, err := s.sendBody(c, k.body)
	s.book.note(id, k, reply, err)
}

// sendBody sends the body of a request and returns the answer.
func (s *soak) sendBody(c net.Conn, body string) (site.Reply, error) {
	if err := c.SetDeadline(time.Now().Add(callFor)); err != nil {
		return site.Reply{}, err
	}

	if _, err := io.WriteString(c, body); err != nil {
		return site.Reply{}, err
	}

	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return site.Reply{}, err
	}
	defer resp.Body.Close()

	data, err := io.ReadAll(resp.Body)

	return site.Reply{Status: resp.StatusCode, Signed: platform.Signed(resp.Header), Body: string(data), Whole: err == nil}, nil
}
