package node

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/platform/revision"
	"github.com/fulmarcross/fulmarcross/internal/platform/table"
	"github.com/fulmarcross/fulmarcross/internal/serving/origin"
)

// lateTable answers reads with an old row and records what is committed.
type lateTable struct {
	table.Service

	row       table.Row
	committed []table.Transaction
}

func (t *lateTable) Read(_ context.Context, keys ...string) ([]table.Row, error) {
	return append([]table.Row{t.row}, make([]table.Row, len(keys)-1)...), nil
}

func (t *lateTable) Commit(_ context.Context, tx table.Transaction) (revision.Number, error) {
	t.committed = append(t.committed, tx)

	return 0, &table.ConflictError{Key: tx.Conditions[0].Key}
}

// TestLateHistoriesOverwriteNewerOnes guards against software that another entry recorded and that is lost, because histories that were read before are written as if they were newer.
func TestLateHistoriesOverwriteNewerOnes(t *testing.T) {
	late := &lateTable{row: table.Row{Key: historiesKey, Value: []byte(`{"s":[{"software":"a"}]}`), Version: 4}}
	n := New(Config{Self: "e", AssumedEntries: 2, Table: late})
	newer := map[string]origin.History{"s": {Spans: []origin.Span{{Software: "a"}, {Software: "b"}}}}

	n.origins.applyHistories(&historiesRead{byService: newer, version: 5}, time.Now())
	n.origins.updateHistories(t.Context(), map[string][]instance.Software{"s": {"c"}})

	assert.Equal(t, len(late.committed), 1)
	assert.Equal(t, late.committed[0].Conditions[0].Version, late.row.Version)
}
