package holder

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

// Edition names news in short. The zero value names none.
type Edition struct {
	Token uint64
	// Process is a hash of the holder's process.
	Process uint64
	Number  uint64
}

// Edition returns the news' name.
func (n News) Edition() Edition {
	if n.Process == "" {
		return Edition{}
	}

	return Edition{Token: n.Token, Process: xxhash.Sum64String(n.Process), Number: n.Number}
}

// Delta is what changed between two news.
type Delta struct {
	// News is the newer one; of its stations only those that changed in more
	// than their counts are there.
	News
	// Base is the news that it builds on; the zero value means that it is whole.
	Base Edition
	// Counts are the stations of which only the counts changed.
	Counts []Count
	// Gone are the targets that the newer one no longer has.
	Gone []instance.ID
}

// Count is how many requests run on and wait for one target.
type Count struct {
	Target         instance.ID
	Running, Lines int
}

const (
	// runningStep is by how many running requests a station must differ to be
	// sent again for that alone. The count moves with every request, and a choice
	// of targets is the same for two more or less.
	runningStep = 3
	// readyStep is the same for the time at which a load ends: two entries know
	// it by messages that took some time.
	readyStep = 30 * time.Millisecond
)

// counts reports whether an entry that knows s need not be told of the counts
// of o: the running requests are less than so many apart.
func (s *Station) counts(o *Station, apart int) bool {
	grown := o.Running - s.Running

	return s.Lines == o.Lines && max(grown, -grown) < apart
}

// holds reports whether an entry that knows s need not be told of what o holds.
func (s *Station) holds(o *Station, now time.Time) bool {
	return s.Born == o.Born && s.Sequence == o.Sequence &&
		(same(s.Held, o.Held) || slices.EqualFunc(s.Held, o.Held, func(a, b Held) bool { return a.like(b, now) }))
}

// same reports whether two lists are one in memory, as they are of all stations
// of which nothing was heard.
func same(a, b []Held) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func (h Held) like(o Held, now time.Time) bool {
	return h.Model == o.Model && readyLike(h.Ready, o.Ready, now) && slices.EqualFunc(h.Adapters, o.Adapters, func(a, b Adapter) bool {
		return a.Name == b.Name && readyLike(a.Ready, b.Ready, now)
	})
}

// readyLike reports whether two ends of a load are the same to an entry that
// hears of them at now: what is ready is ready.
func readyLike(a, b, now time.Time) bool {
	if !a.After(now) || !b.After(now) {
		return a.After(now) == b.After(now)
	}

	return a.Sub(b).Abs() < readyStep
}
