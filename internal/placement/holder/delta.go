package holder

import (
	"slices"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

// Delta is what changed between two news of one holder.
type Delta struct {
	// News is the newer one; of its stations only those that changed are
	// there.
	News
	// Base is the number of the news that it builds on; zero means that it is
	// whole.
	Base uint64
	// Gone are the targets that the newer one no longer has.
	Gone []instance.ID
}

// runningStep is by how many running requests a station must differ to be sent
// again for that alone. The count moves with every request, and a choice of
// targets is the same for two more or less.
const runningStep = 3

// Since returns what changed since old, which may be of another holder.
//
// It answers the load of many entries and targets: of the whole news to all at
// each change a single station has changed.
func (n News) Since(old News) Delta {
	d := Delta{News: n}
	if old.Token != n.Token || old.Process != n.Process || old.Number == 0 {
		return d
	}

	d.Base = old.Number
	d.Stations = nil

	was := make(map[instance.ID]*Station, len(old.Stations))
	for i := range old.Stations {
		was[old.Stations[i].Target] = &old.Stations[i]
	}

	for _, s := range n.Stations {
		o := was[s.Target]
		delete(was, s.Target)

		if o == nil || !o.like(&s) {
			d.Stations = append(d.Stations, s)
		}
	}

	for id := range was {
		d.Gone = append(d.Gone, id)
	}

	return d
}

// like reports whether an entry that knows s need not be told of o.
func (s *Station) like(o *Station) bool {
	apart := s.Running - o.Running

	return s.Born == o.Born && s.Sequence == o.Sequence && s.Lines == o.Lines && max(apart, -apart) < runningStep && slices.EqualFunc(s.Held, o.Held, Held.equal)
}

func (h Held) equal(o Held) bool {
	return h.Model == o.Model && h.Ready.Equal(o.Ready) && slices.EqualFunc(h.Adapters, o.Adapters, func(a, b Adapter) bool {
		return a.Name == b.Name && a.Ready.Equal(b.Ready)
	})
}

// Merge returns the news with a delta taken in. It reports false when the delta
// builds on other news than these.
func (n News) Merge(d Delta) (News, bool) {
	out := d.News
	if d.Base == 0 {
		return out, true
	}

	if n.Token != d.Token || n.Process != d.Process || n.Number != d.Base {
		return n, false
	}

	changed := make(map[instance.ID]bool, len(d.Stations)+len(d.Gone))
	for _, s := range d.Stations {
		changed[s.Target] = true
	}

	for _, id := range d.Gone {
		changed[id] = true
	}

	out.Stations = slices.Clone(d.Stations)

	for _, s := range n.Stations {
		if !changed[s.Target] {
			out.Stations = append(out.Stations, s)
		}
	}

	return out, true
}

// Mailbox is what one entry is to be told and has been told. The zero value
// has told nothing.
type Mailbox struct {
	told   News
	latest News
}

// Post replaces what the entry is to be told.
func (m *Mailbox) Post(latest News) { m.latest = latest }

// Next returns what the entry must be told now.
func (m *Mailbox) Next() Delta { return m.latest.Since(m.told) }

// Told notes that the entry took in a delta.
func (m *Mailbox) Told(d Delta) {
	if told, ok := m.told.Merge(d); ok {
		m.told = told
	}
}

// Forget makes the next delta a whole one, because it is not known what the
// entry has.
func (m *Mailbox) Forget() { m.told = News{} }
