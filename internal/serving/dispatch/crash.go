package dispatch

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/serving/crash"
	"github.com/fulmarcross/fulmarcross/internal/serving/request"
)

// Crashes knows which requests crash targets. Both serving paths ask it. Set the exported
// fields before use.
type Crashes struct {
	// OnDeath is called with what this entry has observed of a death that is proved.
	OnDeath func(crash.Testimony)
	// OnConviction is called with what the deaths known here convict. It may be nil.
	OnConviction func(request.Fingerprint)
	// OnReversal is called with what they do not convict any more. It may be nil.
	OnReversal func(request.Fingerprint)
	// OnDue is called with what has had as many deaths under it as are allowed, whatever explains
	// them. It may be nil.
	OnDue func(request.Fingerprint)
	// OnRefuted is called with what is restricted for deaths that are withdrawn or doubted by now. It
	// may be nil.
	OnRefuted func(request.Fingerprint)
	// MayProbe asks whether one request may run although something that others have, too, is
	// blocked. EndProbe is called when such a request has not run, and with whether it was sent
	// to a target. They may be nil.
	MayProbe func(context.Context, []request.Fingerprint) bool
	EndProbe func(fps []request.Fingerprint, sent bool)
	// OnAcquittal is called when a request with a blocked fingerprint has run soundly here,
	// at the time given. It may be nil.
	OnAcquittal func(request.Fingerprint, time.Time)

	// LivesOn reports whether an incarnation of a target that has answered runs a moment later, for
	// which it waits. If it is nil, an answer alone shows that a request is sound.
	LivesOn func(crash.Death) bool

	mu    sync.Mutex
	judge crash.Judge
	runs  crash.Runs
	// doubted are the answered runs whose targets have to live on, by their processes. A process for
	// which that is being found out has an entry.
	doubted map[crash.Death][]*crash.Run
	// active says that something is suspected or blocked. While it is false, as usual,
	// no request needs the lock to be asked about.
	active atomic.Bool
}

// BeginRun records that a request is sent to an incarnation of a target. The caller ends it
// with EndRun.
func (c *Crashes) BeginRun(target instance.ID, incarnation string, req *request.Request) *crash.Run {
	fps := req.Fingerprints()

	c.mu.Lock()
	defer c.mu.Unlock()

	run := c.runs.Begin(crash.Death{Target: target, Incarnation: incarnation}, fps, time.Now())
	run.Model = req.Model

	return run
}

// WriteRun records that a part of a run's answer has arrived. A nil run is none of this
// entry's.
func (c *Crashes) WriteRun(run *crash.Run) {
	if run == nil {
		return
	}

	c.mu.Lock()

	now := time.Now()
	if !c.runs.Write(run, now) {
		c.mu.Unlock()

		return
	}

	c.acquit(run, now)
}

// EndRun records how a run ended. Only the first call for a run has an effect.
func (c *Crashes) EndRun(run *crash.Run, o crash.Outcome) {
	c.mu.Lock()

	now := time.Now()
	if !c.runs.End(run, o, now) {
		c.mu.Unlock()

		return
	}

	if c.LivesOn != nil && c.judge.Doubts(run.Fingerprints(), now) {
		c.doubt(run)
		c.mu.Unlock()

		return
	}

	c.acquit(run, now)
}

// acquit records a run that is now known to be sound. The caller holds the lock, which acquit
// releases.
func (c *Crashes) acquit(run *crash.Run, now time.Time) {
	acquitted := c.judge.RecordSound(run.Fingerprints(), run.SoundAt(), now)
	c.judge.CountSound(run.Model, run.Fingerprints(), run.SoundAt(), now)
	c.unlock()

	if c.OnAcquittal == nil {
		return
	}

	for _, fp := range acquitted {
		c.OnAcquittal(fp, run.SoundAt())
	}
}

// unlock releases the lock after a change of what the judge knows, and reports what it
// convicts.
func (c *Crashes) unlock() {
	c.active.Store(!c.judge.Idle())
	convicted, reversed := c.judge.TakeChanges()
	due, refuted := c.judge.TakeDue(), c.judge.TakeRefuted()
	c.mu.Unlock()

	for _, fp := range refuted {
		if c.OnRefuted != nil {
			c.OnRefuted(fp)
		}
	}

	for _, fp := range due {
		if c.OnDue != nil {
			c.OnDue(fp)
		}
	}

	for _, fp := range convicted {
		if c.OnConviction != nil {
			c.OnConviction(fp)
		}
	}

	for _, fp := range reversed {
		if c.OnReversal != nil {
			c.OnReversal(fp)
		}
	}
}

// Suspect records that an incarnation of a target refuses connections and seems to have died.
// Prove or Retract must follow.
func (c *Crashes) Suspect(d crash.Death) {
	c.mu.Lock()
	defer c.unlock()

	now := time.Now()
	c.runs.Refuse(d, now)
	c.judge.Testify(c.runs.Testimony(d, now), now)
}

// Prove records that an incarnation of a target has ended.
func (c *Crashes) Prove(d crash.Death) {
	c.mu.Lock()
	now := time.Now()
	t := c.runs.Testimony(d, now)
	c.judge.Testify(t, now)
	c.judge.End(d, now)
	c.unlock()

	if c.OnDeath != nil && len(t.Exposed) > 0 {
		c.OnDeath(t)
	}
}

// ProveIfSilent does the same if the target has runs without an answer and has written
// nothing for a while.
func (c *Crashes) ProveIfSilent(d crash.Death) {
	c.mu.Lock()
	silent := c.runs.Silent(d, time.Now())
	c.mu.Unlock()

	if silent {
		c.Prove(d)
	}
}

// Quiet returns the incarnations of targets that have sent nothing for a while although they
// run requests of this entry.
func (c *Crashes) Quiet() []crash.Quiet {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.runs.Quiet(time.Now())
}

// Silence records that a quiet incarnation of a target opens no connection either. It may have
// been crashed; nothing else need prove it.
func (c *Crashes) Silence(d crash.Death) {
	c.mu.Lock()
	now := time.Now()
	t, silent := c.runs.Silence(d, now)

	if silent {
		c.judge.Testify(t, now)
	}

	c.unlock()

	if silent && c.OnDeath != nil {
		c.OnDeath(t)
	}
}

// Silent returns the processes that are silent and not known to have ended, to be asked again.
func (c *Crashes) Silent() []crash.Death {
	if !c.active.Load() {
		return nil
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	return c.judge.Silent(time.Now())
}

// Reopen records whether a silent process's target opens connections again.
func (c *Crashes) Reopen(d crash.Death, opens bool) {
	c.mu.Lock()
	defer c.unlock()

	c.judge.Reopen(d, opens, time.Now())
}

// WithdrawSilences records that targets which were silent have written again.
func (c *Crashes) WithdrawSilences() {
	c.mu.Lock()
	now := time.Now()
	heard := c.runs.TakeHeard()

	for _, t := range heard {
		c.judge.Testify(t, now)
	}

	c.unlock()

	for _, t := range heard {
		if c.OnDeath != nil {
			c.OnDeath(t)
		}
	}
}

// Retract records that an incarnation of a target ran at a time, so that it had not ended
// before.
func (c *Crashes) Retract(d crash.Death, ranAt time.Time) {
	c.mu.Lock()
	defer c.unlock()

	c.judge.Retract(d, ranAt, time.Now())
}

// Testify adds what a peer has observed of a death.
func (c *Crashes) Testify(t crash.Testimony) {
	c.mu.Lock()
	defer c.unlock()

	c.judge.Testify(t, time.Now())
}

// RecordSound records that a peer has had a request with the fingerprint run soundly.
func (c *Crashes) RecordSound(fp request.Fingerprint, at time.Time) {
	c.mu.Lock()
	defer c.unlock()

	c.judge.RecordSound([]request.Fingerprint{fp}, at, time.Now())
}

// LastSound returns when a request with the fingerprint last ran soundly here.
func (c *Crashes) LastSound(fp request.Fingerprint) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.judge.LastSound(fp, time.Now())
}

// SoundSince returns how many sound runs of this entry began after a time, by their models.
func (c *Crashes) SoundSince(fp request.Fingerprint, at time.Time) map[string]crash.SoundRuns {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.judge.SoundSince(fp, at, time.Now())
}

// Recurrence returns the block that is due of what crashes targets at times.
func (c *Crashes) Recurrence(fp request.Fingerprint) (crash.Recurrence, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.judge.Recurrence(fp, time.Now())
}

// IsInner reports whether one part of prompts is known to come after another one.
func (c *Crashes) IsInner(part, outer request.Fingerprint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.judge.IsInner(part, outer)
}

// HeardAt returns when an incarnation of a target last wrote to this entry.
func (c *Crashes) HeardAt(d crash.Death) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.runs.HeardAt(d)
}

// Conviction returns the block of a fingerprint that the deaths known here convict, and
// these deaths.
func (c *Crashes) Conviction(fp request.Fingerprint) (crash.Block, []crash.Death, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.judge.Conviction(fp, time.Now())
}

// Evidence returns what the deaths under a fingerprint say of it.
func (c *Crashes) Evidence(fp request.Fingerprint) crash.Evidence {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.judge.Evidence(fp, time.Now())
}

// HasEndedUnder reports whether targets have ended under a request itself since it last ran soundly.
func (c *Crashes) HasEndedUnder(fps []request.Fingerprint) bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.judge.HasEndedUnder(fps, time.Now())
}

// Due returns the restriction of what has had as many deaths under it as are allowed.
func (c *Crashes) Due(fp request.Fingerprint) (crash.Due, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.judge.Due(fp, time.Now())
}

// Confirm blocks what the deaths known here convict, since other entries know nothing against
// it.
func (c *Crashes) Confirm(fp request.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.judge.Confirm(fp)
}

// Block blocks what a peer has found to crash targets. It reports false, and does not block
// it, if a request with it has run soundly here since.
func (c *Crashes) Block(b crash.Block) bool {
	c.mu.Lock()
	defer c.unlock()

	return c.judge.Block(b, time.Now())
}

// Lift ends the block of what a peer does not find to crash targets any more.
func (c *Crashes) Lift(fp request.Fingerprint) {
	c.mu.Lock()
	defer c.unlock()

	c.judge.Lift(fp, time.Now())
}

// BlockNow does what Block does for a death that is not dated. It does not prolong a block.
func (c *Crashes) BlockNow(fp request.Fingerprint) {
	c.mu.Lock()
	defer c.unlock()

	now := time.Now()
	if _, _, blocked := c.judge.Blocked([]request.Fingerprint{fp}, now); !blocked {
		c.judge.Block(crash.Block{Fingerprint: fp, LastDeath: now}, now)
	}
}

// Convicted returns the fingerprints that the deaths known here convict.
func (c *Crashes) Convicted() []request.Fingerprint {
	var out []request.Fingerprint

	for _, b := range c.Blocks() {
		if _, _, convicted := c.Conviction(b.Fingerprint); convicted {
			out = append(out, b.Fingerprint)
		}
	}

	return out
}

// Blocks returns all that is blocked.
func (c *Crashes) Blocks() []crash.Block {
	if !c.active.Load() {
		return nil
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	return c.judge.Blocks(time.Now())
}

// Refusal returns the refusal of a request that is blocked, or nil.
func (c *Crashes) Refusal(req *request.Request) *request.Refusal {
	if !c.active.Load() {
		return nil
	}

	c.mu.Lock()
	fp, left, blocked := c.judge.Blocked(req.Fingerprints(), time.Now())
	c.mu.Unlock()

	if !blocked {
		return nil
	}

	why := fmt.Sprintf("targets have crashed under this request or others like it, fingerprint %d", fp)

	return request.Refuse(request.Poisoned, left, why)
}

// Probes reports whether the request may run although it is blocked, to find out whether what
// it shares with others does crash targets.
//
// Where several requests that crash targets share something with sound ones, that is blocked
// for all of them, and nothing could run any more that shows it to be sound.
func (c *Crashes) Probes(ctx context.Context, req *request.Request) bool {
	return c.MayProbe != nil && c.MayProbe(ctx, req.Fingerprints())
}

// Probed returns the fingerprints that block a request with these, if such a request may run to
// find out whether they are sound.
func (c *Crashes) Probed(fps []request.Fingerprint) []request.Fingerprint {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.judge.Probe(fps, time.Now())
}

// IsSuspect reports whether a target died lately under the request, or the request is
// blocked.
func (c *Crashes) IsSuspect(req *request.Request) bool {
	if !c.active.Load() {
		return false
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	return c.judge.IsSuspect(req.Fingerprints(), time.Now())
}

// Forget drops what is known of the runs on incarnations that are no longer listed.
func (c *Crashes) Forget(listed func(crash.Death) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	c.runs.Forget(listed, time.Now())
}
