package swap

import (
	"math"
	"slices"

	"github.com/fulmarcross/fulmarcross/internal/serving/route"
)

// size is the memory that a model takes on a target, in MB. Zero means that it is not known.
type size float64

func (s size) known() bool { return s > 0 }

// room is the memory for weights of one target, as a load assumes it. A model of unknown size
// takes all of it.
type room struct {
	// usableMB is the target's memory without the part that is reserved for adapters.
	usableMB float64
	// takenMB is what models of known size take, and what must stay free for late orders.
	takenMB float64
	// unknown is the number of models whose sizes are not known.
	unknown int
}

// take adds a model that takes room, and release removes one.
func (r *room) take(s size) {
	if !s.known() {
		r.unknown++

		return
	}

	r.takenMB += float64(s)
}

func (r *room) release(s size) {
	if !s.known() {
		r.unknown--

		return
	}

	r.takenMB -= float64(s)
}

// freeMB returns the memory that is free.
func (r *room) freeMB() float64 {
	if r.unknown > 0 {
		return math.Inf(-1)
	}

	return r.usableMB - r.takenMB
}

// fits reports whether a model can be loaded. One of unknown size needs all of the room.
func (r *room) fits(s size) bool {
	if !s.known() {
		return r.unknown == 0 && r.takenMB <= 0
	}

	return r.freeMB() >= float64(s)
}

// recordRoom records what a swap assumes of its target's memory.
func (d *decider) recordRoom(s *Swap) {
	for i := range d.Targets {
		t := &d.Targets[i]
		if t.ID != s.Target {
			continue
		}

		left := d.rooms[i]

		for _, r := range t.Resident {
			if slices.Contains(s.Unload, r.Model) {
				left.release(d.sizeOf(&r))
			}
		}

		s.FreeMB, s.ReservedMB = left.freeMB(), t.ReservedMB
	}
}

// sizeOf returns the size of a model that is on a target. The configuration may state another
// one by now, or none.
func (d *decider) sizeOf(r *ResidentModel) size {
	return size(max(r.MB, d.Engine.Models[r.Model].MB))
}

// needOf returns the size of a model that may be loaded.
func needOf(m route.Model) size { return size(m.MB) }
