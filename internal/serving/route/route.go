// Package route says where requests go: the routes, services and models that
// the operators have put in force. It does no I/O and reads no clock.
package route

import (
	"strings"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/customer/team"
)

// Kind says how a request may be answered and whether it may be repeated.
type Kind int

// The kinds of requests.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// Once requests run at most once.
	Once
	// Stream requests are answered by a series of events. They may run again
	// only where the route is resumable.
	Stream
)

// Route is one rule of where requests go.
type Route struct {
	Name string
	// Host is in lower case and has no port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration
	// Goal is the time within which an answer is on time.
	Goal time.Duration
	// GapGoal is the longest pause between two events of a stream that is on
	// time.
	GapGoal time.Duration
	// Priority is the rank among the routes; 0 is the most urgent.
	Priority int
	// Splits are never empty and their weights are positive.
	Splits []Split
	// Attempts is how many targets may run one request.
	Attempts int
	// Resumable streams may go on at another target.
	Resumable bool
	// Public routes are open to callers without a key.
	Public bool
}

// Repeatable reports whether a request of the route may run again after an
// attempt whose outcome is unknown.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Patience returns how long a caller waits for the first event of a stream, or
// between two, before it leaves: the platform's callers leave after two
// seconds, four times the goal or eight times the pause, whichever is longest.
func (r *Route) Patience() time.Duration {
	const (
		least = 2 * time.Second
		goals = 4
		gaps  = 8
	)

	return max(least, goals*r.Goal, gaps*r.GapGoal)
}

// Split is a service's share of a route.
type Split struct {
	Service string
	Weight  int
}

// Pick returns the service for a draw from [0, 1).
func (r *Route) Pick(draw float64) string {
	total := 0
	for _, s := range r.Splits {
		total += s.Weight
	}

	left := draw * float64(total)

	for _, s := range r.Splits {
		left -= float64(s.Weight)
		if left < 0 {
			return s.Service
		}
	}

	return r.Splits[len(r.Splits)-1].Service
}

// Service is a group of targets that answer the same requests.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns bounds the connections to one target from all callers.
	MaxConns int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests one target runs together.
	Slots int
	// CacheTokens is the memory for prompts and answers, in tokens.
	CacheTokens int
	// MemoryMB is a target's memory for weights and adapters.
	MemoryMB float64
	// HostMB is a target's memory for copies of weights; zero means unknown.
	HostMB float64
	// AdapterSlots is how many adapters a target holds.
	AdapterSlots int
	// LoadsPerSecond is the rate of the weight store, over all targets.
	LoadsPerSecond float64
	Models         map[string]Model
}

// typicalRequestTokens is what an ordinary request takes of an engine's memory.
const typicalRequestTokens = 1700

// Places returns how many ordinary requests a target with so many slots runs
// together: no more than its memory for prompts and answers holds.
func (e *Engine) Places(slots int) int {
	if e.CacheTokens <= 0 {
		return slots
	}

	return min(slots, max(1, e.CacheTokens/typicalRequestTokens))
}

// Model is one checkpoint.
type Model struct {
	Name      string
	MB        float64
	AdapterMB float64
	// FromStore, FromDisk and FromMemory are how long a load takes.
	FromStore, FromDisk, FromMemory time.Duration
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes, BodyBytes     int64
	HeaderTimeout, IdleTimeout time.Duration
}

// Config is one version of all that the operators put in force.
type Config struct {
	// Version grows, in uneven steps.
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Teams are those whose keys open the routes. Without any, all routes are
	// open.
	Teams team.Set
	// Text is what the configuration was decoded from, for peers that cannot
	// read it themselves.
	Text []byte
}

// Table finds the route of a request. The zero value has none.
type Table struct {
	Config *Config

	routes map[routeKey]*Route
	hosts  map[string]bool
}

type routeKey struct{ host, prefix string }

// NewTable returns the table of the configuration, which must not change any
// more.
func NewTable(c *Config) *Table {
	t := &Table{Config: c, routes: make(map[routeKey]*Route, len(c.Routes)), hosts: make(map[string]bool)}

	for i := range c.Routes {
		r := &c.Routes[i]
		t.routes[routeKey{r.Host, r.Prefix}] = r
		t.hosts[r.Host] = true
	}

	return t
}

// Match returns the route with the longest prefix that begins the path, or
// nil. A port in host is ignored.
func (t *Table) Match(host, path string) *Route {
	host = hostname(host)
	if !t.hosts[host] {
		return nil
	}

	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := t.routes[routeKey{host, path[:end+1]}]; r != nil {
			return r
		}
	}

	return nil
}

func hostname(host string) string {
	if i := strings.LastIndexByte(host, ':'); i > strings.LastIndexByte(host, ']') {
		host = host[:i]
	}

	return strings.ToLower(host)
}
