package metric

import (
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestPage(t *testing.T) {
	var p Page

	scope, closer := p.Scope()
	tagged := scope.Tagged(map[string]string{"kind": "stream", "status": "200"})
	tagged.Counter("answers").Inc(2)
	scope.Gauge("running").Update(3)

	h := scope.Histogram("first", Latencies())
	h.RecordDuration(20 * time.Millisecond)
	h.RecordDuration(time.Minute)
	assert.NilError(t, closer.Close())

	rec := httptest.NewRecorder()
	p.ServeHTTP(rec, nil)
	assert.Equal(t, rec.Body.String(), `fulmarcross_answers{kind="stream",status="200"} 2
fulmarcross_first_bucket{le="+Inf"} 2
fulmarcross_first_bucket{le="0.03"} 1
fulmarcross_first_count{} 2
fulmarcross_running 3
`)
}
