package statement

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Departure is a process that has said that it leaves.
type Departure struct {
	Process Process
	// At is when an entry first heard it.
	At time.Time
}

// Departures are the processes that have said that they leave. None takes it back: only
// a new process of the target does not leave. The zero value is empty. It is safe for
// concurrent use.
type Departures struct {
	mu sync.Mutex
	at map[Process]time.Time
}

// Record records a departure. It returns false if it was known.
func (d *Departures) Record(departure Departure) bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	if _, known := d.at[departure.Process]; known {
		return false
	}

	if d.at == nil {
		d.at = make(map[Process]time.Time)
	}

	d.at[departure.Process] = departure.At

	return true
}

// Has reports whether the process has said that it leaves.
func (d *Departures) Has(p Process) bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	_, known := d.at[p]

	return known
}

// Len returns the number of departures.
func (d *Departures) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()

	return len(d.at)
}

// All returns all departures.
func (d *Departures) All() []Departure {
	d.mu.Lock()
	defer d.mu.Unlock()

	out := make([]Departure, 0, len(d.at))
	for p, at := range d.at {
		out = append(out, Departure{Process: p, At: at})
	}

	return out
}

// Sample returns at most n departures that other entries may not know, drawn at random.
// It holds no lock while it calls unknown.
func (d *Departures) Sample(n int, unknown func(Process) bool) []Departure {
	out := slices.DeleteFunc(d.All(), func(known Departure) bool { return !unknown(known.Process) })

	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })

	return out[:min(n, len(out))]
}

// departureRetention is how long a departure is kept of a process that is not listed. A
// process that left is gone by then. Its row may disappear and come back while the store
// is away.
const departureRetention = 2 * time.Minute

// Outdated reports whether a departure of a process that is not listed is forgotten.
func (d Departure) Outdated(now time.Time) bool { return now.Sub(d.At) > departureRetention }

// Retain deletes the outdated departures of processes that are not listed. It holds no
// lock while it calls listed.
func (d *Departures) Retain(listed func(Process) bool, now time.Time) {
	for _, departure := range d.All() {
		if departure.Outdated(now) && !listed(departure.Process) {
			d.remove(departure.Process)
		}
	}
}

func (d *Departures) remove(p Process) {
	d.mu.Lock()
	defer d.mu.Unlock()

	delete(d.at, p)
}
