package site

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/node"
	"github.com/fulmarcross/fulmarcross/internal/serving/relay"
	"github.com/fulmarcross/fulmarcross/internal/standin/rows"
	"github.com/fulmarcross/fulmarcross/platform"
)

// Entry is one entry of a site.
type Entry struct {
	Name    instance.ID
	Callers netip.AddrPort
	Ready   netip.AddrPort
	Metrics netip.AddrPort
	// Peers is the address for other entries.
	Peers netip.AddrPort
	// Door is the entry's access to the store.
	Door   *rows.Door
	client *http.Client
	stop   context.CancelFunc
	// done is closed when the entry has ended. err is then its error.
	done chan struct{}
	err  error
}

// Add starts one more entry.
func (s *Site) Add(ctx context.Context) (*Entry, error) {
	if err := s.entry(ctx, len(s.Entries), io.Discard); err != nil {
		return nil, err
	}

	return s.Entries[len(s.Entries)-1], nil
}

// client returns an HTTP client for a caller.
func (s *Site) client() *http.Client { return s.clientFrom(netip.AddrPort{}) }

// clientFrom returns an HTTP client for the entry with this address for other entries.
func (s *Site) clientFrom(entry netip.AddrPort) *http.Client {
	if s.network != nil {
		return s.network.ClientFrom(entry)
	}

	return &http.Client{}
}

// Door returns an access to the store for one entry, with its address.
func (s *Site) Door() (*rows.Door, netip.AddrPort, error) {
	l, at, err := s.listen()
	if err != nil {
		return nil, at, err
	}

	door := &rows.Door{Store: s.Store}
	srv := &http.Server{Handler: platform.StoreHandler(door), ReadHeaderTimeout: time.Second}
	s.closers = append(s.closers, srv)

	go func() { _ = srv.Serve(l) }() // It ends with the site.

	return door, at, nil
}

func (s *Site) entry(ctx context.Context, i int, log io.Writer) error {
	door, storeAt, err := s.Door()
	if err != nil {
		return err
	}

	e := &Entry{Name: instance.ID(fmt.Sprintf("entry-%d", i)), Door: door, client: s.client(), done: make(chan struct{})}

	var at [4]netip.AddrPort

	for j := range at {
		if at[j], err = s.free(); err != nil {
			return err
		}
	}

	e.Callers, e.Ready, e.Metrics = at[0], at[1], at[3]
	e.Peers = at[2]
	store := &platform.Store{Address: storeAt, HTTP: s.clientFrom(e.Peers)}
	engines := &platform.Engines{HTTP: s.clientFrom(e.Peers)}

	cfg := node.Config{
		Self: e.Name, DataCentre: "dc", Callers: at[0], Readiness: at[1], Peers: at[2], Metrics: at[3], Seeds: s.seeds(), ReadyPath: platform.ReadyPath,
		Source: store, Table: store, Engines: engines, Health: engines.Health, Protocol: platform.Headers{}, AssumedEntries: 2,
		RetryLimit: relay.RetryLimit{Ratio: 0.2, Burst: 54, Window: 10 * time.Second}, GracePeriod: grace, TurnPause: turnPause, //nolint:mnd // As on the users' sites.
		Log:      zerolog.New(log).With().Timestamp().Str("node", string(e.Name)).Logger(),
		MemoryMB: s.memoryMB, BoundedMemory: s.memoryMB > 0,
	}
	if s.network != nil {
		cfg.Listen = s.network.Listen
		cfg.Dial = func(ctx context.Context, at netip.AddrPort) (net.Conn, error) {
			return s.network.DialFrom(ctx, e.Peers, at)
		}
	}

	n := node.New(cfg)
	store.OnEra, store.OnEraError = n.HearEra, n.HearEraError

	engines.OnStatement = n.HearEngine

	ctx, e.stop = context.WithCancel(ctx)

	go func() {
		defer close(e.done)

		e.err = n.Run(ctx)
	}()

	s.Entries = append(s.Entries, e)

	return nil
}

// maxSeeds is the number of entries whose addresses a new one is given, as on the users'
// platform.
const maxSeeds = 3

func (s *Site) seeds() []netip.AddrPort {
	var out []netip.AddrPort
	for _, e := range s.Entries[:min(maxSeeds, len(s.Entries))] {
		out = append(out, e.Peers)
	}

	return out
}

// Stop shuts an entry down gracefully and waits for its end.
func (e *Entry) Stop() {
	e.stop()
	<-e.done
}

// WaitReady waits until every entry reports ready.
func (s *Site) WaitReady(ctx context.Context) error {
	for _, e := range s.Entries {
		if err := s.WaitEntryReady(ctx, e); err != nil {
			return err
		}
	}

	return nil
}

// WaitEntryReady waits until an entry reports ready.
func (s *Site) WaitEntryReady(ctx context.Context, e *Entry) error {
	for {
		resp, err := s.client().Get("http://" + e.Ready.String() + platform.ReadyPath)
		if err == nil {
			resp.Body.Close()

			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}

		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-e.done:
			return e.err
		case <-time.After(BeatEvery / 5): //nolint:mnd // Often enough.
		}
	}
}
