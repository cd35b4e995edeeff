package crash

import (
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/serving/request"
)

const (
	// unansweredPeriod is how long a run without an answer is remembered. A death may be
	// proved only when the target's next process is listed.
	unansweredPeriod = 15 * time.Second
	// abandonedPeriod is how long before a death a run may have been abandoned, by its
	// client or by the entry, and still count. The target may have gone on with it.
	abandonedPeriod = 2 * time.Second
	// silence is how long a target must have sent nothing for its removal from the list
	// to count as a death. A target that leaves as planned goes on for a while.
	silence = time.Second
	// maxUnanswered bounds the runs without an answer of each process.
	maxUnanswered = 256
)

// Runs holds one entry's runs on targets, as far as they may be the cause of a death. The
// zero value is empty. It is not safe for concurrent use.
type Runs struct {
	processes map[Death]*process
	// out are the single requests that were sent and not answered.
	out map[request.Fingerprint]sent
}

// process is one incarnation of a target.
type process struct {
	open map[*Run]bool
	// unanswered are the runs that ended without an answer and had not settled.
	unanswered []*Run
	// heardAt is when the target last wrote, brokenAt when a connection to it last broke, and
	// refusedAt when it first refused connections after that.
	heardAt, brokenAt, refusedAt time.Time
	// askedAt is when it was last found quiet, and silentAt when it last proved to be silent,
	// zero if it has written since.
	askedAt, silentAt time.Time
}

// Run is one attempt of a request at a target.
type Run struct {
	// Model is what the request asks for.
	Model string

	on           Death
	fingerprints []request.Fingerprint
	sentAt       time.Time
	// firstAt and lastAt are when the first and the last part of the answer arrived.
	firstAt, lastAt time.Time
	// endedAt is when it ended without an answer.
	endedAt time.Time
	// sound is set once it is known that the run does not crash its target.
	sound bool
}

// Outcome is how a run ended.
type Outcome int

// The outcomes.
const (
	// Abandoned runs were ended by their client or this entry without a whole answer.
	Abandoned Outcome = iota
	// Broken runs ended without a whole answer with their connection.
	Broken
	// NotRun is for requests that the target did not run.
	NotRun
	// Answered runs brought a whole answer.
	Answered
	// Failed runs brought a whole answer that says that they failed. It may be of something in front
	// of a target that has ended, and shows nothing of the request.
	Failed
)

// Begin records that a request is sent to an incarnation of a target.
func (r *Runs) Begin(on Death, fps []request.Fingerprint, now time.Time) *Run {
	if r.processes == nil {
		r.processes = make(map[Death]*process)
	}

	p := r.processes[on]
	if p == nil {
		p = &process{open: make(map[*Run]bool)}
		r.processes[on] = p
	}

	run := &Run{on: on, fingerprints: fps, sentAt: now}
	p.open[run] = true
	r.send(run, now)

	return run
}

// Write records that a part of the answer has arrived. It reports whether the run is now
// known to be sound, which it does once.
func (r *Runs) Write(run *Run, now time.Time) bool {
	if run.firstAt.IsZero() {
		run.firstAt = now
	}

	run.lastAt = now
	if p := r.processes[run.on]; p != nil {
		p.heardAt = now
	}

	if run.sound || !run.settled() {
		return false
	}

	run.sound = true

	return true
}

// End records how a run ended. It reports whether the run is now known to be sound, unless
// Write did.
func (r *Runs) End(run *Run, o Outcome, now time.Time) bool {
	p := r.processes[run.on]
	if p == nil || !p.open[run] {
		return false
	}

	delete(p.open, run)
	r.receive(run, o == Abandoned && run.firstAt.IsZero(), now)

	if (o == Abandoned || o == Broken) && !run.settled() {
		run.endedAt = now
		p.keep(run, now)
	}

	if o == Broken {
		p.brokenAt = now
	}

	if o == Answered || o == Failed {
		p.heardAt = now
	}

	if len(p.open) == 0 && len(p.unanswered) == 0 && now.Sub(p.heardAt) > unansweredPeriod {
		delete(r.processes, run.on)
	}

	return o == Answered && !run.sound
}

// settled reports whether the run has written for too long to be the cause of a death.
func (run *Run) settled() bool { return run.lastAt.Sub(run.firstAt) >= Settle }

// SoundAt returns when a sound run began to write, or to run if that is not known.
func (run *Run) SoundAt() time.Time {
	if run.firstAt.IsZero() {
		return run.sentAt
	}

	return run.firstAt
}

// Process returns the incarnation that ran it.
func (run *Run) Process() Death { return run.on }

// Fingerprints returns those of the run's request.
func (run *Run) Fingerprints() []request.Fingerprint { return run.fingerprints }

// keep remembers a run without an answer.
func (p *process) keep(run *Run, now time.Time) {
	kept := p.unanswered[:0]

	for _, old := range p.unanswered {
		if now.Sub(old.endedAt) <= unansweredPeriod {
			kept = append(kept, old)
		}
	}

	if len(kept) < maxUnanswered {
		kept = append(kept, run)
	}

	p.unanswered = kept
}

// Refuse records that an incarnation refuses connections.
func (r *Runs) Refuse(on Death, now time.Time) {
	if p := r.processes[on]; p != nil && p.refusedAt.IsZero() {
		p.refusedAt = now
	}
}

// Quiet is an incarnation that has sent nothing for QuietAfter although it runs requests.
type Quiet struct {
	Death

	// Again says that it was quiet when it was asked for a connection before.
	Again bool
}

// Quiet returns the incarnations that are quiet. Each is returned again only after quietAgain.
func (r *Runs) Quiet(now time.Time) []Quiet {
	var out []Quiet

	for on, p := range r.processes {
		if p.quiet(now) && now.Sub(p.askedAt) >= quietAgain {
			out = append(out, Quiet{on, now.Sub(p.askedAt) < 2*quietAgain && p.heardAt.Before(p.askedAt)})
			p.askedAt = now
		}
	}

	return out
}

// quiet reports whether a process has sent nothing for QuietAfter on runs that it may have
// crashed on.
func (p *process) quiet(now time.Time) bool {
	if now.Sub(p.heardAt) < QuietAfter {
		return false
	}

	for run := range p.open {
		if !run.settled() && now.Sub(run.sentAt) >= QuietAfter {
			return true
		}
	}

	return slices.ContainsFunc(p.unanswered, func(run *Run) bool {
		return run.endedAt.After(p.heardAt) && now.Sub(run.endedAt) <= abandonedPeriod && now.Sub(run.sentAt) >= QuietAfter
	})
}

// Silence records that a quiet incarnation proved to be silent, and returns what may have
// crashed it. It returns false if it has written meanwhile.
func (r *Runs) Silence(on Death, now time.Time) (Testimony, bool) {
	p := r.processes[on]
	if p == nil || !p.quiet(now) {
		return Testimony{}, false
	}

	p.silentAt = now
	t := r.Testimony(on, now)
	t.Until = time.Time{}

	return t, len(t.Exposed) > 0
}

// TakeHeard returns, once each, the incarnations that were silent and have written since.
func (r *Runs) TakeHeard() []Testimony {
	var out []Testimony

	for on, p := range r.processes {
		if !p.silentAt.IsZero() && p.heardAt.After(p.silentAt) {
			p.silentAt = time.Time{}

			out = append(out, Withdrawal(on, p.heardAt))
		}
	}

	return out
}

// Testimony returns what may have crashed an incarnation that has ended.
func (r *Runs) Testimony(on Death, now time.Time) Testimony {
	p := r.processes[on]
	if p == nil {
		return Testimony{Death: on}
	}

	t := Testimony{Death: on, Exposed: make(map[request.Fingerprint]time.Time)}
	t.At, t.Until = p.end(now)

	for run := range p.open {
		if !run.settled() {
			t.expose(run)
		}
	}

	for _, run := range p.unanswered {
		if t.At.Sub(run.endedAt) <= abandonedPeriod {
			t.expose(run)
		}
	}

	return t
}

// end returns a time at which the target still ran, and one by which it had ended. If its
// connections broke and it then refused new ones, its end was seen.
func (p *process) end(now time.Time) (at, until time.Time) {
	broke := !p.brokenAt.IsZero() && !p.brokenAt.Before(p.heardAt)

	switch {
	case broke && !p.refusedAt.Before(p.brokenAt):
		return p.brokenAt, p.brokenAt
	case broke:
		return p.heardAt, p.brokenAt
	default:
		return p.heardAt, now
	}
}

// expose adds a run to those that may have crashed the target.
func (t *Testimony) expose(run *Run) {
	for _, fp := range run.fingerprints {
		if first, known := t.Exposed[fp]; !known || run.sentAt.Before(first) {
			t.Exposed[fp] = run.sentAt
		}
	}
}

// HeardAt returns when an incarnation last wrote. It returns false if that is not known.
func (r *Runs) HeardAt(on Death) (time.Time, bool) {
	p := r.processes[on]
	if p == nil || p.heardAt.IsZero() {
		return time.Time{}, false
	}

	return p.heardAt, true
}

// Silent reports whether an incarnation has runs without an answer and has written nothing
// for a while.
func (r *Runs) Silent(on Death, now time.Time) bool {
	p := r.processes[on]
	if p == nil || now.Sub(p.heardAt) < silence {
		return false
	}

	if len(p.unanswered) > 0 {
		return true
	}

	for run := range p.open {
		if now.Sub(run.sentAt) >= silence {
			return true
		}
	}

	return false
}

// Forget drops what is known of incarnations that are not listed and have no runs left.
func (r *Runs) Forget(listed func(Death) bool, now time.Time) {
	for on, p := range r.processes {
		idle := len(p.open) == 0 && now.Sub(p.heardAt) > unansweredPeriod
		if idle && !listed(on) {
			delete(r.processes, on)
		}
	}
}
