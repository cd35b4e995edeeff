package trial

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/serving/request"
	"github.com/fulmarcross/fulmarcross/internal/standin/engine"
	"github.com/fulmarcross/fulmarcross/internal/wire/caller"
)

// The load.
const (
	requestsPerSecond = 60
	maxTokens         = 24
	timeout           = 8 * time.Second
	// lateBy is how much later than its deadline an answer may arrive without counting as
	// late, because of the network and the client's scheduling.
	lateBy = 250 * time.Millisecond
	// giveUp is the time after which a client without an answer counts the request as
	// lost.
	giveUp = 2 * time.Second
	// serviceShare of the requests are calls of a plain service.
	serviceShare = 0.2
	// repeatShare of the service calls are sent twice, to two entries.
	repeatShare = 0.3
)

// ask is one request of the load.
type ask struct {
	number int
	key    string
	model  string
	prompt string
	tokens int
	stream bool
	// service is set for a call of a plain service; its body is the prompt.
	service bool
	repeat  bool
	cold    bool
	started time.Time
}

// load sends requests at a constant mean rate and waits for all of them.
func (t *Trial) load(ctx context.Context) {
	var wg sync.WaitGroup

	stop := make(chan struct{})

	wg.Go(func() { t.books.sample(t.engines, stop) })

	if t.opt.Faults {
		wg.Go(func() { t.inject(ctx) })
	}

	var asks sync.WaitGroup

	end := time.Now().Add(t.opt.For)
	for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
		a := t.draw(n)

		asks.Go(func() { t.send(ctx, a) })
		time.Sleep(time.Duration(t.rng.ExpFloat64() * float64(time.Second) / requestsPerSecond))
		t.progress(n, end)
	}

	asks.Wait()
	close(stop)
	wg.Wait()
}

func (t *Trial) progress(n int, end time.Time) {
	if t.opt.Progress == nil || n%30 != 0 {
		return
	}

	_, _ = fmt.Fprintf(t.opt.Progress, "\r%4d requests sent, %3.0f s to go ", n, time.Until(end).Seconds())
}

// draw returns the n-th request. A few models get most requests.
func (t *Trial) draw(n int) ask {
	a := ask{
		number: n,
		key:    []string{CallerKey, nightKey}[t.rng.IntN(2)],
		model:  modelName(min(int(t.rng.ExpFloat64()*2.5), modelCount-1)),
		prompt: fmt.Sprintf("request %d of seed %d", n, t.opt.Seed),
		tokens: 4 + t.rng.IntN(maxTokens-4),
		stream: t.rng.IntN(2) == 0,
	}

	if t.rng.Float64() < 0.3 { //nolint:mnd // Adapters are part of the load.
		a.model = adapterName(t.rng.IntN(adapters))
	}

	if t.rng.Float64() < serviceShare {
		a.service, a.key = true, CallerKey
		a.repeat = t.rng.Float64() < repeatShare
	}

	return a
}

// reply is the answer that a client received.
type reply struct {
	status  int
	body    string
	text    string
	whole   bool
	refusal *request.Refusal
	first   time.Duration
}

// send sends one request through the balancer, again after a broken connection, until
// it is answered, and records the answer.
func (t *Trial) send(ctx context.Context, a ask) {
	a.cold = !a.service && !t.anyReady(a.model)
	a.started = time.Now()

	ctx, cancel := context.WithTimeout(ctx, timeout+giveUp)
	defer cancel()

	if a.repeat {
		go func() { _, _ = t.try(ctx, a) }()
	}

	for ctx.Err() == nil {
		r, err := t.try(ctx, a)
		if err == nil {
			t.book(a, r)

			return
		}

		time.Sleep(20 * time.Millisecond)
	}

	t.books.lost.Add(1)
}

func (t *Trial) anyReady(model string) bool {
	for _, e := range t.engines {
		if e.Holds(model) {
			return true
		}
	}

	return false
}

// errNoEntry means that the balancer has no entry for the request.
var errNoEntry = errors.New("no ready entry")

func (t *Trial) try(ctx context.Context, a ask) (reply, error) {
	nodes := t.ready()
	if len(nodes) == 0 {
		return reply{}, errNoEntry
	}

	n := nodes[rand.IntN(len(nodes))] //nolint:gosec // No secret.

	return t.tryAt(ctx, a, n.Callers())
}

// tryAt sends the request to one entry.
func (t *Trial) tryAt(ctx context.Context, a ask, addr netip.AddrPort) (reply, error) {
	base := "http://" + addr.String()

	var (
		path = "/v1/completions"
		body []byte
		err  error
	)

	if a.service {
		path, body = "/services/"+serviceName+"/book", []byte(a.prompt)
	} else {
		body, err = json.Marshal(map[string]any{
			"model": a.model, "prompt": a.prompt, "max_tokens": a.tokens, "stream": a.stream,
		})
	}

	if err != nil {
		return reply{}, err
	}

	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+path, bytes.NewReader(body))
	if err != nil {
		return reply{}, err
	}

	req.Header.Set("Authorization", "Bearer "+a.key)
	req.Header.Set("Request-Timeout-Ms", strconv.FormatInt(max(1, (timeout-time.Since(a.started)).Milliseconds()), 10))
	req.Header.Set("X-Request-Id", requestID(a.number))

	if a.service {
		req.Header.Set("Idempotency-Key", a.prompt)
	}

	resp, err := client.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer resp.Body.Close()

	if a.stream && resp.Header.Get("Content-Type") == "text/event-stream" {
		return readStream(resp, a.started)
	}

	return readWhole(resp, a.started)
}

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}

func readWhole(resp *http.Response, started time.Time) (reply, error) {
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{}, err
	}

	r := reply{status: resp.StatusCode, body: string(body), first: time.Since(started)}

	if refusal, ok := caller.DecodeRefusal(body); ok {
		r.refusal = &refusal

		return r, nil
	}

	var answer struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if json.Unmarshal(body, &answer) == nil && len(answer.Choices) == 1 {
		r.text, r.whole = answer.Choices[0].Text, true
	}

	return r, nil
}

func readStream(resp *http.Response, started time.Time) (reply, error) {
	r := reply{status: resp.StatusCode}

	var text strings.Builder

	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}

		if r.first == 0 {
			r.first = time.Since(started)
		}

		if data == "[DONE]" {
			r.text, r.whole = text.String(), true

			return r, nil
		}

		if refusal, ok := caller.DecodeRefusal([]byte(data)); ok {
			r.refusal = &refusal

			return r, nil
		}

		var chunk struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return reply{}, err
		}

		text.WriteString(chunk.Choices[0].Text)
	}

	// The connection broke before an end mark or a refusal.
	return reply{}, io.ErrUnexpectedEOF
}

// book compares an answer with the expected one and counts it.
func (t *Trial) book(a ask, r reply) {
	b := &t.books
	b.requests.Add(1)

	if time.Since(a.started) > timeout+lateBy {
		b.late.Add(1)
	}

	if r.refusal != nil {
		b.refused.Add(1)
		b.refuse(r.refusal.Code)

		if r.refusal.Run == request.NotRun && t.ran(a) {
			b.untrue.Add(1)
		}

		return
	}

	b.answered.Add(1)

	switch {
	case a.service:
		if want := "done POST /book " + a.prompt; r.body != want {
			b.crossed.Add(1)
		}
	case !r.whole:
		b.truncated.Add(1)
	default:
		t.compare(a, r)
	}
}

func (t *Trial) compare(a ask, r reply) {
	b := &t.books
	want := engine.Answer(a.model, a.prompt, a.tokens)

	switch {
	case r.text == want:
		b.first(a.number, r.first, a.cold)
	case strings.HasPrefix(want, r.text):
		b.truncated.Add(1)
	default:
		b.crossed.Add(1)
	}
}

// ran reports whether a target recorded that the request ran. The retry of a service
// call is the same request.
func (t *Trial) ran(a ask) bool {
	if a.service {
		// Another attempt with the same key may have run. The refusal of this one is
		// false only if it was the only one.
		return !a.repeat && t.serviceRuns(a.prompt) > 0
	}

	for _, e := range t.engines {
		if e.Ran(a.prompt) {
			return true
		}
	}

	return false
}

func (t *Trial) serviceRuns(key string) int {
	n := 0
	for _, s := range t.services {
		n += s.Runs()[key]
	}

	return n
}
