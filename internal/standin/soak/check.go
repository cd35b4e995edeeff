package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/serving/relay"
	"github.com/fulmarcross/fulmarcross/internal/standin/arrivals"
	"github.com/fulmarcross/fulmarcross/internal/standin/site"
	"github.com/fulmarcross/fulmarcross/internal/standin/worker"
)

const (
	// tokens is the number of events of a stream.
	tokens = 6
	// callFor is the timeout of a request, and callPause the longest pause between two
	// requests of a client.
	callFor   = 4 * time.Second
	callPause = 120 * time.Millisecond
)

// Report is the result of a soak.
type Report struct {
	// Asked counts all requests, Answered those with a complete answer, Refused those
	// that did not run according to their answers, and Unknown the others.
	Asked, Answered, Refused, Unknown int
	// Limited counts those of Refused that teams' limits or keys do not allow, so that
	// they must be refused.
	Limited int
	// Taken counts the streams that clients took up at entries that are not excused, GoneOn
	// those of them that went on, and Mixed describes those with events of several versions.
	Taken, GoneOn int
	Mixed         []string
	// Crashed counts the engines that requests have crashed.
	Crashed int
	// Opened counts the connections to the store by each entry, and to each target.
	Opened map[string]int64
	// Lines are those of the users' rule on retries, with the largest value of each.
	Lines []arrivals.Line
	// Broken describes the promises that were broken.
	Broken []string
}

// book records what clients received.
type book struct {
	mu   sync.Mutex
	seen Report
	// once are the requests that may run once, and refused those that must not run,
	// according to their answers.
	once, refused []string
	// sent is when clients sent each request, and served whether it was answered.
	sent   map[string]time.Time
	served map[string]bool
	// paths are the paths of requests.
	paths map[string]string
	lost  lost
}

// send records that a client sends a request.
func (b *book) send(id, path string) {
	b.mu.Lock()
	defer b.mu.Unlock()

	if b.sent == nil {
		b.sent, b.paths = make(map[string]time.Time), make(map[string]string)
	}

	b.sent[id], b.paths[id] = time.Now(), path
}

func (b *book) sentAt(id string) (time.Time, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()

	at, known := b.sent[id]

	return at, known
}

// kind is a kind of request with a check of its answer.
type kind struct {
	path, model, body string
	once              bool
	whole             func(body string) bool
}

func desk(body string) bool { return body == "done: lot" }

func stream(body string) bool { return strings.Count(body, "data:") == tokens }

func kindOf(draw *rand.Rand) kind {
	switch draw.IntN(4) { //nolint:mnd // The site's routes.
	case 0:
		return kind{path: "/look/x", whole: func(body string) bool { return strings.HasPrefix(body, "done: ") }}
	case 1:
		return kind{path: "/book/x", body: "lot", once: true, whole: desk}
	case 2: //nolint:mnd // See above.
		return kind{path: "/dossier/x", body: "text", model: site.Model(draw.IntN(16)), once: true, whole: stream} //nolint:mnd // Rare ones too.
	default:
		return kind{path: "/note/x", body: "text", model: site.Model(draw.IntN(2)), whole: stream} //nolint:mnd // Busy ones.
	}
}

// call is one client. It sends one request after another on a connection that it keeps
// open until the process closes it.
func (s *soak) call(ctx context.Context, p *process, caller int) {
	draw := rand.New(rand.NewPCG(s.Seed, uint64(1+caller))) //nolint:gosec // No secret, and small.
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}

	defer c.CloseIdleConnections()

	for n := 0; ctx.Err() == nil; n++ {
		team := callerTeam(caller, n)
		s.ask(ctx, c, p, team, fmt.Sprintf("soak-%s-%d-%d", team, caller, n), kindOf(draw))
		time.Sleep(time.Duration(draw.Int64N(int64(callPause))))
	}
}

func (s *soak) ask(ctx context.Context, c *http.Client, p *process, team, id string, k kind) {
	// The end of the soak does not cancel the request.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callFor)
	defer cancel()

	s.book.send(id, k.path)

	r, err := site.AskOn(ctx, c, p.callers, k.path, k.body, relay.RequestInfo{
		ID: id, Timeout: callFor, Model: k.model, Prompt: s.soundPrompt(id), TokensIn: 10, TokensOut: tokens, Credentials: credentials(team),
	})
	s.book.note(id, k, r, err)
}

func (b *book) note(id string, k kind, r site.Reply, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.seen.Asked++

	if k.once {
		b.once = append(b.once, id)
	}

	switch {
	case err != nil:
		b.seen.Unknown++
		b.lost.note(id, k, err)
	case r.Status == http.StatusServiceUnavailable, r.Status == http.StatusTooManyRequests, r.Status == http.StatusUnauthorized:
		b.seen.Refused++
		b.refused = append(b.refused, id)

		if r.Status != http.StatusServiceUnavailable {
			b.seen.Limited++
		}
	case r.Status != http.StatusOK || !r.Whole:
		b.seen.Unknown++
	case !k.whole(r.Body) || !r.Signed:
		b.brokenf("%s got another answer, or one that looks whole and is not: %q", id, r.Body)
	default:
		b.seen.Answered++
		b.serve(id)
	}
}

// serve records that a request was answered. The caller holds the lock.
func (b *book) serve(id string) {
	if b.served == nil {
		b.served = make(map[string]bool)
	}

	b.served[id] = true
}

func (b *book) brokenf(format string, args ...any) {
	b.seen.Broken = append(b.seen.Broken, fmt.Sprintf(format, args...))
}

// targets are the targets' records.
type targets interface {
	// Runs returns how often a request ran, and Broken describes violations that the
	// targets recorded.
	Runs(id string) int
	Broken() []string
	// Ran returns the runs on plain targets, in order.
	Ran() []worker.Run
}

// report checks what was recorded after all requests have ended.
func (b *book) report(s targets, recovered error) Report {
	b.mu.Lock()
	defer b.mu.Unlock()

	for _, id := range b.once {
		if n := s.Runs(id); n > 1 {
			b.brokenf("%s may run once and ran %d times", id, n)
		}
	}

	for _, id := range b.refused {
		if n := s.Runs(id); n > 0 {
			b.brokenf("%s was told that it does not run and ran %d times", id, n)
		}
	}

	for _, text := range s.Broken() {
		b.brokenf("%s", text)
	}

	b.checkTeams(s.Ran())

	if recovered != nil {
		b.brokenf("%v", recovered)
	}

	return b.seen
}

// NotServedError reports that an entry did not serve a kind of request in time.
type NotServedError struct {
	Entry, Path string
	// Status and Err are the end of the last request; the status is zero if it got no answer.
	Status int
	Err    error
	// Statuses are how often the requests before got each status.
	Statuses map[int]int
}

func (e *NotServedError) Error() string {
	return fmt.Sprintf("%s does not serve %s: status %d, %v; before that %v", e.Entry, e.Path, e.Status, e.Err, e.Statuses)
}

func (e *NotServedError) Unwrap() error { return e.Err }

// ready waits until every entry serves every kind of request.
func (s *soak) ready(ctx context.Context, within time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()

	var (
		mu   sync.Mutex
		errs []error
		all  sync.WaitGroup
	)

	for i, p := range s.processes {
		rare := site.Model(9 + i%4) //nolint:mnd // Not the busy ones.

		for _, k := range []kind{
			{path: "/book/x", body: "lot"}, {path: "/look/x"}, {path: "/note/x", body: "text", model: site.Model(0)}, {path: "/dossier/x", body: "text", model: rare},
		} {
			all.Go(func() {
				if err := s.served(ctx, p, k); err != nil {
					mu.Lock()
					defer mu.Unlock()

					errs = append(errs, err)
				}
			})
		}
	}

	all.Wait()

	return errors.Join(errs...)
}

// writeTraces writes, of the processes that err names, what their logs say of the requests
// that were not served, and their stacks.
func (s *soak) writeTraces(err error) {
	joined, ok := err.(interface{ Unwrap() []error })
	if !ok || s.Traces == nil {
		return
	}

	unserved := make(map[string][]string)

	for _, one := range joined.Unwrap() {
		var notServed *NotServedError
		if errors.As(one, &notServed) {
			unserved[notServed.Entry] = append(unserved[notServed.Entry], readyID(notServed.Entry, notServed.Path))
		}
	}

	for _, p := range s.processes {
		for _, id := range unserved[p.name] {
			_, _ = fmt.Fprintf(s.Traces, "log of %s*:\n%s\n", id, p.lines(id))
		}

		if unserved[p.name] != nil {
			s.harmed.add(p.name, time.Now().Add(-contact), time.Now().Add(startTime)) // Its stacks end it.
			_, _ = fmt.Fprintf(s.Traces, "%s does not serve:\n%s\n", p.name, p.stacks())
		}
	}
}

// readyID returns the beginning of the ids of requests that check whether an entry serves.
func readyID(entry, path string) string { return "ready-" + entry + path }

// served sends requests to an entry, each on a new connection, until one is answered.
func (s *soak) served(ctx context.Context, p *process, k kind) error {
	statuses := make(map[int]int)

	for n := 0; ; n++ {
		id := fmt.Sprintf("%s-%d-%d", readyID(p.name, k.path), n, time.Now().UnixNano())

		s.book.send(id, k.path)

		c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		r, err := site.AskOn(ctx, c, p.callers, k.path, k.body, relay.RequestInfo{
			ID: id, Timeout: callFor, Model: k.model, Prompt: s.soundPrompt(id), TokensIn: 10, TokensOut: tokens, Credentials: credentials(free),
		})

		if err == nil && r.Status == http.StatusOK && r.Whole {
			return nil
		}

		if ctx.Err() != nil {
			return &NotServedError{Entry: p.name, Path: k.path, Status: r.Status, Err: err, Statuses: statuses}
		}

		statuses[r.Status]++

		time.Sleep(callPause)
	}
}
