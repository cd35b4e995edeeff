package peer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func after(seconds int) time.Time { return now.Add(time.Duration(seconds) * time.Second) }

func newSet() *Set { return &Set{Self: "a", Timing: DefaultTiming()} }

func TestEntries(t *testing.T) {
	s := newSet()
	assert.DeepEqual(t, s.Entries(), []instance.ID{"a"})

	s.Receive(Status{ID: "c"}, now)
	s.Receive(Status{ID: "b"}, after(1))
	assert.DeepEqual(t, s.Entries(), []instance.ID{"a", "b", "c"})

	s.Refresh(after(3))
	assert.DeepEqual(t, s.Entries(), []instance.ID{"a", "b"})
	assert.Equal(t, len(s.Statuses(after(3))), 1)

	s.Receive(Status{ID: "b", Draining: true}, after(3))
	assert.DeepEqual(t, s.Entries(), []instance.ID{"a"})
}

// TestGone covers a list that lags: an instance counts as gone only when it has been
// missing for longer than the lag, even if it was never listed.
func TestGone(t *testing.T) {
	s := newSet()
	assert.Assert(t, !s.Gone("x", after(999)), "the list was never read")

	x := instance.Instance{ID: "x", Role: instance.Engine}
	s.UpdateList([]instance.Instance{x}, now)
	assert.Assert(t, !s.Gone("x", after(999)))

	s.UpdateList(nil, after(10))
	assert.Assert(t, !s.Gone("x", after(20)))
	assert.Assert(t, s.Gone("x", after(21)))
	assert.Assert(t, !s.Gone("y", after(10)), "never listed, and the list was first read ten seconds ago")
	assert.Assert(t, s.Gone("y", after(11)))

	s.UpdateList([]instance.Instance{x}, after(22))
	assert.Assert(t, !s.Gone("x", after(99)))
}

// TestFinishedWith checks what counts as proof that a former holder neither holds the
// cell's lease nor has an order in flight for it.
func TestFinishedWith(t *testing.T) {
	takeover := after(10)
	listed := []instance.Instance{{ID: "b", Role: instance.Entry}}

	for name, tc := range map[string]struct {
		status *Status
		at     time.Time
		list   []instance.Instance
		want   bool
	}{
		"no status":                       {list: listed},
		"status from before the takeover": {status: &Status{ID: "b", Process: "p"}, at: after(9), list: listed},
		"still reports the lease":         {status: &Status{ID: "b", Process: "p", Leases: []Lease{{Cell: 3, Token: 1}}}, at: after(11), list: listed},
		"has an order in flight":          {status: &Status{ID: "b", Process: "p", OrdersInFlight: []int{3}}, at: after(11), list: listed},
		"has one for another cell":        {status: &Status{ID: "b", Process: "p", OrdersInFlight: []int{4}}, at: after(11), list: listed, want: true},
		"reports neither lease nor order": {status: &Status{ID: "b", Process: "p"}, at: after(11), list: listed, want: true},
		"another process on the instance": {status: &Status{ID: "b", Process: "q", Leases: []Lease{{Cell: 3}}}, at: after(11), list: listed, want: true},
		"off the list":                    {want: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSet()
			s.UpdateList(tc.list, now)

			if tc.status != nil {
				s.Receive(*tc.status, tc.at)
			}

			assert.Equal(t, s.ProvedIdle("b", "p", 3, takeover, after(12)), tc.want)
		})
	}
}
