// Package member is the command line of the entry that runs on the users'
// platform.
package member

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"github.com/fulmarcross/fulmarcross/internal/fleet/node"
	"github.com/fulmarcross/fulmarcross/internal/room/logbook"
	"github.com/fulmarcross/fulmarcross/internal/serving/relay"
	"github.com/fulmarcross/fulmarcross/internal/wire/message"
	"github.com/fulmarcross/fulmarcross/platform"
)

// commands are the commands of the program.
type commands struct {
	Serve serveCommand `cmd:"" help:"Serve as an entry until stopped."`
	Check checkCommand `cmd:"" help:"Check the settings and name every fault."`
}

type serveCommand struct{}

type checkCommand struct{}

// Main runs the program and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var c commands

	parser, err := kong.New(&c, kong.Name("fulmarcross-entry"), kong.Writers(stdout, stderr),
		kong.Description("One entry of fulmarcross on the users' platform. The settings file's path stands in "+platform.SettingsVariable+"."))
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)

		return 1
	}

	ctx, err := parser.Parse(args)
	if err == nil {
		ctx.BindTo(stdout, (*io.Writer)(nil))

		err = ctx.Run()
	}

	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)

		return 1
	}

	return 0
}

// Run checks the settings.
func (checkCommand) Run(stdout io.Writer) error {
	if _, err := Load(os.Getenv(platform.SettingsVariable)); err != nil {
		return err
	}

	_, err := fmt.Fprintln(stdout, "settings: ok")

	return err
}

const (
	// heapGrowth is the garbage collector's target in per cent. The live heap
	// is a few megabytes, and memory is priced more than processor time.
	heapGrowth = 60
	// memoryLimit is the heap above which the collector works harder, at least, unless clients
	// may read slowly.
	memoryLimit = 64 << 20
	// boundedShare is the part of the process's memory that takes its place otherwise. It
	// exceeds the half that may be held for clients; the rest is for the program's code and
	// for buffers of the kernel.
	boundedShare = 0.55
	// unknownEntries is how many entries share the budgets until they are
	// known: today's sites have seven or eight machines and three spare ones.
	unknownEntries = 8
)

// Run serves until a signal stops it.
func (serveCommand) Run(stdout io.Writer) error {
	signals := handleSignals()

	debug.SetGCPercent(heapGrowth)
	debug.SetMemoryLimit(memoryLimit)

	path := os.Getenv(platform.SettingsVariable)

	s, err := Load(path)
	if err != nil {
		return err
	}

	debug.SetMemoryLimit(heapLimit(s))

	book := logbook.New(stdout)
	defer book.Close()

	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	log := zerolog.New(book).Hook(uptime{started: time.Now()}).With().Timestamp().Str("node", string(s.Name)).Logger()

	store := &platform.Store{Address: s.Store, HTTP: client()}
	engines := &platform.Engines{HTTP: client()}
	n := node.New(node.Config{
		Self: s.Name, DataCentre: s.DataCentre, Callers: s.Callers, Readiness: s.Readiness, Peers: s.Peers, Metrics: s.Metrics, Seeds: s.Seeds, Strength: s.Strength,
		MemoryMB: s.MemoryMB, BoundedMemory: s.BoundedMemory,
		ReadyPath: platform.ReadyPath, Source: store, Table: store, Engines: engines, Health: engines.Health,
		Protocol: platform.Headers{}, AssumedEntries: unknownEntries, RetryLimit: s.Allowance, Slack: s.Slack, GracePeriod: s.Grace, TurnPause: s.TurnPause,
		Log: log, Dropped: book.Dropped,
	})

	engines.OnStatement = n.HearEngine
	store.OnEra, store.OnEraError = n.HearEra, n.HearEraError

	r := reloader{path: path, last: *s, log: log, apply: func(s *Settings) { n.SetRetryLimit(s.Allowance) }}
	go r.run(signals.reload)

	return n.Run(signals.stop)
}

// heapLimit returns the heap above which the collector works harder.
func heapLimit(s *Settings) int64 {
	share := int64(boundedShare * s.MemoryMB * (1 << 20))
	if !s.BoundedMemory {
		return max(memoryLimit, share)
	}

	return share
}

// uptime stamps each line with the milliseconds since the process started, by
// the steady clock.
//
// It guards against a time of day that is set while a process runs: without it
// the process's lines stand seconds away from what they caused elsewhere.
type uptime struct{ started time.Time }

// Run implements zerolog.Hook.
func (u uptime) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	e.Int64("up", time.Since(u.started).Milliseconds())
}

const (
	// idleConns and idleTime bound the connections that are kept to the store
	// and to each engine. Engines close theirs after a few seconds.
	idleConns = 2
	idleTime  = 2 * time.Second
	// connectTimeout bounds the opening of a connection.
	connectTimeout = 1100 * time.Millisecond
	// maxAnswerHead bounds the bytes of the head of an answer of the store or an engine.
	maxAnswerHead = 64 << 10
)

// client returns a client whose connections find out when their other end is
// silent.
func client() *http.Client {
	return &http.Client{Transport: &message.Transport{Base: &http.Transport{
		DialContext: relay.Dialer(connectTimeout).DialContext, MaxIdleConnsPerHost: idleConns, IdleConnTimeout: idleTime, DisableCompression: true,
		MaxResponseHeaderBytes: maxAnswerHead,
	}}}
}
