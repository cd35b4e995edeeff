// Package replica decides which models are loaded where. Its decisions are
// pure functions of values: it does no I/O and reads no clock.
package replica

import (
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
	"github.com/fulmarcross/fulmarcross/internal/placement/ledger"
	"github.com/fulmarcross/fulmarcross/internal/platform/weight"
)

// Target is a target as the holder of its cell sees it.
type Target struct {
	ID           instance.ID
	Memory       int64
	Speed        float64
	Slots        int
	Accelerators int
	// Usable says that the engine answers, is not leaving and has seen this
	// holder's token if it checks tokens.
	Usable bool
	// Lost says that the target is leaving or does not answer, so that its
	// replicas do not count as serving.
	Lost   bool
	Cached map[string]target.Tier
	// LoadsLastHour bounds thrashing.
	LoadsLastHour int
}

// Demand is what all entries together ask of one model.
type Demand struct {
	Model   string
	Plan    string
	Waiting int
	// Running is how many requests run on the model's replicas.
	Running int
	// Arrived is how many requests came since the last report, those that were
	// refused at once among them.
	Arrived int
	// Deadline is the earliest deadline of the waiting requests, and Goal the
	// earliest time by which one of them should begin of those that still can be
	// on time; zero means none.
	Deadline, Goal time.Time
	Priority       int
}

// Soonest returns the earlier of two times of which zero means never.
func Soonest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}

	return a
}

// Terms are the times and bounds of the policy. See Weigh.
type Terms struct {
	// Worth is how many seconds of one idle accelerator a second of a caller's
	// wait for a cold model is worth.
	Worth float64
	// KeepAlive is how long an idle replica stays loaded when there is no
	// forecast.
	KeepAlive time.Duration
	// ScaleUp is the use of slots above which another replica is loaded.
	ScaleUp float64
	// LoadsPerHour bounds the loads on one target.
	LoadsPerHour int
	// RetryBase and RetryMax bound the wait after a failed load.
	RetryBase, RetryMax time.Duration
}

// Forecast tells how models are expected to be used.
type Forecast interface {
	// Rate returns how many uses a second a model may be expected to get at
	// its busiest moment between now and ahead from now.
	Rate(model string, now time.Time, ahead time.Duration) float64
}

// View is all that a decision depends on.
type View struct {
	Now time.Time
	// Targets are sorted by id.
	Targets []Target
	Book    *ledger.Ledger
	Models  map[string]weight.Checkpoint
	Demand  []Demand
	// Forecast is nil when nothing is known of the models' use.
	Forecast Forecast
	// Candidates are the models that are worth a look for loading ahead of
	// their use.
	Candidates []string
	// FreeLoads and FreeAdapterLoads are how many more loads of each kind may
	// start now.
	FreeLoads, FreeAdapterLoads int
	// BytesPerSecond is the measured speed of a remote load.
	BytesPerSecond float64
	// Accelerators is how many accelerators each plan has; a plan that is
	// missing has no bound.
	Accelerators map[string]int
	Terms        Terms
}

// Decision is one thing to do.
type Decision interface{ decision() }

// Load asks for a replica.
type Load struct {
	Target instance.ID
	Model  string
	Base   string
	Bytes  int64
	Plan   string
	// Ready is how long the load is expected to take.
	Ready time.Duration
}

// Retire asks for a replica to take no new work and to be unloaded when it
// is idle.
type Retire struct {
	Target instance.ID
	Model  string
	// For is the model that needs the memory, if any.
	For string
}

// Revive asks for a replica that was to be retired to take work again.
type Revive struct {
	Target instance.ID
	Model  string
}

// Expect says when a waiting model will be ready.
type Expect struct {
	Model string
	Ready time.Duration
}

// Deny says that no replica can be had.
type Deny struct {
	Model      string
	Reason     string
	RetryAfter time.Duration
}

func (Load) decision()   {}
func (Retire) decision() {}
func (Revive) decision() {}
func (Expect) decision() {}
func (Deny) decision()   {}

// Reasons of a denial.
const (
	ReasonUnknown  = "no such checkpoint"
	ReasonTooLarge = "no target is large enough"
	ReasonNoTarget = "no target can be used"
	ReasonBusy     = "all memory is in use"
	ReasonFailing  = "its loads fail"
	ReasonThrash   = "its targets have loaded too often"
)
