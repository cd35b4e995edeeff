package soak

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/standin/site"
	"github.com/fulmarcross/fulmarcross/platform"
)

// process is an entry that runs as a process. It is restarted with the same settings
// whenever it ends, until end is called.
type process struct {
	name    string
	command []string
	// env is added to the process's environment.
	env     []string
	callers netip.AddrPort
	metrics netip.AddrPort
	log     *os.File
	// path is the settings file, and settings what it says.
	path     string
	settings map[string]any

	mu  sync.Mutex
	cmd *exec.Cmd
	// ended is closed when cmd has ended.
	ended chan struct{}
	over  bool
	// memoryMB is what the process may take, and mostMemory what it has taken, in bytes.
	memoryMB, mostMemory int64
	// ends are how processes ended that nobody had killed.
	ends []string
}

// entryOptions are what the settings of an entry say besides addresses.
type entryOptions struct {
	number int
	// bounded says that its memory is bounded.
	bounded   bool
	burst     float64
	turnPause time.Duration
}

// newProcess writes the settings of an entry that uses the store at an address.
func newProcess(dir string, opt entryOptions, command, env []string, store netip.AddrPort, seed netip.AddrPort) (*process, netip.AddrPort, error) {
	var at [4]netip.AddrPort

	for j := range at {
		var err error
		if at[j], err = site.Free(); err != nil {
			return nil, at[0], err
		}
	}

	name := fmt.Sprintf("entry-%d", opt.number)
	settings := map[string]any{
		"name": name, "dataCentre": "dc", "callers": at[0].String(), "readiness": at[1].String(), "peers": at[2].String(), "metrics": at[3].String(),
		"store": store.String(), "seeds": []string{seed.String()}, "strength": 1,
		"bounds": map[string]any{
			"graceSeconds": grace.Seconds(), "turnPauseMs": opt.turnPause.Milliseconds(), "repeatRatio": retryRatio, "repeatBurst": opt.burst, "repeatWindowSeconds": retryWindow.Seconds(),
		},
	}

	memoryMB := int64(plainMemoryMB)
	if opt.bounded {
		memoryMB = boundedMemoryMB
		settings["rules"] = []string{platform.RuleBoundedMemory}
	}

	settings["memoryMB"] = memoryMB

	if !seed.IsValid() {
		settings["seeds"] = []string{at[2].String()}
	}

	path := filepath.Join(dir, name+".json")
	if err := writeSettings(path, settings); err != nil {
		return nil, at[0], err
	}

	log, err := os.Create(filepath.Join(dir, name+".log"))

	return &process{name: name, command: command, env: append(env, platform.SettingsVariable+"="+path), callers: at[0], metrics: at[3], log: log, path: path, settings: settings, memoryMB: memoryMB}, at[2], err
}

func writeSettings(path string, settings map[string]any) error {
	text, err := json.Marshal(settings)
	if err != nil {
		return err
	}

	return os.WriteFile(path, text, 0o600) //nolint:mnd // For this user.
}

// start starts the process and restarts it whenever it ends.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.over {
		return nil
	}

	cmd := exec.Command(p.command[0], p.command[1:]...) //nolint:gosec // The program that the operator of the soak names.
	cmd.Env = append(os.Environ(), p.env...)
	cmd.Stdout, cmd.Stderr = p.log, p.log

	if err := cmd.Start(); err != nil {
		return err
	}

	began, ended := time.Now(), make(chan struct{})
	p.cmd, p.ended = cmd, ended

	go func() {
		_ = cmd.Wait()

		if time.Since(began) > startUp {
			p.noteEnd(cmd.ProcessState)
		}

		close(ended)
		time.Sleep(restartAfter)

		_ = p.start() // A program that cannot start is seen as never back.
	}()

	return nil
}

// startUp is the time in which a process that starts may not handle signals yet. It does not listen
// before that.
const startUp = 100 * time.Millisecond

// panicked is the exit code of a process that ended by a panic.
const panicked = 2

// noteEnd notes a process that ended by a signal or a panic, unless it was killed or is to end.
func (p *process) noteEnd(state *os.ProcessState) {
	status, ok := state.Sys().(syscall.WaitStatus)
	if !ok {
		return
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	signalled := status.Signaled() && status.Signal() != syscall.SIGKILL
	if !p.over && (signalled || status.ExitStatus() == panicked) {
		p.ends = append(p.ends, fmt.Sprintf("%s ended by itself: %s", p.name, state))
	}
}

// started reports whether the process has ever been started.
func (p *process) started() bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.cmd != nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()

	_ = p.cmd.Process.Signal(s) // One that has just ended needs none.
}

// stacksTime is how long a process may take to write its stacks and to end.
const stacksTime = 2 * time.Second

// stacks makes the process write the stacks of all its goroutines to its log and end,
// and returns them. A process that hangs shows there where.
func (p *process) stacks() string {
	p.stop(syscall.SIGQUIT, stacksTime)

	text, err := os.ReadFile(p.log.Name())
	if err != nil {
		return err.Error()
	}

	if _, after, found := strings.Cut(string(text), "SIGQUIT"); found {
		return after
	}

	return string(text[max(0, len(text)-logTail):])
}

// lines returns the last lines of the process's log that contain the text.
func (p *process) lines(text string) string {
	const most = 60

	all, err := os.ReadFile(p.log.Name())
	if err != nil {
		return err.Error()
	}

	var out []string

	for line := range strings.Lines(string(all)) {
		if strings.Contains(line, text) {
			out = append(out, line)
		}
	}

	return strings.Join(out[max(0, len(out)-most):], "")
}

// logTail is the number of bytes of a process's log that are shown if the process wrote
// no stacks, for example because it cannot start.
const logTail = 2000

// stop sends the process, which is not restarted any more, a signal to end. It returns a
// channel that is closed when the process has ended, and whether that was in time.
func (p *process) stop(s syscall.Signal, within time.Duration) (ended <-chan struct{}, inTime bool) {
	p.mu.Lock()
	p.over = true
	ended = p.ended
	p.mu.Unlock()

	p.signal(syscall.SIGCONT)
	p.signal(s)

	select {
	case <-ended:
		return ended, true
	case <-time.After(within):
		return ended, false
	}
}

// end ends the process for good.
func (p *process) end() {
	if !p.started() {
		_ = p.log.Close()

		return
	}

	if ended, inTime := p.stop(syscall.SIGTERM, grace+time.Second); !inTime {
		p.signal(syscall.SIGKILL)
		<-ended
	}

	_ = p.log.Close()
}
