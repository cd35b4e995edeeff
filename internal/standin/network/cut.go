package network

import (
	"context"
	"net/netip"
	"syscall"
	"time"
)

// Cut is a partition between two addresses.
type Cut int

// The partitions.
const (
	// Whole is none.
	Whole Cut = iota
	// Silent keeps connections open and delivers nothing. New ones hang.
	Silent
	// Reset resets connections and refuses new ones.
	Reset
	// Refuse refuses new connections and leaves those that are open.
	Refuse
	// Break resets connections, and new ones as soon as they have opened.
	Break
	// Still opens connections and takes what is written, and delivers nothing until it ends, as a
	// process does that stands still. What was written is then delivered although its sender has
	// closed the connection.
	Still
)

func (c Cut) String() string {
	return [...]string{Whole: "whole", Silent: "silent", Reset: "reset", Refuse: "refuse", Break: "break", Still: "still"}[c]
}

// SetCut partitions the process that dials from an address from the one that listens on
// another, or ends that. It has an effect on open connections only if Delay is set.
func (n *Network) SetCut(from, at netip.AddrPort, c Cut) {
	n.mu.Lock()

	if n.cuts == nil {
		n.cuts = make(map[[2]netip.AddrPort]Cut)
	}

	n.cuts[[2]netip.AddrPort{from, at}] = c

	var broken []*delayed

	for _, d := range n.ends {
		if (c == Reset || c == Break) && d.at == at && (d.from == from || d.to == from) {
			broken = append(broken, d)
		}
	}
	n.mu.Unlock()

	for _, d := range broken {
		d.reset.Store(true)
	}

	for _, d := range broken {
		_ = d.Conn.Close() // Both ends then fail.
	}
}

func (n *Network) cutBetween(from, at netip.AddrPort) Cut {
	n.mu.Lock()
	defer n.mu.Unlock()

	return n.cuts[[2]netip.AddrPort{from, at}]
}

// connectTimeout is how long a connection may take to open.
const connectTimeout = 5 * time.Second

// awaitHealed waits until a silent partition ends.
func (n *Network) awaitHealed(ctx context.Context, from, at netip.AddrPort) error {
	for end := time.Now().Add(connectTimeout); n.cutBetween(from, at) == Silent; {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(silencePoll):
		}

		if time.Now().After(end) {
			return syscall.ETIMEDOUT
		}
	}

	return nil
}

// held reports whether a partition keeps a connection from delivering, and whether the other
// end's kernel has what was written, so that its sender cannot call it back.
func (d *delayed) held() (held, accepted bool) {
	from := d.from
	if from == d.at {
		from = d.to
	}

	c := d.network.cutBetween(from, d.at)

	return c == Silent || c == Still || d.network.isSilent(d.at), c == Still
}
