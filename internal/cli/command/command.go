// Package command is the command line: one file for each command.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"
)

// The exit codes.
const (
	exitOK = 0
	// exitFailed means that the command ran and its result is bad: faults in
	// a file, a refused edit, a broken promise.
	exitFailed = 1
	// exitUsage means that the command line is wrong.
	exitUsage = 2
)

// streams are where a command reads and writes.
type streams struct {
	in       io.Reader
	out, err io.Writer
}

// commands are all commands, as kong reads them.
type commands struct {
	Serve    serveCmd    `cmd:""         help:"Run an entry instance until SIGTERM, then shut down gracefully."`
	Check    checkCmd    `cmd:""         help:"Report every fault in settings and lists, with its JSON path."`
	List     listCmd     `cmd:""         help:"Read and edit the two lists: plans and allowances."`
	Status   statusCmd   `cmd:""         help:"Show the room's board in the terminal."`
	Timeline timelineCmd `cmd:""         help:"Tell what happened, over all processes."`
	Explain  explainCmd  `cmd:""         help:"Tell from logs what became of one request, and why."`
	Soak     soakCmd     `cmd:""         help:"Play seeded troubles on real entries as processes, and check what was promised."`
	Copies   copiesCmd   `cmd:""         help:"Play copies of a request that crashes targets on real entries as processes, and judge what reached the targets."`
	Standin  standinCmd  `cmd:""         help:"Run a small stand-in of the platform, an engine or a service."`
	Measure  measureCmd  `cmd:""         help:"Reproduce the figures of the documents."`
	Try      tryCmd      `cmd:""         help:"Run the whole path in one process on loopback, under load, and report."`
	LogLevel string      `default:"info" enum:"debug,info,warn,error,disabled"                                                                                  help:"Least level of log lines."`
}

const description = `fulmarcross serves models that see rare use.

Start with 'fulmarcross try': it needs no set-up. Operators drive the system by
editing two lists ('list') and watching screens ('status', or the page that
every entry serves to operators).`

// quietError ends a command with exitFailed. Its text was already shown.
type quietError struct{ err error }

func (e *quietError) Error() string { return e.err.Error() }

func (e *quietError) Unwrap() error { return e.err }

// exited carries an exit code out of the parser.
type exited struct{ code int }

// Main runs the command line and returns the exit code.
func Main(args []string, in io.Reader, out, errOut io.Writer) (code int) {
	defer func() {
		// The parser leaves by its exit function after --help.
		if e, ok := recover().(exited); ok {
			code = e.code
		}
	}()

	var all commands

	parser, err := kong.New(&all,
		kong.Name("fulmarcross"),
		kong.Description(description),
		kong.Writers(out, errOut),
		kong.Exit(func(code int) { panic(exited{code}) }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	)
	if err != nil {
		panic(err)
	}

	parsed, err := parser.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "fulmarcross: %v\nRun 'fulmarcross --help' to see the commands.\n", err)

		return exitUsage
	}

	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	defer stop()

	level, _ := zerolog.ParseLevel(all.LogLevel)
	logger := zerolog.New(errOut).Level(level).With().Timestamp().Logger()

	parsed.BindTo(ctx, (*context.Context)(nil))

	return exitCode(errOut, parsed.Run(&streams{in: in, out: out, err: errOut}, logger))
}

func exitCode(errOut io.Writer, err error) int {
	var quiet *quietError

	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &quiet):
	default:
		_, _ = fmt.Fprintf(errOut, "fulmarcross: %v\n", err)
	}

	return exitFailed
}
