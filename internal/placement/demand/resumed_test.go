package demand

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

func TestResumedModels(t *testing.T) {
	var m ResumedModels

	now := time.Now()
	assert.Equal(t, len(m.Software(now)), 0)

	m.Record([]Resumed{{"a", "v2"}, {"b", "v1"}}, now)
	m.Record([]Resumed{{"a", "v1"}, {"a", "v2"}}, now.Add(resumedExpiry))
	assert.DeepEqual(t, m.Software(now.Add(resumedExpiry)), map[string][]instance.Software{"a": {"v1", "v2"}, "b": {"v1"}})
	assert.DeepEqual(t, m.Software(now.Add(resumedExpiry+1)), map[string][]instance.Software{"a": {"v1", "v2"}})
	assert.Equal(t, len(m.Software(now.Add(3*resumedExpiry))), 0)
	assert.Equal(t, len(m.told), 0)
}
