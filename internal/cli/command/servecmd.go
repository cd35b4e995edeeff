package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"github.com/fulmarcross/fulmarcross/internal/cli/settings"
	"github.com/fulmarcross/fulmarcross/internal/fleet/entry"
)

// serveCmd runs an entry instance.
type serveCmd struct {
	Settings string `help:"The settings, a JSON file." required:"" type:"existingfile"`
}

// Run runs the command.
func (c *serveCmd) Run(ctx context.Context, logger zerolog.Logger) error {
	cfg, err := readSettings(c.Settings)
	if err != nil {
		return err
	}

	e, err := entry.New(cfg, logger)
	if err != nil {
		return err
	}

	// A log that nobody reads any more does not end an entry.
	signal.Ignore(syscall.SIGPIPE)

	return e.Run(ctx)
}

func readSettings(file string) (*settings.Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}

	return settings.Decode(data)
}
