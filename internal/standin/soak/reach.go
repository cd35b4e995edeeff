package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/standin/worker"
)

// The users' rule on entries that are cut off from all targets. From contact after the cut
// began, their share of served first tries is at least minCutShare of that of the others, or
// no more than cutFailures and one in cutFailuresPart of all first tries fail there.
const (
	minCutShare     = 2.0 / 3
	cutFailures     = 10
	cutFailuresPart = 50
	// cutLength is the least duration of a cut, so that some of it is judged.
	cutLength = contact + 2*time.Second
	// brittleTurned is how many requests brittle targets turn away in a second, and
	// brittleDown how long they are down after they have fallen over.
	brittleTurned = 5
	brittleDown   = 2 * time.Second
	// deskSlots and deskQueue are the room of a plain target.
	deskSlots, deskQueue = 6, 24
	// quiet is how long a sound target falls silent.
	quiet = time.Second
)

var cutTroubles = []Trouble{Silent, Reset, Refuse}

// makeReach are the troubles in which entries do not reach targets, and in which targets are
// brittle or silent for a second.
func (s *soak) makeReach(draw *rand.Rand, p *process, engine, desk instance.ID) []event {
	t := cutTroubles[draw.IntN(len(cutTroubles))]
	silent := linkTrouble("to "+string(engine), s.targets[engine], Silent, engine)
	silent.most = quiet

	return []event{s.cutOff(p, t), s.cutOff(p, t), s.makeBrittle(desk), silent}
}

// cutOff cuts an entry off from all targets.
func (s *soak) cutOff(p *process, t Trouble) event {
	var began time.Time

	set := func(t Trouble) {
		for _, link := range s.targets {
			link.cut(p.name, t)
		}
	}

	return event{
		name: fmt.Sprintf("%s is cut off from all targets: %v", p.name, t), least: cutLength,
		begin: func() {
			began = time.Now()

			set(t)
		},
		end: func() {
			s.cuts.add(p.name, began, time.Now())
			set(Calm)
		},
	}
}

// makeBrittle makes a plain target brittle, which lets fewer wait from contact on.
func (s *soak) makeBrittle(desk instance.ID) event {
	w := &s.site.Desks[desk].Worker
	b := worker.Brittle{Turned: brittleTurned, Slots: deskSlots, Waiting: deskQueue, Down: brittleDown}

	var (
		before int
		began  time.Time
		fewer  *time.Timer
	)

	return event{
		name: string(desk) + " is brittle", least: cutLength,
		begin: func() {
			began, before = time.Now(), w.Falls()
			w.SetBrittle(&b)

			fewer = time.AfterFunc(contact, func() {
				none := b
				none.Waiting = 0
				w.SetBrittle(&none)
			})
		},
		end: func() {
			fewer.Stop()
			w.SetBrittle(nil)
			s.cuts.fell(string(desk), w.Falls()-before, began)
		},
	}
}

// cuts are the times in which entries were cut off, and the targets that fell over too often.
type cuts struct {
	mu    sync.Mutex
	spans map[string][]span
	falls []string
}

func (c *cuts) add(entry string, from, to time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.spans == nil {
		c.spans = make(map[string][]span)
	}

	c.spans[entry] = append(c.spans[entry], span{from, to})
}

// maxFalls is how often the targets of a service may fall over while one is brittle: 2 and a
// tenth of their number, which is less than one here.
const maxFalls = 2

func (c *cuts) fell(target string, times int, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()

	if times > maxFalls {
		c.falls = append(c.falls, fmt.Sprintf("%s fell over %d times within %v", target, times, time.Since(since).Round(time.Second)))
	}
}

// broken returns what the rules do not allow.
func (c *cuts) broken(b *book, e *excuses) []string {
	c.mu.Lock()
	defer c.mu.Unlock()

	out := c.falls

	for entry, spans := range c.spans {
		for _, cut := range spans {
			judged := span{cut.from.Add(contact), cut.to}
			if e.overlap(entry, cut.from.Add(-contact), cut.to) {
				continue
			}

			if text := c.judge(b, e, entry, judged); text != "" {
				out = append(out, text)
			}
		}
	}

	return out
}

// tries counts first tries.
type tries struct{ sent, served int }

// judge judges one cut. The caller holds the lock.
func (c *cuts) judge(b *book, e *excuses, entry string, judged span) string {
	var there, others tries

	b.mu.Lock()
	defer b.mu.Unlock()

	for id, at := range b.sent {
		sender := senderOf(id)
		if !strings.HasPrefix(id, "soak-"+free) || at.Before(judged.from) || at.After(judged.to) {
			continue
		}

		counted := &others

		switch {
		case sender == entry:
			counted = &there
		case c.overlap(sender, judged) || e.overlap(sender, judged.from.Add(-contact), judged.to):
			continue
		}

		counted.sent++

		if b.served[id] {
			counted.served++
		}
	}

	return there.breaks(others, entry)
}

// overlap reports whether an entry is cut off at any time of a span.
func (c *cuts) overlap(entry string, s span) bool {
	for _, cut := range c.spans[entry] {
		if cut.from.Before(s.to) && s.from.Before(cut.to) {
			return true
		}
	}

	return false
}

// breaks says how the first tries at an entry that is cut off break the rule, if they do.
func (t tries) breaks(others tries, entry string) string {
	failed := t.sent - t.served
	enough := float64(t.served)*float64(others.sent) >= minCutShare*float64(others.served)*float64(t.sent)

	if enough || failed <= cutFailures+(t.sent+others.sent)/cutFailuresPart {
		return ""
	}

	return fmt.Sprintf("%s, cut off from all targets, served %d of %d first tries, the others %d of %d", entry, t.served, t.sent, others.served, others.sent)
}
