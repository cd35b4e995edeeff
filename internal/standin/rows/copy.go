package rows

import (
	"maps"
	"slices"

	"github.com/fulmarcross/fulmarcross/internal/platform/revision"
	"github.com/fulmarcross/fulmarcross/internal/platform/table"
)

// Copy is what a store held at one time.
type Copy struct {
	tables    map[string]map[string]table.Row
	version   revision.Number
	history   []change
	forgotten revision.Number
}

// Copy returns what the store holds.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()

	return Copy{tables: cloneTables(s.tables), version: s.version, history: slices.Clone(s.history), forgotten: s.forgotten}
}

// Return makes the store come back from a copy, in the next era. What was written since is
// gone, and its versions are given out again.
func (s *Store) Return(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.era++
	s.tables, s.version, s.history, s.forgotten = cloneTables(c.tables), c.version, slices.Clone(c.history), c.forgotten
	s.wake()
}

func cloneTables(tables map[string]map[string]table.Row) map[string]map[string]table.Row {
	out := make(map[string]map[string]table.Row, len(tables))
	for name, rows := range tables {
		out[name] = maps.Clone(rows)
	}

	return out
}
