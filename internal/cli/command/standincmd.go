package command

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/rs/zerolog"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/platform/weight"
	"github.com/fulmarcross/fulmarcross/internal/standin/engine"
	"github.com/fulmarcross/fulmarcross/internal/standin/platform"
	"github.com/fulmarcross/fulmarcross/internal/standin/service"
	wire "github.com/fulmarcross/fulmarcross/internal/wire/platform"
)

// standinCmd runs a stand-in of what the entries meet.
type standinCmd struct {
	Platform standinPlatformCmd `cmd:"" help:"Table, objects, weights and instance list, in memory."`
	Engine   standinEngineCmd   `cmd:"" help:"A model engine."`
	Service  standinServiceCmd  `cmd:"" help:"A plain service that books its calls."`
}

type standinPlatformCmd struct {
	Listen  netip.AddrPort `default:"127.0.0.1:7000"                                 help:"Where to listen."`
	Content string         `help:"A JSON file of instances and checkpoints to list." type:"existingfile"`
}

// platformContent is what a platform stand-in lists.
type platformContent struct {
	Instances   []wire.Instance   `json:"instances"`
	Checkpoints []wire.Checkpoint `json:"checkpoints"`
}

// Run runs the command.
func (c *standinPlatformCmd) Run(ctx context.Context, logger zerolog.Logger) error {
	p := &platform.Platform{}

	if c.Content != "" {
		if err := fillPlatform(p, c.Content); err != nil {
			return err
		}
	}

	return serveStandin(ctx, logger, c.Listen, platform.Handler(p))
}

func fillPlatform(p *platform.Platform, file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}

	var content platformContent
	if err := json.Unmarshal(data, &content); err != nil {
		return err
	}

	for _, in := range content.Instances {
		addr, err := netip.ParseAddrPort(in.Address)
		if err != nil {
			return err
		}

		p.Announce(instance.Instance{
			ID:         instance.ID(in.ID),
			DataCentre: instance.DataCentre(in.DataCentre),
			Role:       instance.Role(in.Role),
			Address:    addr,
			Service:    in.Service,
			State:      instance.Live,
		})
	}

	for _, cp := range content.Checkpoints {
		p.AddCheckpoints(weight.Checkpoint{Name: cp.Name, Base: cp.Base, Bytes: cp.Bytes})
	}

	return nil
}

type standinEngineCmd struct {
	Listen         netip.AddrPort `default:"127.0.0.1:7200"                              help:"Where to listen."`
	ID             string         `default:"engine-0"                                    help:"The instance's id."`
	Memory         int64          `default:"17179869184"                                 help:"Memory in bytes."`
	Speed          float64        `default:"1"                                           help:"Speed against the slowest kind."`
	Slots          int            `default:"8"                                           help:"Generations that run together."`
	IgnoreTokens   bool           `help:"Carry out orders whatever their fencing token."`
	FirstToken     time.Duration  `default:"60ms"                                        help:"Time to the first token at speed 1."`
	PerToken       time.Duration  `default:"10ms"                                        help:"Time between tokens at speed 1."`
	BytesPerSecond int64          `default:"4294967296"                                  help:"Speed of a load from the weight store."`
}

// Run runs the command.
func (c *standinEngineCmd) Run(ctx context.Context, logger zerolog.Logger) error {
	const concurrentLoads = 4

	e := engine.New(engine.Options{
		ID:          instance.ID(c.ID),
		Memory:      c.Memory,
		Speed:       c.Speed,
		Slots:       c.Slots,
		ChecksToken: !c.IgnoreTokens,
		FirstToken:  c.FirstToken,
		PerToken:    c.PerToken,
		Restart:     time.Second,
		Weights:     &engine.Weights{BytesPerSecond: c.BytesPerSecond, Concurrent: concurrentLoads},
	})

	return serveStandin(ctx, logger, c.Listen, engine.Handler(e))
}

type standinServiceCmd struct {
	Listen netip.AddrPort `default:"127.0.0.1:7300" help:"Where to listen."`
	Delay  time.Duration  `default:"5ms"            help:"How long a call takes."`
}

// Run runs the command.
func (c *standinServiceCmd) Run(ctx context.Context, logger zerolog.Logger) error {
	return serveStandin(ctx, logger, c.Listen, service.Handler(&service.Service{Delay: c.Delay}))
}

// serveStandin serves h until ctx ends.
func serveStandin(ctx context.Context, logger zerolog.Logger, addr netip.AddrPort, h http.Handler) error {
	l, err := net.Listen("tcp", addr.String())
	if err != nil {
		return err
	}

	logger.Info().Str("address", l.Addr().String()).Msg("stand-in started")

	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}

	context.AfterFunc(ctx, func() { _ = server.Close() })

	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}

	return nil
}
