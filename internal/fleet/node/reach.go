package node

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/inventory"
	"github.com/fulmarcross/fulmarcross/internal/fleet/membership"
	"github.com/fulmarcross/fulmarcross/internal/serving/reach"
	"github.com/fulmarcross/fulmarcross/internal/serving/relay"
)

const (
	// slowDial is how long a connection to a target may take to open until this entry tries
	// others.
	slowDial = 250 * time.Millisecond
	// roundTimeout bounds the opening of a round's connections, and roundTargets is their
	// number. Where links lose three packets in a hundred, four first packets are lost
	// together once in a million rounds.
	roundTimeout = 400 * time.Millisecond
	roundTargets = 4
	// roundInterval is the time between two rounds while this entry is cut off.
	roundInterval = 400 * time.Millisecond
	// holdTime is how long a new connection must not be reset to count as reached while no target
	// answers.
	holdTime = 150 * time.Millisecond
	// recentReach is how long an answer on a new connection shows that targets are reached.
	recentReach = 150 * time.Millisecond
	// avoidTime is how long no requests are passed on to a neighbour that did not reach
	// the service, or was not reached.
	avoidTime = time.Second
	// maxNeighbours is the number of neighbours that a request is offered to.
	maxNeighbours = 3
)

// reachability implements relay.Reach. Set node before use.
type reachability struct {
	node *Node

	mu       sync.Mutex
	services map[string]*serviceReach
}

// serviceReach is what is known of the reach to one service.
type serviceReach struct {
	reach.Service

	reachedAt time.Time
	// round is closed when the round in progress has ended, and nil if there is none.
	round chan struct{}
	// cut is closed when this entry is found to be cut off.
	cut chan struct{}
	// avoided are the neighbours to avoid, until the times given.
	avoided map[instance.ID]time.Time
}

// of returns the state of a service. The caller holds the lock.
func (r *reachability) of(service string) *serviceReach {
	if r.services == nil {
		r.services = make(map[string]*serviceReach)
	}

	s := r.services[service]
	if s == nil {
		s = &serviceReach{cut: make(chan struct{}), avoided: make(map[instance.ID]time.Time)}
		r.services[service] = s
	}

	return s
}

// CutOff implements relay.Reach.
func (r *reachability) CutOff(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.of(service).CutOff()
}

// Answered implements relay.Reach.
func (r *reachability) Answered(service string, newConn bool) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.of(service).Answered(time.Now())

	if !newConn {
		return
	}

	r.apply(service, func(s *serviceReach, now time.Time) {
		s.reachedAt = now
		s.Reached(now)
	})
}

// Silent implements relay.Reach.
func (r *reachability) Silent(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.of(service).Silent(time.Now())
}

// apply changes the state of a service and logs if it is cut off from now on or no longer.
// The caller holds the lock.
func (r *reachability) apply(service string, change func(s *serviceReach, now time.Time)) {
	s, now := r.of(service), time.Now()
	before, cutFor := s.CutOff(), s.CutFor(now)

	change(s, now)

	switch {
	case !before && s.CutOff():
		close(s.cut)
		r.node.cfg.Log.Warn().Str("service", service).Msg("cut off from all targets")
	case before && !s.CutOff():
		s.cut = make(chan struct{})

		r.node.cfg.Log.Info().Str("service", service).Dur("after", cutFor).Msg("targets reached again")
	}
}

// Check implements relay.Reach.
func (r *reachability) Check(ctx context.Context, service string) bool {
	r.mu.Lock()
	s := r.of(service)
	known := s.CutOff() || time.Since(s.reachedAt) < recentReach
	r.mu.Unlock()

	if !known {
		select {
		case <-r.begin(service):
		case <-ctx.Done():
		}
	}

	return r.CutOff(service)
}

// CheckTarget implements relay.Reach.
func (r *reachability) CheckTarget(ctx context.Context, id instance.ID) bool {
	r.node.mu.Lock()
	t, listed := r.node.targetsByID[id]
	r.node.mu.Unlock()

	return listed && r.Check(ctx, t.Service)
}

// begin begins a round unless one is in progress. It returns a channel that is closed at its
// end.
func (r *reachability) begin(service string) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()

	s := r.of(service)
	if s.round == nil {
		s.round = make(chan struct{})

		go r.run(service, s.round)
	}

	return s.round
}

// run makes a round and closes done. While this entry is cut off, another round follows.
func (r *reachability) run(service string, done chan struct{}) {
	hold := time.Duration(0)
	if r.Silent(service) {
		hold = holdTime
	}

	round := r.node.tryTargets(service, hold)

	r.mu.Lock()
	r.apply(service, func(s *serviceReach, now time.Time) {
		s.Judge(round, now)
		s.round = nil
	})
	again := r.of(service).CutOff()
	r.mu.Unlock()
	close(done)

	if again && clock.Sleep(r.node.workCtx, jitter(roundInterval)) == nil {
		r.begin(service)
	}
}

// tryTargets opens connections to some targets of a service, which must then hold for some time. It
// ends when one of them does.
func (n *Node) tryTargets(service string, hold time.Duration) reach.Round {
	round := reach.Round{Began: time.Now()}
	targets := n.someTargets(service)
	round.Tried = len(targets)

	ctx, cancel := context.WithTimeout(n.workCtx, roundTimeout)
	defer cancel()

	var (
		all            sync.WaitGroup
		reached, reset atomic.Int64
	)

	for _, t := range targets {
		all.Go(func() {
			c, err := n.pool.Open(ctx, t.Address)
			switch {
			case err != nil:
			case relay.Holds(c, hold):
				reached.Add(1)
				cancel()
			default:
				reset.Add(1)
			}
		})
	}

	all.Wait()

	round.Reached, round.Reset = int(reached.Load()), int(reset.Load())

	return round
}

// someTargets returns at most roundTargets targets of a service, drawn at random.
func (n *Node) someTargets(service string) []inventory.Target {
	var out []inventory.Target

	for _, t := range n.knownTargets() {
		if t.Service == service {
			out = append(out, t)
		}
	}

	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })

	return out[:min(roundTargets, len(out))]
}

// Dialing implements relay.Reach.
func (r *reachability) Dialing(ctx context.Context, service string) (context.Context, context.CancelFunc) {
	r.mu.Lock()
	cut := r.of(service).cut
	r.mu.Unlock()

	ctx, cancel := context.WithCancel(ctx)
	slow := time.AfterFunc(slowDial, func() {
		r.begin(service)

		select {
		case <-cut:
			cancel()
		case <-ctx.Done():
		}
	})

	return ctx, func() {
		slow.Stop()
		cancel()
	}
}

// Neighbours implements relay.Reach. Of two drawn at random the stronger comes first.
func (r *reachability) Neighbours(service string) []relay.Neighbour {
	alive := r.node.peers.alive()
	now := time.Now()

	r.mu.Lock()
	avoided := r.of(service).avoided
	alive = slices.DeleteFunc(alive, func(m membership.Member) bool { return now.Before(avoided[m.ID]) })
	r.mu.Unlock()

	rand.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })

	alive = alive[:min(maxNeighbours, len(alive))]
	slices.SortStableFunc(alive, strongerFirst)

	out := make([]relay.Neighbour, len(alive))
	for i, m := range alive {
		out[i] = relay.Neighbour{ID: m.ID, Address: m.Address}
	}

	return out
}

// strongerFirst compares members by strength, the stronger first.
func strongerFirst(a, b membership.Member) int { return cmp.Compare(b.Strength, a.Strength) }

// Avoid implements relay.Reach.
func (r *reachability) Avoid(service string, id instance.ID) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.of(service).avoided[id] = time.Now().Add(jitter(avoidTime))
}

// countCutOff returns the number of services that this entry is cut off from.
func (r *reachability) countCutOff() int {
	r.mu.Lock()
	defer r.mu.Unlock()

	count := 0

	for _, s := range r.services {
		if s.CutOff() {
			count++
		}
	}

	return count
}
