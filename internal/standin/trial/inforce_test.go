package trial

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/fleet/entry"
	"github.com/fulmarcross/fulmarcross/internal/wire/operator"
)

// BenchmarkInForce measures the time from the acceptance of an edit until it
// is in force on all of eight entries.
func BenchmarkInForce(b *testing.B) {
	site, err := Start(b.Context(), Options{Entries: 8, Logger: zerolog.Nop()})
	assert.NilError(b, err)
	b.Cleanup(site.Stop)

	var times []time.Duration

	for b.Loop() {
		e := site.Entries()[len(times)%8]
		doc := operate(b.Context(), b, e, http.MethodGet, operator.PathLists+"plans", nil)
		rate := fmt.Sprintf(`"requestsPerSecond": %d`, 1000+len(times)%2)
		doc = bytes.Replace(doc, []byte(fmt.Sprintf(`"requestsPerSecond": %d`, 2000)), []byte(rate), 1)
		doc = bytes.Replace(doc, []byte(fmt.Sprintf(`"requestsPerSecond": %d`, 1001-len(times)%2)), []byte(rate), 1)

		operate(b.Context(), b, e, http.MethodPut, operator.PathLists+"plans", doc)

		accepted := time.Now()
		version := e.ListVersion()

		for slices.ContainsFunc(site.Entries(), func(o *entry.Entry) bool { return o.ListVersion() < version }) {
			time.Sleep(50 * time.Microsecond)
		}

		times = append(times, time.Since(accepted))
	}

	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-us")
}

func operate(ctx context.Context, b *testing.B, e *entry.Entry, method, path string, body []byte) []byte {
	b.Helper()

	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.Operators().String()+path, bytes.NewReader(body))
	assert.NilError(b, err)
	req.SetBasicAuth("ana", OperatorKey)

	resp, err := http.DefaultClient.Do(req)
	assert.NilError(b, err)

	defer resp.Body.Close()

	data, err := io.ReadAll(resp.Body)
	assert.NilError(b, err)
	assert.Equal(b, resp.StatusCode, http.StatusOK, string(data))

	return data
}
