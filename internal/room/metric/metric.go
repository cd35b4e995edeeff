// Package metric collects a process's counters, gauges and latency histograms
// and serves them in the Prometheus text format.
package metric

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// Page is a tally.StatsReporter that accumulates reported metrics and an
// http.Handler that serves them. The zero value is ready for use.
type Page struct {
	mu       sync.Mutex
	counters map[string]int64
	gauges   map[string]float64
	// buckets counts samples by histogram and upper bound.
	buckets map[string]map[time.Duration]int64
}

// reportInterval is the scope's reporting interval. Values on the page are at
// most about this old.
const reportInterval = time.Second

// Scope returns a scope that reports to the page until it is closed.
func (p *Page) Scope() (tally.Scope, io.Closer) {
	return tally.NewRootScope(tally.ScopeOptions{
		Prefix: "fulmarcross", Reporter: p, Separator: "_", OmitCardinalityMetrics: true,
	}, reportInterval)
}

// Latencies returns the bucket bounds of the latency histograms. They range
// from the latency of a loaded model to the longest time that clients wait.
func Latencies() tally.DurationBuckets {
	return tally.DurationBuckets{
		10 * time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond,
		time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 15 * time.Second, 30 * time.Second,
	}
}

// label returns a metric's name followed by its tags, if any, in sorted order.
func label(name string, tags map[string]string) string {
	if len(tags) == 0 {
		return name
	}

	pairs := make([]string, 0, len(tags))
	for k, v := range tags {
		pairs = append(pairs, fmt.Sprintf("%s=%q", k, v))
	}

	slices.Sort(pairs)

	return name + "{" + strings.Join(pairs, ",") + "}"
}

// ReportCounter implements tally.StatsReporter.
func (p *Page) ReportCounter(name string, tags map[string]string, value int64) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.counters == nil {
		p.counters = make(map[string]int64)
	}

	p.counters[label(name, tags)] += value
}

// ReportGauge implements tally.StatsReporter.
func (p *Page) ReportGauge(name string, tags map[string]string, value float64) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.gauges == nil {
		p.gauges = make(map[string]float64)
	}

	p.gauges[label(name, tags)] = value
}

// ReportTimer implements tally.StatsReporter. It does nothing, since latencies
// are reported as histograms.
func (p *Page) ReportTimer(string, map[string]string, time.Duration) {}

// ReportHistogramValueSamples implements tally.StatsReporter. It does nothing,
// since only histograms of durations are supported.
func (p *Page) ReportHistogramValueSamples(string, map[string]string, tally.Buckets, float64, float64, int64) {
}

// ReportHistogramDurationSamples implements tally.StatsReporter.
func (p *Page) ReportHistogramDurationSamples(
	name string, tags map[string]string, _ tally.Buckets, _, upper time.Duration, samples int64,
) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.buckets == nil {
		p.buckets = make(map[string]map[time.Duration]int64)
	}

	key := label(name, tags)
	if p.buckets[key] == nil {
		p.buckets[key] = make(map[time.Duration]int64)
	}

	p.buckets[key][upper] += samples
}

// Capabilities implements tally.StatsReporter.
func (p *Page) Capabilities() tally.Capabilities { return p }

// Reporting implements tally.Capabilities.
func (p *Page) Reporting() bool { return true }

// Tagging implements tally.Capabilities.
func (p *Page) Tagging() bool { return true }

// Flush implements tally.StatsReporter.
func (p *Page) Flush() {}

// ServeHTTP writes the lines of all metrics in sorted order: one for a counter
// or gauge, several for a histogram.
func (p *Page) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()

	var lines []string

	for key, n := range p.counters {
		lines = append(lines, fmt.Sprintf("%s %d", key, n))
	}

	for key, v := range p.gauges {
		lines = append(lines, fmt.Sprintf("%s %g", key, v))
	}

	for key, buckets := range p.buckets {
		lines = append(lines, histogram(key, buckets)...)
	}

	slices.Sort(lines)

	_, _ = io.WriteString(w, strings.Join(lines, "\n")+"\n") // The scraper may have disconnected.
}

// histogram returns the cumulative bucket lines of one histogram and its count.
// Buckets without samples are left out. Bounds above one hour stand for the
// overflow bucket and become +Inf.
func histogram(key string, buckets map[time.Duration]int64) []string {
	name, tags, tagged := strings.Cut(strings.TrimSuffix(key, "}"), "{")
	if tagged {
		tags += ","
	}

	bounds := make([]time.Duration, 0, len(buckets))
	for b := range buckets {
		bounds = append(bounds, b)
	}

	slices.Sort(bounds)

	var (
		total int64
		out   []string
	)

	for _, b := range bounds {
		total += buckets[b]

		le := fmt.Sprintf("%g", b.Seconds())
		if b > time.Hour {
			le = "+Inf"
		}

		out = append(out, fmt.Sprintf("%s_bucket{%sle=%q} %d", name, tags, le, total))
	}

	return append(out, fmt.Sprintf("%s_count{%s} %d", name, strings.TrimSuffix(tags, ","), total))
}
