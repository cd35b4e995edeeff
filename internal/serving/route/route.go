// Package route describes the routes, services and models of the configuration
// in force and finds the route of a request. It does no I/O and reads no clock.
package route

import (
	"strings"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/customer/team"
)

// Kind says how requests of a route are answered and whether they may be
// retried.
type Kind int

// Kinds of requests.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Stream requests are answered by a series of events. They may run again
	// only if the route is resumable.
	Stream
)

// Route maps requests for a host and a path prefix to services.
type Route struct {
	Name string
	// Host is in lower case and has no port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time from a request's arrival to its deadline. A
	// request may set a shorter one.
	Timeout time.Duration
	// Goal is the time within which an answer counts as on time.
	Goal time.Duration
	// GapGoal is the longest pause between two events of a stream that counts
	// as on time.
	GapGoal time.Duration
	// Priority is the rank among the routes; 0 is the most urgent.
	Priority int
	// Splits are never empty and their weights are positive.
	Splits []Split
	// Attempts is the maximum number of attempts that may have run one request.
	Attempts int
	// Resumable streams may be resumed on another target.
	Resumable bool
	// Public routes accept clients without a key.
	Public bool
}

// Retryable reports whether a request of the route may be sent again after an
// attempt with unknown outcome.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// ClientTimeout returns how long a client waits for a stream's first event, or
// between two events, before it disconnects: the longest of two seconds, four
// times Goal and eight times GapGoal. The platform's clients use this rule.
func (r *Route) ClientTimeout() time.Duration {
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

// Pick returns the service for a random number from [0, 1).
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
	// MaxConns bounds the connections to one target from all entries.
	MaxConns int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Engine describes a service's model engines.
type Engine struct {
	// Slots is the number of requests that one target runs concurrently.
	Slots int
	// CacheTokens is a target's memory for prompts and answers, in tokens.
	CacheTokens int
	// MemoryMB is a target's memory for weights and adapters.
	MemoryMB float64
	// HostMB is a target's host memory for cached weights. Zero means unknown.
	HostMB float64
	// AdapterSlots is how many adapters a target holds.
	AdapterSlots int
	// LoadsPerSecond is the rate at which the weight store serves loads, over
	// all targets.
	LoadsPerSecond float64
	Models         map[string]Model
}

// TypicalRequestTokens is the part of CacheTokens that a typical request
// occupies.
const TypicalRequestTokens = 1700

// Concurrency returns how many typical requests a target with the given number of
// slots runs concurrently: no more than fit into its memory for prompts and
// answers.
func (e *Engine) Concurrency(slots int) int {
	if e.CacheTokens <= 0 {
		return slots
	}

	return min(slots, max(1, e.CacheTokens/TypicalRequestTokens))
}

// smallBatch is the largest number of slots of an engine whose targets a burst for one
// model fills before another replica is loaded.
const smallBatch = 16

// SmallBatch reports whether the load on the engine's targets is balanced by work and
// speed, and whether replicas are planned for the site as a whole. On targets with many
// slots a burst for one model fits into the replicas that it has.
func (e *Engine) SmallBatch() bool { return e.Slots > 0 && e.Slots <= smallBatch }

// Model is one checkpoint.
type Model struct {
	Name      string
	MB        float64
	AdapterMB float64
	// FromStore, FromDisk and FromMemory are the durations of a load from each
	// source.
	FromStore, FromDisk, FromMemory time.Duration
}

// Limits bound the requests that clients may send.
type Limits struct {
	HeaderBytes, BodyBytes     int64
	HeaderTimeout, IdleTimeout time.Duration
}

// Config is one version of the operators' configuration.
type Config struct {
	// Version increases, not always by one.
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Teams are the teams whose keys are accepted. If there are none, all
	// routes accept requests without a key.
	Teams team.Set
	// Text is the encoded configuration, for peers that cannot read it
	// themselves.
	Text []byte
}

// Table finds the route of a request. The zero value has no routes.
type Table struct {
	Config *Config

	routes map[routeKey]*Route
	hosts  map[string]bool
}

type routeKey struct{ host, prefix string }

// NewTable returns the table of a configuration, which must not be changed
// afterwards.
func NewTable(c *Config) *Table {
	t := &Table{Config: c, routes: make(map[routeKey]*Route, len(c.Routes)), hosts: make(map[string]bool)}

	for i := range c.Routes {
		r := &c.Routes[i]
		t.routes[routeKey{r.Host, r.Prefix}] = r
		t.hosts[r.Host] = true
	}

	return t
}

// Match returns the route of the host with the longest prefix of the path, or
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
