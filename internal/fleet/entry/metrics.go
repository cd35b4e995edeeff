package entry

import (
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	prom "github.com/prometheus/client_golang/prometheus"
)

// metricsPrefix begins the name of every metric.
const metricsPrefix = "fulmarcross"

// newMetrics returns the root of the entry's metrics and the handler that
// shows them in the usual text format.
func newMetrics() (tally.Scope, http.Handler) {
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: prom.NewRegistry()})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          metricsPrefix,
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, time.Second)

	return scope, reporter.HTTPHandler()
}
