package site

import (
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/standin/network"
)

// Silence cuts an entry off from calls of the other entries or ends that. It needs a
// network with a delay.
func (s *Site) Silence(e *Entry, silent bool) { s.network.Silence(e.Peers, silent) }

// Slow limits what an entry may send and receive to so many bytes a second; zero ends
// that. It needs a network with a delay.
func (s *Site) Slow(e *Entry, bytesPerSecond float64) { s.network.SetRate(e.Peers, bytesPerSecond) }

// CutTargets partitions an entry from all targets, or ends that. It needs a network with a
// delay.
func (s *Site) CutTargets(e *Entry, c network.Cut) {
	s.mu.Lock()
	defer s.mu.Unlock()

	for _, t := range s.targets {
		s.network.SetCut(e.Peers, t.Address, c)
	}
}

// CutTarget partitions an entry from one target, or ends that. It needs a network with a
// delay.
func (s *Site) CutTarget(e *Entry, id instance.ID, c network.Cut) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.network.SetCut(e.Peers, s.targets[id].Address, c)
}

// CutPeers partitions the connections that an entry opens to another, or ends that. It needs
// a network with a delay.
func (s *Site) CutPeers(from, to *Entry, c network.Cut) {
	s.network.SetCut(from.Peers, to.Peers, c)
}
