package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/serving/relay"
	"github.com/fulmarcross/fulmarcross/internal/serving/route"
	"github.com/fulmarcross/fulmarcross/internal/standin/site"
)

const (
	// applyBound is the users' bound: a request sent so long after a change was
	// acknowledged is handled by it.
	applyBound = 2 * time.Second
	// seriesChanges is the number of changes of a series, and seriesRoutes that of the
	// routes that each adds. The routes of former series are removed.
	seriesChanges = 3
	seriesRoutes  = 700
	seriesPause   = 150 * time.Millisecond
	seriesPrefix  = "/series-"
	// dropCount is the number of models that a configuration may lack, from one of the first
	// dropMost on, for at most dropFor.
	dropCount = 2
	dropMost  = 14
	dropFor   = 4 * time.Second
)

// series are the series of large configurations.
type series struct {
	mu sync.Mutex
	// number is the number of the newest series.
	number int
	broken []string
}

// makeSeries is the trouble in which several large configurations follow each other. Each
// entry is then asked for the last route that was added: none may say that it does not exist.
func (s *soak) makeSeries() event {
	var (
		number int
		began  time.Time
	)

	return event{
		name: "large configurations follow each other", least: seriesChanges*seriesPause + applyBound,
		begin: func() {
			number = s.series.next()

			for change := range seriesChanges {
				s.site.PutConfig(func(c *route.Config) { addSeries(c, number, change) })

				began = time.Now()

				time.Sleep(seriesPause)
			}
		},
		end: func() {
			time.Sleep(time.Until(began.Add(applyBound)))

			for _, p := range s.processes {
				s.askSeries(p, number, began)
			}
		},
	}
}

// dropModels is the trouble in which a configuration lacks models that engines hold.
func (s *soak) dropModels(draw *rand.Rand) event {
	first := draw.IntN(dropMost)

	var dropped map[string]route.Model

	return event{
		name: fmt.Sprintf("the configuration lacks models %d to %d", first, first+dropCount-1), most: dropFor,
		begin: func() {
			dropped = s.changeModels(func(models map[string]route.Model) {
				for i := range dropCount {
					delete(models, site.Model(first+i))
				}
			})
		},
		end: func() {
			s.changeModels(func(models map[string]route.Model) { maps.Copy(models, dropped) })
		},
	}
}

// changeModels puts a configuration in force with other models, and returns the former ones.
func (s *soak) changeModels(change func(map[string]route.Model)) (former map[string]route.Model) {
	s.site.PutConfig(func(c *route.Config) {
		service := c.Services[site.Drafting]
		e := *service.Engine
		former, e.Models = e.Models, maps.Clone(e.Models)
		change(e.Models)
		service.Engine, c.Services = &e, maps.Clone(c.Services)
		c.Services[site.Drafting] = service
	})

	return former
}

// addSeries adds the routes of one change, and removes those of former series.
func addSeries(c *route.Config, number, change int) {
	own := fmt.Sprintf("%s%d-", seriesPrefix, number)
	c.Routes = slices.DeleteFunc(c.Routes, func(r route.Route) bool {
		return strings.HasPrefix(r.Prefix, seriesPrefix) && !strings.HasPrefix(r.Prefix, own)
	})

	for i := range seriesRoutes {
		c.Routes = append(c.Routes, route.Route{
			Name: fmt.Sprintf("series-%d-%d-%d", number, change, i), Host: site.Host, Prefix: fmt.Sprintf("%s%d-%d/", own, change, i*7919), //nolint:mnd // Differs.
			Kind: route.Idempotent, Timeout: time.Second, Attempts: 2, Splits: []route.Split{{Service: site.Desk, Weight: 1}},
		})
	}
}

// askSeries asks an entry for the last route of a series, unless a newer one has begun or the
// entry was restarted or frozen.
func (s *soak) askSeries(p *process, number int, began time.Time) {
	path := fmt.Sprintf("%s%d-%d-%d/x", seriesPrefix, number, seriesChanges-1, (seriesRoutes-1)*7919) //nolint:mnd // As in addSeries.
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callFor}
	id := fmt.Sprintf("ready-%s/series-%d", p.name, number)

	s.book.send(id, path)

	r, err := site.AskOn(s.ctx, c, p.callers, path, "", relay.RequestInfo{ID: id, Timeout: callFor, Credentials: credentials(free)})
	if err != nil || r.Status != http.StatusNotFound || s.excuses.overlap(p.name, began.Add(-contact), time.Now()) {
		return
	}

	s.series.breaks(number, fmt.Sprintf("%s does not know a route %v after it was added", p.name, time.Since(began).Round(time.Millisecond)))
}

func (s *series) next() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.number++

	return s.number
}

func (s *series) breaks(number int, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if number == s.number {
		s.broken = append(s.broken, text)
	}
}

func (s *series) found() []string {
	s.mu.Lock()
	defer s.mu.Unlock()

	return slices.Clone(s.broken)
}
