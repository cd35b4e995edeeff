package entry_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	openai "github.com/sashabaranov/go-openai"
	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/fleet/entry"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
	"github.com/fulmarcross/fulmarcross/internal/standin/engine"
	"github.com/fulmarcross/fulmarcross/internal/standin/platform"
	"github.com/fulmarcross/fulmarcross/internal/standin/trial"
	"github.com/fulmarcross/fulmarcross/internal/wire/caller"
)

// start runs three entries before stand-ins, over TCP.
func start(t *testing.T) *trial.Trial {
	t.Helper()

	site, err := trial.Start(t.Context(), trial.Options{Logger: zerolog.Nop()})
	assert.NilError(t, err)
	t.Cleanup(site.Stop)

	return site
}

// call sends a request with the demo's key and returns the status and the
// body.
func call(t *testing.T, method string, addr netip.AddrPort, path, body string, headers ...string) (int, string) {
	t.Helper()

	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+addr.String()+path, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+trial.CallerKey)

	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}

	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)

	defer resp.Body.Close()

	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)

	return resp.StatusCode, string(data)
}

// TestStockClient holds the callers' interface against a client library that
// knows nothing of this program.
func TestStockClient(t *testing.T) {
	site := start(t)
	cfg := openai.DefaultConfig(trial.CallerKey)
	cfg.BaseURL = "http://" + site.Entries()[1].Callers().String() + "/v1"
	client := openai.NewClientWithConfig(cfg)

	models, err := client.ListModels(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(models.Models), 20)

	req := openai.ChatCompletionRequest{
		Model: trial.Model, MaxCompletionTokens: 7,
		Messages: []openai.ChatCompletionMessage{{Role: openai.ChatMessageRoleUser, Content: "which mark is this?"}},
	}
	want := engine.Answer(trial.Model, "user: which mark is this?\n", 7)

	whole, err := client.CreateChatCompletion(t.Context(), req)
	assert.NilError(t, err)
	assert.Equal(t, whole.Choices[0].Message.Content, want)
	assert.Equal(t, whole.Choices[0].FinishReason, openai.FinishReasonStop)
	assert.Equal(t, whole.Usage.CompletionTokens, 7)

	stream, err := client.CreateChatCompletionStream(t.Context(), req)
	assert.NilError(t, err)

	t.Cleanup(func() { _ = stream.Close() })

	var text string

	for {
		part, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			break
		}

		assert.NilError(t, err)

		text += part.Choices[0].Delta.Content
	}

	assert.Equal(t, text, want)

	_, err = client.CreateCompletion(t.Context(), openai.CompletionRequest{Model: "nope", Prompt: "x"})

	var refused *openai.APIError

	assert.Assert(t, errors.As(err, &refused))
	assert.Equal(t, refused.HTTPStatusCode, http.StatusNotFound)
}

// TestBadInput lists what callers send wrongly. Each gets a clear refusal that
// says truthfully that nothing ran, and the entry goes on.
func TestBadInput(t *testing.T) {
	site := start(t)
	addr := site.Entries()[0].Callers()
	good := `{"model":"draft-00","prompt":"x","max_tokens":2}`

	for name, tc := range map[string]struct {
		path, body string
		headers    []string
		status     int
		code       request.Code
	}{
		"not JSON":           {"/v1/completions", "{", nil, 400, request.BadRequest},
		"wrong type":         {"/v1/completions", `{"model":7}`, nil, 400, request.BadRequest},
		"no model":           {"/v1/completions", `{}`, nil, 400, request.BadRequest},
		"no messages":        {"/v1/chat/completions", `{"model":"draft-00"}`, nil, 400, request.BadRequest},
		"two answers":        {"/v1/completions", `{"model":"draft-00","n":2}`, nil, 400, request.BadRequest},
		"too many tokens":    {"/v1/completions", `{"model":"draft-00","max_tokens":99999999}`, nil, 400, request.BadRequest},
		"too large":          {"/v1/completions", strings.Repeat("x", 1<<20+1), nil, 413, request.TooLarge},
		"unknown model":      {"/v1/completions", `{"model":"nope"}`, nil, 404, request.UnknownModel},
		"wrong key":          {"/v1/completions", good, []string{"Authorization", "Bearer nope"}, 401, request.Unauthorized},
		"no key":             {"/v1/completions", good, []string{"Authorization", ""}, 401, request.Unauthorized},
		"bad timeout":        {"/v1/completions", good, []string{"Request-Timeout-Ms", "soon"}, 400, request.BadRequest},
		"unknown service":    {"/services/nope/x", "", nil, 404, request.UnknownModel},
		"no idempotency key": {"/services/stamps/x", "", nil, 400, request.KeyMissing},
	} {
		t.Run(name, func(t *testing.T) {
			status, body := call(t, http.MethodPost, addr, tc.path, tc.body, tc.headers...)
			assert.Equal(t, status, tc.status, body)

			refusal, ok := caller.DecodeRefusal([]byte(body))
			assert.Assert(t, ok, body)
			assert.Equal(t, refusal.Code, tc.code)
			assert.Equal(t, refusal.Run, request.NotRun)
		})
	}

	t.Run("half sent", func(t *testing.T) {
		conn, err := net.Dial("tcp", addr.String())
		assert.NilError(t, err)

		_, _ = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\n{", trial.CallerKey)
		assert.NilError(t, conn.(*net.TCPConn).CloseWrite())

		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)

		defer resp.Body.Close()

		assert.Equal(t, resp.StatusCode, http.StatusBadRequest)
	})

	status, body := call(t, http.MethodPost, addr, "/v1/completions", good, "X-Request-Id", "mine")
	assert.Equal(t, status, http.StatusOK, body)
}

// TestAtMostOnce is the story of a stamp booking whose answer is lost on the
// way back, and which the courier's app sends again to each entry: it must run
// once, and every caller must learn the truth.
func TestAtMostOnce(t *testing.T) {
	site := start(t)

	for _, s := range site.Services() {
		s.LoseAnswers(1)
	}

	status, body := call(t, http.MethodPost, site.Entries()[0].Callers(), "/services/stamps/book", "lot 1", "Idempotency-Key", "k1")
	assert.Equal(t, status, http.StatusServiceUnavailable, body)

	refusal, _ := caller.DecodeRefusal([]byte(body))
	assert.Equal(t, refusal.Run, request.MayHaveRun)

	for _, e := range site.Entries() {
		status, body = call(t, http.MethodPost, e.Callers(), "/services/stamps/book", "lot 1",
			"Idempotency-Key", "k1", "Request-Timeout-Ms", "2000")
		assert.Equal(t, status, http.StatusConflict, body)

		refusal, _ = caller.DecodeRefusal([]byte(body))
		assert.Equal(t, refusal.Run, request.MayHaveRun)
	}

	for _, s := range site.Services() {
		s.LoseAnswers(0)
	}

	// Eight at once, over all entries: one runs, all get its answer.
	var wg sync.WaitGroup

	for i := range 8 {
		wg.Go(func() {
			status, body := call(t, http.MethodPost, site.Entries()[i%3].Callers(), "/services/stamps/book", "lot 2", "Idempotency-Key", "k2")
			assert.Check(t, status == http.StatusOK && body == "done POST /book lot 2", "%d %s", status, body)
		})
	}

	wg.Wait()

	status, _ = call(t, http.MethodPost, site.Entries()[0].Callers(), "/services/stamps/book", "lot 3", "Idempotency-Key", "k2")
	assert.Equal(t, status, http.StatusConflict, "another request under the same key")

	runs := make(map[string]int)

	for _, s := range site.Services() {
		for key, n := range s.Runs() {
			runs[key] += n
		}
	}

	assert.DeepEqual(t, runs, map[string]int{"k1": 1, "k2": 1})

	// The table is down: nothing may be sent, and the refusal may say so.
	site.Platform().SetFaults(platform.Faults{TableDown: true})

	status, body = call(t, http.MethodPost, site.Entries()[0].Callers(), "/services/stamps/book", "lot 4", "Idempotency-Key", "k4")
	assert.Equal(t, status, http.StatusServiceUnavailable, body)

	refusal, _ = caller.DecodeRefusal([]byte(body))
	assert.Equal(t, refusal.Code, request.StoreDown)
	assert.Equal(t, refusal.Run, request.NotRun)
	site.Platform().SetFaults(platform.Faults{})

	for _, s := range site.Services() {
		assert.Equal(t, s.Runs()["k4"], 0)
	}
}

// TestClosedUnderTheCall is the story of a service that closes each connection
// as a call arrives on it, as one does that drops kept-alive connections. The
// HTTP library would send a call with an idempotency key again on its own; the
// service must see it once.
func TestClosedUnderTheCall(t *testing.T) {
	site := start(t)

	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)

	t.Cleanup(func() { _ = l.Close() })

	var (
		mu    sync.Mutex
		calls int
	)

	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}

			go func() {
				defer conn.Close()

				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					mu.Lock()
					defer mu.Unlock()

					calls++
				}
			}()
		}
	}()

	for i := range site.Services() {
		site.Platform().Announce(instance.Instance{
			ID: instance.ID(fmt.Sprint("stamps-", i)), Role: instance.Service, Service: trial.Service,
			Address: netip.MustParseAddrPort(l.Addr().String()), State: instance.Live,
		})
	}

	time.Sleep(2 * time.Second) // The entries read the list.

	status, body := call(t, http.MethodPost, site.Entries()[0].Callers(), "/services/stamps/book", "x", "Idempotency-Key", "once")
	assert.Equal(t, status, http.StatusServiceUnavailable)

	refusal, _ := caller.DecodeRefusal([]byte(body))
	assert.Equal(t, refusal.Run, request.MayHaveRun)
	mu.Lock()
	defer mu.Unlock()

	assert.Equal(t, calls, 1)
}

// TestGracefulShutdown is the story of an upgrade: an entry that is told to
// stop finishes the answer that it is streaming, gives its lease to another at
// once, and takes no more requests.
func TestGracefulShutdown(t *testing.T) {
	site := start(t)

	var holder *entry.Entry

	for _, e := range site.Entries() {
		if e.Holds(0) {
			holder = e
		}
	}

	body := `{"model":"draft-00","prompt":"long","max_tokens":200,"stream":true}`
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+holder.Callers().String()+"/v1/completions", strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+trial.CallerKey)

	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)

	defer resp.Body.Close()

	site.Shutdown(holder)
	eventually(t, "another holds the cell", func() bool {
		for _, e := range site.Entries() {
			if e != holder && e.Holds(0) {
				return true
			}
		}

		return false
	})
	assert.Assert(t, !holder.Ready())

	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasSuffix(string(data), "data: [DONE]\n\n"), "the answer was cut")
}

// TestStartWithoutTable is the story of an instance that is replaced during an
// outage of the table: it must take the lists from its peers and become ready
// with them, and not before.
func TestStartWithoutTable(t *testing.T) {
	site := start(t)
	site.Platform().SetFaults(platform.Faults{TableDown: true})

	late, err := site.StartEntry(t.Context(), 7)
	assert.NilError(t, err)
	eventually(t, "ready", late.Ready)

	status, body := call(t, http.MethodGet, late.Callers(), "/v1/models", "")
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, strings.Contains(body, trial.Model))
}
