package site

import (
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/customer/key"
	"github.com/fulmarcross/fulmarcross/internal/customer/team"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
	"github.com/fulmarcross/fulmarcross/platform"
)

func demo() *route.Config {
	e := &route.Engine{Slots: 8, MemoryMB: 200, AdapterSlots: 4, LoadsPerSecond: 4, Models: make(map[string]route.Model)}
	for i := range models {
		e.Models[Model(i)] = route.Model{
			Name: Model(i), MB: modelMB, AdapterMB: 1, FromStore: 4 * cold, FromDisk: cold, FromMemory: cold / 2, //nolint:mnd // The demo's tiers.
		}
	}

	to := func(s string) []route.Split { return []route.Split{{Service: s, Weight: 1}} }

	return &route.Config{
		Routes: []route.Route{
			{Name: "note", Host: Host, Prefix: "/note/", Kind: route.Stream, Resumable: true, Timeout: 8 * time.Second, Goal: goal, Attempts: 2, Splits: to(Drafting)},
			{Name: "dossier", Host: Host, Prefix: "/dossier/", Kind: route.Stream, Timeout: 8 * time.Second, Goal: goal, Attempts: 1, Splits: to(Drafting)},
			{Name: "book", Host: Host, Prefix: "/book/", Kind: route.NonIdempotent, Timeout: time.Second, Attempts: 1, Splits: to(Desk)},
			{Name: "look", Host: Host, Prefix: "/look/", Kind: route.Idempotent, Timeout: time.Second, Attempts: 2, Splits: to(Desk)},
		},
		Services: map[string]route.Service{Drafting: {Name: Drafting, Engine: e}, Desk: {Name: Desk, HealthPath: platform.HealthPath}},
	}
}

// PutConfig puts a changed configuration in force, with the next version.
func (s *Site) PutConfig(change func(*route.Config)) {
	s.mu.Lock()
	defer s.mu.Unlock()

	next := *s.config
	next.Routes = slices.Clone(next.Routes)
	change(&next)
	next.Version++
	s.config = &next
	s.Store.Put(platform.OperatorsTable, platform.ConfigKey, platform.EncodeConfig(&next, s.keys))
}

// PutTeams puts teams in force, with the keys of each by its name.
func (s *Site) PutTeams(teams []team.Team, keys map[string][]string) error {
	for i := range teams {
		teams[i].Keys = nil
		for _, text := range keys[teams[i].Name] {
			teams[i].Keys = append(teams[i].Keys, key.DigestOf(text))
		}
	}

	set, err := team.NewSet(teams)
	if err != nil {
		return err
	}

	s.PutConfig(func(c *route.Config) { c.Teams, s.keys = set, keys })

	return nil
}
