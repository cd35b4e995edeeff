// Package arrivals judges how often entries sent requests to targets, by what reached the
// targets. It does no I/O and reads no clock.
package arrivals

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
)

// Limits are the users' limits on what entries send more than once.
type Limits struct {
	// Ratio and Burst bound the retries of a service in each Window.
	Ratio, Burst float64
	Window       time.Duration
	// Contact is the time after which entries know of the deaths under a request.
	Contact time.Duration
}

const (
	// moreTargets is how many requests may run at more targets than their routes allow.
	moreTargets = 3
	// timeSlack is how much more time than is left a target may be given, lateTimes how often it may
	// be more, and lateShare of how many of all arrivals.
	timeSlack = 500 * time.Millisecond
	lateTimes = 20
	lateShare = 0.2
	// afterDeaths is how often a request that crashes targets may reach targets from
	// Limits.Contact after the last death that its series is allowed.
	afterDeaths = 3
)

// Request is a request as its client sent it.
type Request struct {
	Service string
	Sent    time.Time
	// Timeout is what its client gave it.
	Timeout time.Duration
	// Attempts is the number of targets that its route allows, zero if that is not judged.
	Attempts int
}

// Arrival is a request that has reached a target.
type Arrival struct {
	ID      string
	Service string
	Target  instance.ID
	At      time.Time
	// Left is the time that its sender said is left.
	Left time.Duration
	// Series names the requests that crash targets as this one does. It is empty for one that
	// crashes none.
	Series string
	// Rejected says that the target did not run it.
	Rejected bool
	// SenderExcused says that its sender was in trouble, so that it is not counted as too late, and
	// TargetExcused that its target was, so that it is not counted as at one target too many.
	SenderExcused, TargetExcused bool
}

// Death is the end of a target's process under a request.
type Death struct {
	Series string
	At     time.Time
}

// Log is what was sent, and what reached targets.
type Log struct {
	Limits

	// Requests are the clients' requests by their ids.
	Requests map[string]Request
	Arrivals []Arrival
	Deaths   []Death
	// DeathsAllowed returns how many targets the requests of a series may crash before it is judged.
	DeathsAllowed func(series string) int
}

// Line is one line of the users' rule with the largest value that was seen.
type Line struct {
	Name          string
	Seen, Allowed float64
	// Where says what the value is of.
	Where string
}

// Broken reports whether more was seen than is allowed.
func (l Line) Broken() bool { return l.Seen > l.Allowed }

// String describes the line.
func (l Line) String() string {
	return fmt.Sprintf("%s: %.0f of %.1f allowed (%s)", l.Name, l.Seen, l.Allowed, l.Where)
}

// margin is the part of what is allowed that was seen.
func (l Line) margin() float64 { return l.Seen / max(l.Allowed, 1) }

// worse returns the line that is nearer to its limit, or farther beyond it.
func worse(a, b Line) Line {
	if b.margin() > a.margin() {
		return b
	}

	return a
}

// Judge returns all lines.
func (l *Log) Judge() []Line { return append(l.Retries(), l.Crashing()...) }

// Retries returns the lines on what is sent more than once: the retries of each service, the targets
// of one request and the time that is handed on.
func (l *Log) Retries() []Line {
	var out []Line

	byRequest := l.byRequest()

	for _, service := range l.services() {
		out = append(out, l.windows(service, byRequest))
	}

	return append(out, l.targets(byRequest), l.time(byRequest))
}

// Crashing returns the lines on requests that crash targets, by when entries sent them and by when
// they arrived.
func (l *Log) Crashing() []Line {
	return []Line{l.crashing("sent after deaths", l.sentAt), l.crashing("arrived after deaths", arrivedAt)}
}

// Broken returns those of the lines that are broken.
func Broken(lines []Line) []Line {
	return slices.DeleteFunc(slices.Clone(lines), func(line Line) bool { return !line.Broken() })
}

func (l *Log) services() []string {
	var out []string

	for _, r := range l.Requests {
		if !slices.Contains(out, r.Service) {
			out = append(out, r.Service)
		}
	}

	slices.Sort(out)

	return out
}

// windows judges the retries of a service: in each window that begins with one, the arrivals beyond
// the first of each request, against the requests that clients sent in that window, in the one before
// it or half a window before, whichever has most.
func (l *Log) windows(service string, byRequest map[string][]Arrival) Line {
	retries, sent := retriesOf(service, byRequest), l.sent(service)
	out := Line{Name: "retries", Allowed: l.Burst, Where: service}

	for i, from := range retries {
		n := 0
		for n < len(retries)-i && retries[i+n].Sub(from) < l.Window {
			n++
		}

		requests := 0
		for _, before := range []time.Duration{0, l.Window / 2, l.Window} { //nolint:mnd // Half a window.
			requests = max(requests, l.within(sent, from.Add(-before)))
		}

		out = worse(out, Line{
			Name: "retries", Seen: float64(n), Allowed: l.Ratio*float64(requests) + l.Burst,
			Where: fmt.Sprintf("%s, %d requests in %v", service, requests, l.Window),
		})
	}

	return out
}

// retriesOf returns the arrivals at a service beyond the first of each request, in order.
func retriesOf(service string, byRequest map[string][]Arrival) []time.Time {
	var out []time.Time

	for _, all := range byRequest {
		for _, a := range all[1:] {
			if a.Service == service {
				out = append(out, a.At)
			}
		}
	}

	slices.SortFunc(out, time.Time.Compare)

	return out
}

// sent returns when clients sent their requests for a service.
func (l *Log) sent(service string) []time.Time {
	var out []time.Time

	for _, r := range l.Requests {
		if r.Service == service {
			out = append(out, r.Sent)
		}
	}

	return out
}

// within counts the times in the window that begins at from.
func (l *Log) within(all []time.Time, from time.Time) int {
	n := 0

	for _, at := range all {
		if d := at.Sub(from); d >= 0 && d < l.Window {
			n++
		}
	}

	return n
}

// byRequest returns the arrivals of each request in order.
func (l *Log) byRequest() map[string][]Arrival {
	out := make(map[string][]Arrival)

	for _, a := range l.Arrivals {
		out[a.ID] = append(out[a.ID], a)
	}

	for _, all := range out {
		slices.SortFunc(all, func(a, b Arrival) int { return a.At.Compare(b.At) })
	}

	return out
}

// targets judges the requests that reached more targets than their routes allow.
func (l *Log) targets(byRequest map[string][]Arrival) Line {
	more, most := 0, ""

	for id, all := range byRequest {
		reached := make(map[instance.ID]bool)

		for _, a := range all {
			if !a.Rejected && !a.TargetExcused {
				reached[a.Target] = true
			}
		}

		if r := l.Requests[id]; r.Attempts > 0 && len(reached) > r.Attempts {
			more++
			most = fmt.Sprintf("%s at %d of %d", id, len(reached), r.Attempts)
		}
	}

	return Line{Name: "requests at too many targets", Seen: float64(more), Allowed: moreTargets, Where: cmp.Or(most, "none")}
}

// time judges the arrivals that were handed more time than was left.
func (l *Log) time(byRequest map[string][]Arrival) Line {
	all, late := 0, 0

	for id, arrivals := range byRequest {
		if r, known := l.Requests[id]; known {
			all += len(arrivals)
			late += lateArrivals(arrivals, r)
		}
	}

	return Line{Name: "arrivals with too much time", Seen: float64(late), Allowed: max(lateTimes, lateShare*float64(all)), Where: fmt.Sprintf("%d arrivals", all)}
}

// lateArrivals counts the arrivals of a request that were given too much time.
func lateArrivals(arrivals []Arrival, r Request) int {
	first, n := arrivals[0], 0

	for _, a := range arrivals {
		end := a.At.Add(a.Left)
		again := a.At.Sub(first.At) > timeSlack
		longer := end.After(first.At.Add(first.Left+timeSlack)) && end.After(r.Sent.Add(r.Timeout+timeSlack))

		if a.Left > r.Timeout+timeSlack || again && longer {
			n++
		}
	}

	return n
}

func arrivedAt(a Arrival) time.Time { return a.At }

// sentAt returns when an entry sent what arrived, by the time that it said is left.
func (l *Log) sentAt(a Arrival) time.Time {
	r, known := l.Requests[a.ID]
	if !known || a.Left <= 0 {
		return a.At
	}

	return r.Sent.Add(r.Timeout - a.Left)
}

// crashing judges the requests of each series that came later than Contact after as many deaths as
// are allowed.
func (l *Log) crashing(name string, when func(Arrival) time.Time) Line {
	out := Line{Name: name, Allowed: afterDeaths, Where: "no series"}

	for series, deaths := range l.deaths() {
		allowed := l.DeathsAllowed(series)
		if len(deaths) < allowed {
			continue
		}

		from := deaths[allowed-1].Add(l.Contact)
		late := 0

		for _, a := range l.Arrivals {
			if a.Series == series && !a.SenderExcused && when(a).After(from) {
				late++
			}
		}

		out = worse(out, Line{Name: name, Seen: float64(late), Allowed: afterDeaths, Where: fmt.Sprintf("%s, %d deaths in all", series, len(deaths))})
	}

	return out
}

// deaths returns the deaths of each series in order.
func (l *Log) deaths() map[string][]time.Time {
	out := make(map[string][]time.Time)

	for _, d := range l.Deaths {
		out[d.Series] = append(out[d.Series], d.At)
	}

	for _, all := range out {
		slices.SortFunc(all, time.Time.Compare)
	}

	return out
}
