// Package settings reads and checks the settings of an entry instance.
package settings

import (
	_ "embed"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/customer/key"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/placement/lease"
	"github.com/fulmarcross/fulmarcross/internal/wire/credential"
	"github.com/fulmarcross/fulmarcross/internal/wire/schema"
)

//go:embed settings.schema.json
var source []byte

var compiled = schema.MustCompile("settings.schema.json", source)

// Settings are the settings of one entry instance.
type Settings struct {
	ID         instance.ID
	DataCentre instance.DataCentre

	Callers      netip.AddrPort
	CallersTLS   credential.Files
	MaxBody      int64
	MaxConns     int
	Operators    netip.AddrPort
	OperatorsTLS credential.Files
	OperatorKey  key.Digest
	Peers        netip.AddrPort
	PeersTLS     credential.Files

	Platform netip.AddrPort
	ListLag  time.Duration

	// Cells must be the same on all instances.
	Cells int
	// CheckTokens says whether engines refuse old fencing tokens, but for the
	// exceptions.
	CheckTokens     bool
	TokenExceptions []instance.ID

	Loads, AdapterLoads int
	// BytesPerSecond is the assumed speed of one remote load.
	BytesPerSecond float64
	// ColdStartWeight is from 0, where idle accelerator hours alone count, to
	// 1, where the tail of cold starts alone counts.
	ColdStartWeight float64
	Lease           lease.Timing
	// Shutdown bounds a graceful shutdown.
	Shutdown time.Duration
}

// ChecksTokens reports whether the engine refuses old fencing tokens.
func (s *Settings) ChecksTokens(id instance.ID) bool {
	return s.CheckTokens != slices.Contains(s.TokenExceptions, id)
}

type tlsDocument struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	Authority   string `json:"authority"`
}

type document struct {
	ID         string `json:"id"`
	DataCentre string `json:"dataCentre"`
	Callers    struct {
		Listen         string       `json:"listen"`
		TLS            *tlsDocument `json:"tls"`
		MaxBodyBytes   int64        `json:"maxBodyBytes"`
		MaxConnections int          `json:"maxConnections"`
	} `json:"callers"`
	Operators struct {
		Listen  string       `json:"listen"`
		KeyHash string       `json:"keyHash"`
		TLS     *tlsDocument `json:"tls"`
	} `json:"operators"`
	Peers struct {
		Listen string       `json:"listen"`
		TLS    *tlsDocument `json:"tls"`
	} `json:"peers"`
	Platform struct {
		Address   string `json:"address"`
		ListLagMs int64  `json:"listLagMs"`
	} `json:"platform"`
	Cells   int `json:"cells"`
	Engines struct {
		CheckTokens *bool    `json:"checkTokens"`
		Exceptions  []string `json:"exceptions"`
	} `json:"engines"`
	Loads struct {
		Models         int   `json:"models"`
		Adapters       int   `json:"adapters"`
		BytesPerSecond int64 `json:"bytesPerSecond"`
	} `json:"loads"`
	Policy struct {
		ColdStartWeight *float64 `json:"coldStartWeight"`
	} `json:"policy"`
	Lease struct {
		DurationMs int64 `json:"durationMs"`
		RenewMs    int64 `json:"renewMs"`
	} `json:"lease"`
	ShutdownMs int64 `json:"shutdownMs"`
}

// Defaults of settings that are left out.
const (
	defaultMaxBody        = 4 << 20
	defaultMaxConns       = 4096
	defaultListLag        = 10 * time.Second
	defaultLoads          = 4
	defaultAdapterLoads   = 32
	defaultBytesPerSecond = 1 << 30
	defaultWeight         = 0.5
	defaultShutdown       = 30 * time.Second
)

// Decode checks and reads settings. A *schema.FaultsError lists every fault.
func Decode(data []byte) (*Settings, error) {
	faults := compiled.Check(data)
	if len(faults) > 0 {
		return nil, &schema.FaultsError{Document: "settings", Faults: faults}
	}

	var doc document
	if err := json.Unmarshal(data, &doc); err != nil {
		return nil, err
	}

	s, faults := doc.settings()
	if len(faults) > 0 {
		return nil, &schema.FaultsError{Document: "settings", Faults: faults}
	}

	return s, nil
}

// settings maps the document and checks what the schema cannot express.
func (d *document) settings() (*Settings, []schema.Fault) {
	var c checker

	s := &Settings{
		ID:              instance.ID(d.ID),
		DataCentre:      instance.DataCentre(d.DataCentre),
		Callers:         c.address("callers.listen", d.Callers.Listen),
		CallersTLS:      files(d.Callers.TLS),
		MaxBody:         orDefault(d.Callers.MaxBodyBytes, defaultMaxBody),
		MaxConns:        orDefault(d.Callers.MaxConnections, defaultMaxConns),
		Operators:       c.address("operators.listen", d.Operators.Listen),
		OperatorsTLS:    files(d.Operators.TLS),
		Peers:           c.address("peers.listen", d.Peers.Listen),
		PeersTLS:        files(d.Peers.TLS),
		Platform:        c.address("platform.address", d.Platform.Address),
		ListLag:         milliseconds(d.Platform.ListLagMs, defaultListLag),
		Cells:           orDefault(d.Cells, 1),
		CheckTokens:     d.Engines.CheckTokens == nil || *d.Engines.CheckTokens,
		Loads:           orDefault(d.Loads.Models, defaultLoads),
		AdapterLoads:    orDefault(d.Loads.Adapters, defaultAdapterLoads),
		BytesPerSecond:  float64(orDefault(d.Loads.BytesPerSecond, defaultBytesPerSecond)),
		ColdStartWeight: defaultWeight,
		Lease:           d.lease(&c),
		Shutdown:        milliseconds(d.ShutdownMs, defaultShutdown),
	}

	// The schema has checked the length.
	_, _ = hex.Decode(s.OperatorKey[:], []byte(d.Operators.KeyHash))

	for _, id := range d.Engines.Exceptions {
		s.TokenExceptions = append(s.TokenExceptions, instance.ID(id))
	}

	if d.Policy.ColdStartWeight != nil {
		s.ColdStartWeight = *d.Policy.ColdStartWeight
	}

	c.distinct(s)

	if s.PeersTLS.Certificate != "" && s.PeersTLS.Authority == "" {
		c.faultf("peers.tls.authority", "needed, because peers check each other's certificates")
	}

	return s, c.faults
}

func (d *document) lease(c *checker) lease.Timing {
	t := lease.DefaultTiming()
	t.Duration = milliseconds(d.Lease.DurationMs, t.Duration)
	t.Renew = milliseconds(d.Lease.RenewMs, min(t.Renew, t.Duration/3)) //nolint:mnd // Three tries in a lease.

	if 2*t.Renew > t.Duration {
		c.faultf("lease.renewMs", "must be at most half of lease.durationMs")
	}

	return t
}

func files(d *tlsDocument) credential.Files {
	if d == nil {
		return credential.Files{}
	}

	return credential.Files{Certificate: d.Certificate, Key: d.Key, Authority: d.Authority}
}

func orDefault[T int | int64](v, fallback T) T {
	if v == 0 {
		return fallback
	}

	return v
}

func milliseconds(ms int64, fallback time.Duration) time.Duration {
	if ms == 0 {
		return fallback
	}

	return time.Duration(ms) * time.Millisecond
}

// checker gathers faults.
type checker struct{ faults []schema.Fault }

func (c *checker) faultf(path, format string, args ...any) {
	c.faults = append(c.faults, schema.Fault{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) address(path, text string) netip.AddrPort {
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		c.faultf(path, "%v", err)
	}

	return addr
}

// distinct finds listeners that share an address. Port zero takes any free
// port and clashes with nothing.
func (c *checker) distinct(s *Settings) {
	seen := make(map[netip.AddrPort]string)

	for _, l := range []struct {
		path string
		addr netip.AddrPort
	}{
		{"callers.listen", s.Callers}, {"operators.listen", s.Operators}, {"peers.listen", s.Peers},
	} {
		if other, ok := seen[l.addr]; ok && l.addr.Port() != 0 {
			c.faultf(l.path, "the same address as %s", other)
		}

		seen[l.addr] = l.path
	}
}
