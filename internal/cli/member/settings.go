package member

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/customer/quota"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/serving/relay"
	"github.com/fulmarcross/fulmarcross/platform"
)

// minMemoryMB is the least memory with which the process can hold its own state and one
// request of the largest size.
const minMemoryMB = 64

// Settings are the settings of one entry on the users' platform.
type Settings struct {
	Name                               instance.ID
	DataCentre                         instance.DataCentre
	Callers, Readiness, Peers, Metrics netip.AddrPort
	Store                              netip.AddrPort
	// Seeds are entries that may be asked for the others. Some may be gone.
	Seeds            []netip.AddrPort
	Grace, TurnPause time.Duration
	// Strength is the share of a processor that this instance has; zero means
	// unknown.
	Strength float64
	// MemoryMB is the memory that the process may use; zero means unknown.
	MemoryMB float64
	// BoundedMemory is set if what the process holds for clients that read slowly has
	// to be bounded.
	BoundedMemory bool
	Allowance     relay.RetryLimit
	// Slack is what may pass beyond teams' limits.
	Slack quota.Slack
}

// document is the settings file.
type document struct {
	Name       string   `json:"name"`
	DataCentre string   `json:"dataCentre"`
	Callers    string   `json:"callers"`
	Readiness  string   `json:"readiness"`
	Peers      string   `json:"peers"`
	Metrics    string   `json:"metrics"`
	Seeds      []string `json:"seeds"`
	Store      string   `json:"store"`
	Strength   float64  `json:"strength"`
	MemoryMB   float64  `json:"memoryMB"`
	Rules      []string `json:"rules"`
	Bounds     struct {
		GraceSeconds        float64 `json:"graceSeconds"`
		TurnPauseMs         float64 `json:"turnPauseMs"`
		RepeatRatio         float64 `json:"repeatRatio"`
		RepeatBurst         float64 `json:"repeatBurst"`
		RepeatWindowSeconds float64 `json:"repeatWindowSeconds"`
		LimitOverrun        float64 `json:"limitOverrun"`
		LimitTolerance      float64 `json:"limitTolerance"`
	} `json:"bounds"`
}

// FieldError says that a setting cannot be used.
type FieldError struct {
	Path   string
	Reason string
}

func (e *FieldError) Error() string { return fmt.Sprintf("settings: %s: %s", e.Path, e.Reason) }

// Load reads and checks a settings file. Its error names every setting that
// cannot be used.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}

	var d document
	if err := json.Unmarshal(data, &d); err != nil {
		return nil, fmt.Errorf("settings: %s: %w", path, err)
	}

	return d.check()
}

// checker gathers what is wrong with a document.
type checker struct{ errs []error }

func (c *checker) fail(path, reason string) {
	c.errs = append(c.errs, &FieldError{Path: path, Reason: reason})
}

func (c *checker) text(path, value string) string {
	if value == "" {
		c.fail(path, "missing")
	}

	return value
}

func (c *checker) address(path, value string) netip.AddrPort {
	a, err := netip.ParseAddrPort(c.text(path, value))
	if err != nil && value != "" {
		c.fail(path, err.Error())
	}

	return a
}

func (c *checker) span(path string, value float64, unit time.Duration) time.Duration {
	if value <= 0 {
		c.fail(path, "must be above zero")
	}

	return time.Duration(value * float64(unit))
}

func (d *document) check() (*Settings, error) {
	var c checker

	s := &Settings{
		Name:       instance.ID(c.text("name", d.Name)),
		DataCentre: instance.DataCentre(c.text("dataCentre", d.DataCentre)),
		Callers:    c.address("callers", d.Callers),
		Readiness:  c.address("readiness", d.Readiness),
		Peers:      c.address("peers", d.Peers),
		Metrics:    c.address("metrics", d.Metrics),
		Store:      c.address("store", d.Store),
		Strength:   d.Strength,
		MemoryMB:   d.MemoryMB,
		Grace:      c.span("bounds.graceSeconds", d.Bounds.GraceSeconds, time.Second),
		TurnPause:  c.span("bounds.turnPauseMs", d.Bounds.TurnPauseMs, time.Millisecond),
		Allowance: relay.RetryLimit{
			Ratio: d.Bounds.RepeatRatio, Burst: d.Bounds.RepeatBurst,
			Window: c.span("bounds.repeatWindowSeconds", d.Bounds.RepeatWindowSeconds, time.Second),
		},
	}

	s.Slack = quota.Slack{Overrun: d.Bounds.LimitOverrun, Tolerance: d.Bounds.LimitTolerance}
	if s.Slack.Overrun < 0 || s.Slack.Tolerance < 0 {
		c.fail("bounds", "limitOverrun and limitTolerance must not be below zero")
	}

	if d.Bounds.RepeatRatio < 0 || d.Bounds.RepeatBurst < 0 {
		c.fail("bounds", "repeatRatio and repeatBurst must not be below zero")
	}

	s.BoundedMemory = platform.BoundsMemory(d.Rules)

	switch {
	case d.MemoryMB < 0:
		c.fail("memoryMB", "must not be below zero")
	case s.BoundedMemory && d.MemoryMB < minMemoryMB:
		c.fail("memoryMB", fmt.Sprintf("must be at least %d where memory is bounded", minMemoryMB))
	}

	if d.Strength < 0 {
		c.fail("strength", "must not be below zero")
	}

	for i, seed := range d.Seeds {
		s.Seeds = append(s.Seeds, c.address(fmt.Sprintf("seeds.%d", i), seed))
	}

	if len(c.errs) > 0 {
		return nil, errors.Join(c.errs...)
	}

	return s, nil
}
