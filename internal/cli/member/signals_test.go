package member

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/serving/relay"
	"github.com/fulmarcross/fulmarcross/internal/standin/site"
	"github.com/fulmarcross/fulmarcross/platform"
)

// asEntry makes this test's program an entry.
const asEntry = "FULMARCROSS_MEMBER_ENTRY"

func TestMain(m *testing.M) {
	if os.Getenv(asEntry) != "" {
		os.Exit(Main([]string{"serve"}, os.Stdout, os.Stderr))
	}

	os.Exit(m.Run())
}

// signalled is an entry as a process that signals are sent to.
type signalled struct {
	t        *testing.T
	cmd      *exec.Cmd
	settings string
	callers  netip.AddrPort
	// log is the process's output, and lines the messages in it.
	log   *os.File
	lines chan string
	ended chan error
}

// startSignalled starts an entry of a site.
func startSignalled(t *testing.T, s *site.Site) *signalled {
	t.Helper()

	_, store, err := s.Door()
	assert.NilError(t, err)

	var at [4]netip.AddrPort
	for i := range at {
		at[i], err = site.Free()
		assert.NilError(t, err)
	}

	p := &signalled{t: t, callers: at[0], settings: filepath.Join(t.TempDir(), "settings.json"), lines: make(chan string, 1000), ended: make(chan error, 1)}
	p.write(fmt.Sprintf(`{"name": "a", "dataCentre": "dc", "callers": %q, "readiness": %q, "peers": %q, "seeds": [%q], "metrics": %q, "store": %q, "strength": 1,
  "bounds": {"graceSeconds": 6, "turnPauseMs": 600, "repeatRatio": 0.2, "repeatBurst": 54, "repeatWindowSeconds": 10}}`, at[0], at[1], at[2], at[2], at[3], store))

	var w *os.File

	p.log, w, err = os.Pipe()
	assert.NilError(t, err)

	self, err := os.Executable()
	assert.NilError(t, err)

	p.cmd = exec.Command(self)
	p.cmd.Env = append(os.Environ(), asEntry+"=1", platform.SettingsVariable+"="+p.settings)
	p.cmd.Stdout, p.cmd.Stderr = w, os.Stderr
	assert.NilError(t, p.cmd.Start())
	assert.NilError(t, w.Close())

	go func() { p.ended <- p.cmd.Wait() }()
	go p.read()

	t.Cleanup(func() { _ = p.cmd.Process.Kill() }) // It has mostly ended.

	return p
}

func (p *signalled) write(text string) {
	p.t.Helper()
	assert.NilError(p.t, os.WriteFile(p.settings, []byte(text), 0o600))
}

// read reads the process's log until the process or the test closes it.
func (p *signalled) read() {
	defer close(p.lines)

	for s := bufio.NewScanner(p.log); s.Scan(); {
		var line struct {
			Message string `json:"message"`
		}
		if json.Unmarshal(s.Bytes(), &line) == nil {
			p.lines <- line.Message
		}
	}
}

// await waits for a line of the log.
func (p *signalled) await(message string) {
	p.t.Helper()

	for after := time.After(10 * time.Second); ; {
		select {
		case line, ok := <-p.lines:
			assert.Assert(p.t, ok, "the log ended before %q", message)

			if line == message {
				return
			}
		case <-after:
			assert.Assert(p.t, false, "no line %q", message)
		}
	}
}

// signal sends signals, with pauses that let the process take each in.
func (p *signalled) signal(all ...syscall.Signal) {
	for _, s := range all {
		_ = p.cmd.Process.Signal(s) // The process may have ended.

		time.Sleep(10 * time.Millisecond)
	}
}

// ask sends a stream that takes two seconds, and returns what was wrong with the answer.
func (p *signalled) ask() <-chan string {
	const events = 200

	out := make(chan string, 1)

	go func() {
		c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		r, err := site.AskOn(p.t.Context(), c, p.callers, "/note/x", "text", relay.RequestInfo{ID: "long", Timeout: 6 * time.Second, Model: site.Model(0), TokensIn: 10, TokensOut: events})

		if n := strings.Count(r.Body, "data:"); err != nil || n != events {
			out <- fmt.Sprintf("status %d, %d of %d events, %v", r.Status, n, events, err)
		}

		close(out)
	}()

	return out
}

// TestSignalsLoseNoAnswer guards against a signal whose default action ends a process that still answers requests.
func TestSignalsLoseNoAnswer(t *testing.T) {
	const hup, term = syscall.SIGHUP, syscall.SIGTERM

	for name, tc := range map[string]struct {
		// ready and draining are sent while the answer is on its way, before and after SIGTERM.
		ready, draining []syscall.Signal
		// last are sent when the process says that it has stopped.
		last []syscall.Signal
		// broken says that the settings file is broken meanwhile, and deaf that nobody reads the log.
		broken, deaf bool
	}{
		"sigterm alone":                {},
		"sighup while ready":           {ready: []syscall.Signal{hup, hup, hup}},
		"sighup while draining":        {draining: []syscall.Signal{hup}},
		"sighup again and again":       {ready: []syscall.Signal{hup}, draining: []syscall.Signal{hup, hup, hup, hup}},
		"broken settings while ready":  {ready: []syscall.Signal{hup}, broken: true},
		"broken settings in the drain": {draining: []syscall.Signal{hup}, broken: true},
		"second sigterm":               {draining: []syscall.Signal{term, term, syscall.SIGINT}},
		"sigterm and sighup by turns":  {draining: []syscall.Signal{hup, term, hup, term}},
		"sigpipe":                      {ready: []syscall.Signal{syscall.SIGPIPE}, draining: []syscall.Signal{syscall.SIGPIPE}},
		"nobody reads the log":         {ready: []syscall.Signal{hup}, draining: []syscall.Signal{hup}, deaf: true},
		"sighup in the last moment":    {last: []syscall.Signal{hup, hup}},
		"sigterm in the last moment":   {last: []syscall.Signal{term, term}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			s, err := site.Start(t.Context(), site.Options{Log: io.Discard})
			assert.NilError(t, err)

			defer s.Close()

			p := startSignalled(t, s)
			p.await("started")
			p.signal(hup) // It must not end one that has just started either.
			p.awaitServing()

			if tc.deaf {
				assert.NilError(t, p.log.Close())
			}

			wrong := p.ask()

			time.Sleep(500 * time.Millisecond)

			if tc.broken {
				p.write("{")
			}

			p.signal(tc.ready...)
			p.signal(term)
			time.Sleep(300 * time.Millisecond)
			p.signal(tc.draining...)
			assert.Equal(t, <-wrong, "")

			if tc.last != nil {
				p.await("stopped")
				p.signal(tc.last...)
			}

			assert.NilError(t, <-p.ended)
		})
	}
}

// awaitServing waits until the process answers a stream.
func (p *signalled) awaitServing() {
	p.t.Helper()

	for end := time.Now().Add(10 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		r, err := site.AskOn(p.t.Context(), c, p.callers, "/note/x", "text", relay.RequestInfo{ID: fmt.Sprint("first-", end), Timeout: time.Second, Model: site.Model(0), TokensIn: 10, TokensOut: 1})

		if err == nil && r.Status == http.StatusOK {
			return
		}

		assert.Assert(p.t, time.Now().Before(end), "status %d, %v", r.Status, err)
	}
}
