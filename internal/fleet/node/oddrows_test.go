package node_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/standin/site"
	"github.com/fulmarcross/fulmarcross/platform"
)

// oddRows returns what another writer may have written among the targets.
func oddRows() map[string]string {
	row := func(old, changed string) string {
		const whole = `{"service":"` + string(site.Drafting) + `","address":"10.9.9.9:80","zone":"dc","version":"v1","slots":4,"state":"ready","cold_left_ms":0,"sequence":0,"models":[{"name":"m","version":1,"adapters":[]}],"available":{}}`

		return strings.Replace(whole, old, changed, 1)
	}

	return map[string]string{
		"nested":                strings.Repeat("[", 12_000),
		"nested in models":      row(`"adapters":[]`, `"adapters":`+strings.Repeat("[", 12_000)),
		"nested in available":   row(`"available":{}`, `"available":`+strings.Repeat(`{"a":`, 12_000)),
		"slots":                 row(`"slots":4`, `"slots":9223372036854775807`),
		"slots beyond":          row(`"slots":4`, `"slots":1e400`),
		"cold":                  row(`"cold_left_ms":0`, `"cold_left_ms":1e308`),
		"sequence":              row(`"sequence":0`, `"sequence":18446744073709551615`),
		"born":                  row(`"sequence":0`, `"sequence":0,"born":9223372036854775807`),
		"port":                  row("9.9:80", "9.9:70000"),
		"port none":             row("9.9:80", "9.9:0"),
		"bytes":                 "\xff\x00\xfe",
		"":                      "{}",
		strings.Repeat("é", 99): row("ready", "reädy"),
	}
}

// TestOddRowsOfTheList guards against entries that end, use such a target or stop following the list after another writer has left odd rows there.
func TestOddRowsOfTheList(t *testing.T) {
	simulateSite(t, site.Options{Entries: 3, Network: delayed()}, func(t *testing.T, s *site.Site) {
		t.Helper()
		s.Unlist(newerEngine)
		time.Sleep(time.Second)

		for round := range 20 {
			for key, value := range oddRows() {
				s.Store.Put(platform.TargetsTable, key, []byte(value))
				s.Store.Put(platform.TargetsTable, fmt.Sprintf("%s-%d", key, round), []byte(value))
			}

			time.Sleep(100 * time.Millisecond)
		}

		s.List(newerEngine)
		time.Sleep(2 * time.Second)

		for i, e := range s.Entries {
			for model := range 8 {
				ask := streamAsk(fmt.Sprintf("odd-%d-%d", i, model))
				ask.Model = site.Model(model)

				r, err := site.Ask(context.WithoutCancel(t.Context()), e, "/note/x", "text", ask)
				assert.NilError(t, err)
				assert.Equal(t, r.Status, http.StatusOK, "entry %d, %s: %s", i, ask.Model, r.Body)
			}
		}
	})
}
