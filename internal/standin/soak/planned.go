package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"
)

const (
	// hups is how often SIGHUP follows SIGTERM, and hupMost the longest time between two of them.
	hups    = 3
	hupMost = time.Second
	// herdShare is the share of the entries that are killed at once.
	herdShare = 0.6
)

func (s *soak) kill(p *process) {
	began := time.Now()

	p.signal(syscall.SIGKILL)
	s.harmed.add(p.name, began, time.Now().Add(backAfter))
}

func (s *soak) freeze(p *process) { p.signal(syscall.SIGSTOP) }

func (s *soak) thaw(p *process) {
	p.signal(syscall.SIGCONT)
	s.thawed.add(p.name, time.Now(), time.Now().Add(thawTime))
	s.harmed.add(p.name, time.Now().Add(-troubleMost), time.Now())
}

// makeSignals are the troubles in which signals come in series, and to many entries at once.
func (s *soak) makeSignals(draw *rand.Rand, p *process) []event {
	pauses := make([]time.Duration, hups)
	for i := range pauses {
		pauses[i] = time.Duration(draw.Int64N(int64(hupMost)))
	}

	first := draw.IntN(len(s.processes))
	hup := event{name: p.name + " is stopped, and its settings change", begin: func() { s.stopAndReload(p, pauses) }, excuses: p.name, after: stoppedAfter}

	return []event{hup, hup, s.herd(first, herdShare), s.herd(first, 1)}
}

// stopAndReload sends SIGTERM, and SIGHUP again and again while the process stops. The settings
// file is broken at the first of them.
func (s *soak) stopAndReload(p *process, pauses []time.Duration) {
	p.signal(syscall.SIGTERM)

	for i, pause := range pauses {
		time.Sleep(pause)

		settings := p.settings
		if i == 0 {
			settings = nil
		}

		_ = writeSettings(p.path, settings) // A process that starts without settings is started again.

		p.signal(syscall.SIGHUP)
	}
}

// herd kills a share of the entries at once, beginning with the first.
func (s *soak) herd(first int, share float64) event {
	n := int(share * float64(len(s.processes)))

	return event{
		name: fmt.Sprintf("%d of %d entries are killed at once", n, len(s.processes)),
		begin: func() {
			began := time.Now()

			for i := range n {
				p := s.processes[(first+i)%len(s.processes)]
				s.kill(p)
				s.excuses.add(p.name, began, time.Now().Add(backAfter))
			}
		},
	}
}

// lost are the requests whose connections ended without an answer.
type lost struct{ ids []string }

// note notes a request to a plain target whose connection ended. Streams end so when their targets
// fail, and a client gives up after its timeout.
func (l *lost) note(id string, k kind, err error) {
	if k.model == "" && !errors.Is(err, context.DeadlineExceeded) {
		l.ids = append(l.ids, id)
	}
}

// endedAlone describes the processes that ended by themselves.
func (s *soak) endedAlone() []string {
	var out []string

	for _, p := range s.processes {
		p.mu.Lock()
		out = append(out, p.ends...)
		p.mu.Unlock()
	}

	return out
}

// lostAnswers describes requests that a process had read, since a target ran them, and that got no
// answer, though nobody had killed or frozen the process.
func (s *soak) lostAnswers() []string {
	var out []string

	for _, id := range s.book.lost.ids {
		sent, sender := s.book.sent[id], senderOf(id)

		if !strings.HasPrefix(id, "soak-") || strings.Contains(id, "-flood") || s.site.Runs(id) == 0 || s.harmed.overlap(sender, sent.Add(-contact), sent.Add(callFor+contact)) {
			continue
		}

		out = append(out, fmt.Sprintf("%s ran and got no answer from %s", id, sender))
	}

	return out
}
