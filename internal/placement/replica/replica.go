// Package replica decides which models are loaded on which targets. Its
// decisions are pure functions of their input: the package does no I/O and
// reads no clock.
package replica

import (
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/fleet/target"
	"github.com/fulmarcross/fulmarcross/internal/placement/ledger"
	"github.com/fulmarcross/fulmarcross/internal/platform/weight"
)

// Target is the state of a target that the holder of its cell has recorded.
type Target struct {
	ID           instance.ID
	Memory       int64
	Speed        float64
	Slots        int
	Accelerators int
	// Usable reports that the engine answers, is not leaving and, if it checks
	// fencing tokens, has received this holder's token.
	Usable bool
	// Lost reports that the target is leaving or does not answer, so that its
	// replicas do not count as serving.
	Lost   bool
	Cached map[string]target.Tier
	// LoadsLastHour is the number of loads in the last hour, which
	// [Weights].LoadsPerHour limits to prevent thrashing.
	LoadsLastHour int
}

// Demand is the demand for one model: that of one entry in its report, and the
// sum over all entries in a Snapshot.
type Demand struct {
	Model   string
	Plan    string
	Waiting int
	// Refused is the number of requests that were refused because of a predicted wait and
	// whose deadlines have not passed: without the prediction they would be waiting. It is
	// part of Waiting in merged demand.
	Refused int
	// Running is the number of requests that run on the model's replicas.
	Running int
	// Arrived is the number of requests that arrived at the entry since its
	// last report, including those that were refused at once. It is zero in
	// merged demand.
	Arrived int
	// Deadline is the earliest deadline of the waiting requests. Goal is the
	// earliest time by which one of them should start, among those that can
	// still start on time; zero means that there is none.
	Deadline, Goal time.Time
	Priority       int
}

// EarlierNonZero returns the earlier of two times. A zero time means that there
// is none.
func EarlierNonZero(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}

	return a
}

// Weights are the cost weights and limits of a decision. See [WeightsFor].
type Weights struct {
	// WaitCost is the cost of one second that a client waits for a cold model, in
	// seconds of one idle accelerator.
	WaitCost float64
	// KeepAlive is how long an idle replica stays loaded when there is no
	// forecast.
	KeepAlive time.Duration
	// ScaleUp is the ratio of waiting and running requests to slots above which
	// another replica is loaded.
	ScaleUp float64
	// LoadsPerHour limits the loads on one target.
	LoadsPerHour int
	// RetryBase and RetryMax bound the backoff after a failed load.
	RetryBase, RetryMax time.Duration
}

// Forecast predicts the use of models.
type Forecast interface {
	// Rate returns the predicted number of uses per second of a model at its
	// busiest moment in the given duration from now.
	Rate(model string, now time.Time, ahead time.Duration) float64
}

// Snapshot is the complete input of a decision.
type Snapshot struct {
	Now time.Time
	// Targets are sorted by id.
	Targets []Target
	Ledger  *ledger.Ledger
	Models  map[string]weight.Checkpoint
	Demand  []Demand
	// Forecast is nil if the use of the models has not been recorded.
	Forecast Forecast
	// Candidates are the models to consider for loading ahead of demand.
	Candidates []string
	// FreeLoads and FreeAdapterLoads are the numbers of loads of each kind that
	// may still start now.
	FreeLoads, FreeAdapterLoads int
	// BytesPerSecond is the observed speed of a remote load.
	BytesPerSecond float64
	// Accelerators is the number of accelerators of each plan. A plan that is
	// missing has no limit.
	Accelerators map[string]int
	Weights      Weights
}

// Decision is one of Load, Retire, CancelRetire, Predict and Deny.
type Decision interface{ decision() }

// Load starts the load of a replica.
type Load struct {
	Target instance.ID
	Model  string
	Base   string
	Bytes  int64
	Plan   string
	// ReadyIn is the predicted duration of the load.
	ReadyIn time.Duration
}

// Retire stops new requests to a replica and unloads it once it is idle.
type Retire struct {
	Target instance.ID
	Model  string
	// ForModel is the model that needs the memory, if any.
	ForModel string
}

// CancelRetire cancels the retirement of a replica, so that it accepts requests
// again.
type CancelRetire struct {
	Target instance.ID
	Model  string
}

// Predict predicts when a model that requests wait for will be ready.
type Predict struct {
	Model   string
	ReadyIn time.Duration
}

// Deny reports that no replica of a model can be loaded.
type Deny struct {
	Model      string
	Reason     string
	RetryAfter time.Duration
}

func (Load) decision()         {}
func (Retire) decision()       {}
func (CancelRetire) decision() {}
func (Predict) decision()      {}
func (Deny) decision()         {}

// Reasons for a Deny.
const (
	ReasonUnknown  = "no such checkpoint"
	ReasonTooLarge = "no target is large enough"
	ReasonNoTarget = "no target can be used"
	ReasonBusy     = "all memory is in use"
	ReasonFailing  = "its loads fail"
	ReasonThrash   = "its targets have loaded too often"
)
