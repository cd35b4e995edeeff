package story

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// stalled is the length of a pause in a stream from which the target is at fault.
// Clients allow 300 ms between two events and disconnect after two seconds or more.
const stalled = time.Second

// timeUp is how long before its timeout a client may be seen to disconnect, because
// of the network delay.
const timeUp = 100 * time.Millisecond

// cutOff begins the part of an error that says why the entry disconnected a client.
const cutOff = "client cut off: "

// round rounds a duration for display.
func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// cause returns the reason for the request's outcome in one sentence.
func (f *facts) cause() string {
	if f.end == nil {
		return f.unfinished()
	}

	switch f.end.Message {
	case answered:
		return f.served()
	case refused:
		return f.refusal()
	case left:
		return f.departure()
	case brokenOff:
		return fmt.Sprintf("the answer broke off after %d events: %s", f.end.Events, f.attempt())
	default:
		return fmt.Sprintf("%s answered %d itself, and the caller got that answer", f.lastTarget(), f.end.Status)
	}
}

func (f *facts) unfinished() string {
	for _, l := range f.around {
		if l.Node == f.node && l.Message == startMessage && !l.At.Before(f.ended) {
			return f.node + " ended without a word and started again: its requests were lost with the process"
		}
	}

	return "the request has no last line: " + f.node + " died, or its log ends before the request did"
}

func (f *facts) served() string {
	text := fmt.Sprintf("answered after %v, first byte after %v", round(f.end.Took), round(f.end.First))

	switch {
	case f.end.Sends > 1:
		return text + fmt.Sprintf("; it was sent %d times: %s", f.end.Sends, f.attempt())
	case f.end.Cold:
		return text + "; it waited for its model: " + f.load()
	case f.end.Waited > stalled:
		return text + fmt.Sprintf("; it waited %v for a free place on a target that holds its model", round(f.end.Waited))
	default:
		return text
	}
}

// refusal explains an answer of the entry's own.
func (f *facts) refusal() string {
	switch {
	case f.end.Why != "":
		return fmt.Sprintf("refused with %d at once: %s", f.end.Status, f.end.Why)
	case strings.Contains(f.end.Error, "shuttingDown"):
		return "refused with 503: " + f.node + " was stopping" + f.since(stopMessage)
	case strings.Contains(f.end.Error, "crashesTargets"):
		return "refused: targets had crashed while they ran this request"
	case strings.Contains(f.end.Error, "targetResting"):
		return fmt.Sprintf("refused with %d: all targets with its model asked for rest until after its deadline, come back in %v", f.end.Status, round(f.end.RetryAfter))
	case strings.Contains(f.end.Error, "all of its targets leave"):
		return fmt.Sprintf("refused with %d: all of its targets leave and none takes their place yet", f.end.Status)
	case strings.Contains(f.end.Error, "targetLimited"):
		return fmt.Sprintf("refused with %d: the rate limits of all targets with its model left no room, come back in %v", f.end.Status, round(f.end.RetryAfter))
	case f.end.Sends == 0:
		return fmt.Sprintf("refused with %d after %v, never sent: %s", f.end.Status, round(f.end.Took), f.unsent())
	case f.end.Status == 503 && f.end.Waited > f.end.Took/2 && f.end.Waited > stalled:
		return fmt.Sprintf("refused with 503, proved not run: %s; then it waited %v: %s", f.attempt(), round(f.end.Waited), f.wait())
	case f.end.Status == 503:
		return "refused with 503, proved not run: " + f.attempt()
	default:
		return fmt.Sprintf("answered %d since it may have run: %s", f.end.Status, f.attempt())
	}
}

// unsent explains why a refused request was not sent: by the prediction that all entries
// share, or because it had no target.
func (f *facts) unsent() string {
	if f.end.StartsPerSecond <= 0 {
		return f.wait()
	}

	return fmt.Sprintf("it was predicted to start in %v, when its caller would hardly wait any more, with %d requests queued for its model on all instances and %.1f of them starting in a second, come back in %v",
		round(f.end.Predicted), f.end.WaitingAll, f.end.StartsPerSecond, round(f.end.RetryAfter))
}

// departure explains a caller that left before its answer was whole.
func (f *facts) departure() string {
	took := round(f.end.Took)

	switch {
	case strings.Contains(f.end.Error, cutOff):
		_, why, _ := strings.Cut(f.end.Error, cutOff)

		return fmt.Sprintf("%s cut the caller off after %v and %d events: %s", f.node, took, f.end.Events, why)
	case f.end.Sends == 0:
		return fmt.Sprintf("the caller left after %v, never sent: %s", took, f.wait())
	case f.end.First == 0:
		return fmt.Sprintf("the caller left after %v: %s had the request and had not answered", took, f.lastTarget())
	case f.end.Quiet > stalled:
		return fmt.Sprintf("the caller left after %v: %s had sent nothing for %v after %d events", took, f.lastTarget(), round(f.end.Quiet), f.end.Events)
	case f.end.Left > 0 && f.end.Took > f.end.Left-timeUp:
		return fmt.Sprintf("the caller's time of %v was up: %s was slow, with %d events in %v after the first", round(f.end.Left), f.lastTarget(), f.end.Events, round(f.end.Took-f.end.First))
	default:
		return fmt.Sprintf("the caller left by itself after %v and %d events, the last one %v before", took, f.end.Events, round(f.end.Quiet))
	}
}

// wait explains why a request had no target.
func (f *facts) wait() string {
	for _, l := range slices.Backward(f.own) {
		if l.Message != waits || l.Holders == 0 {
			continue
		}

		text := fmt.Sprintf("of the %d targets with its model %d were full, %d leaving, %d dead and %d failing", l.Holders, l.Full, l.Leaving, l.Dead, l.Ejected)
		if l.Resting > 0 {
			text += fmt.Sprintf(", %d had asked for rest", l.Resting)
		}

		if l.Limited > 0 {
			text += fmt.Sprintf(", and the rate limits of %d left no room", l.Limited)
		}

		if l.Full+l.Limited+l.Resting < l.Holders {
			text += "; " + f.load()
		}

		return text
	}

	return "no target held its model: " + f.load()
}

func (f *facts) lastTarget() string {
	if len(f.targets) == 0 {
		return "the target"
	}

	return f.targets[len(f.targets)-1]
}

// since returns how long before the request's end its entry last logged a message,
// as a text to append, or an empty text.
func (f *facts) since(message string) string {
	for _, l := range slices.Backward(f.around) {
		if l.Message == message && l.Node == f.node && !l.At.After(f.ended) {
			return fmt.Sprintf(" since %v before", round(f.ended.Sub(l.At)))
		}
	}

	return ""
}

// failures map parts of an attempt's error text to descriptions, the most specific
// first.
var failures = []struct{ text, means string }{
	{"memory is short", "answered, and the entry had no memory for the answer"},
	{"not run, status 421", "answered that it does not hold the model, or is another instance"},
	{"not run, status 503", "was full"},
	{"connection refused", "took no connection"},
	{"dial", "was not reached"},
	{"connection reset", "reset the connection without a whole answer"},
	{"not signed", "sent bytes that are no answer"},
	{"answer cut short", "cut its answer short"},
	{"failed with status", "answered with a failure of its own"},
	{"unexpected EOF", "closed the connection in the middle of its answer"},
	{"deadline exceeded", "had not finished when the request's time was up"},
	{"EOF", "closed the connection without an answer"},
	{"no repeat left", "failed, and no repeat was left"},
}

// attempt explains the last sending that failed.
func (f *facts) attempt() string {
	for _, l := range slices.Backward(f.own) {
		if l.Message != attemptFailed {
			continue
		}

		text := l.Target + " failed: " + l.Error

		for _, known := range failures {
			if strings.Contains(l.Error, known.text) {
				text = l.Target + " " + known.means

				break
			}
		}

		if f.found(targetDied, l.Target) {
			text += ", and died"
		}

		text += f.trouble(l.Target)

		if strings.Contains(f.end.Error, "no repeat left") {
			text += "; no repeat was left in the budget"
		}

		return text
	}

	return "no sending failed"
}

func (f *facts) found(message, target string) bool {
	return slices.ContainsFunc(slices.Concat(f.own, f.around), func(l Line) bool { return l.Message == message && l.Target == target })
}

// decided reports whether a line is the order of what the request needs: its
// adapter, which needs its model first, or else its model.
func (f *facts) decided(l *Line) bool {
	if f.adapter != "" {
		return l.Message == adapterTold && l.Adapter == f.adapter && l.Model == f.model
	}

	return l.Message == swapDecided && l.Load == f.model
}

// load explains why the model was not there in time.
func (f *facts) load() string {
	for _, l := range f.around {
		if !f.decided(&l) || l.At.Before(f.arrived.Add(-before/2)) || l.At.After(f.ended) {
			continue
		}

		text := fmt.Sprintf("%s ordered it on %s %v after the arrival", l.Node, l.Target, round(l.At.Sub(f.arrived)))
		if l.At.Before(f.arrived) {
			text = fmt.Sprintf("%s had ordered it on %s %v before the arrival", l.Node, l.Target, round(f.arrived.Sub(l.At)))
		}

		if l.Takes > 0 {
			text += fmt.Sprintf(", a load of %v", round(l.Takes))
		}

		return text + f.trouble(l.Target)
	}

	if idle := f.idle(); idle != "" {
		return idle
	}

	return "nobody ordered it: no target had room, or those with its weights had orders in hand"
}

// trouble says what became of an order that had no effect in time.
func (f *facts) trouble(target string) string {
	for _, l := range f.around {
		if l.Target == target && (l.Message == "order without answer" || l.Message == "order not carried out") {
			return "; " + l.Message
		}
	}

	return ""
}

// idle says for how long nobody held the lease while the request waited.
func (f *facts) idle() string {
	var holder string

	var gone *Line

	for i := range f.around {
		l := &f.around[i]
		if l.At.After(f.ended) {
			break
		}

		switch l.Message {
		case leaseTaken:
			if gone != nil && l.At.After(f.arrived) {
				return fmt.Sprintf("nobody held the lease until %s took it %v after the arrival", l.Node, round(l.At.Sub(f.arrived)))
			}

			holder, gone = l.Node, nil
		case leaseLost, leaseReleased, leaseNotReleased, leaseNotRenewed:
			// A former holder may try for long to renew what another has.
			if holder == "" || holder == l.Node {
				gone = l
			}
		}
	}

	if gone != nil {
		return fmt.Sprintf("nobody held the lease after %s: %s", gone.Node, gone.Message)
	}

	return ""
}
