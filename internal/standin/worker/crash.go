package worker

import (
	"net/http"
	"time"

	"github.com/fulmarcross/fulmarcross/platform"
)

// Crash makes a worker crash when it begins to write the answer to some requests.
type Crash struct {
	// On reports whether a request crashes the worker.
	On func(platform.Request) bool
	// After is how many events of an engine's stream are written before.
	After int
	// Arrives is called when such a request arrives. It may be nil.
	Arrives func(platform.Request)
	// Ends is called when the worker crashes.
	Ends func(platform.Request)
	// Answers says that a process which has just crashed answers such requests, without content, as
	// long as their connections last.
	Answers bool
}

// crashState is what a worker records of requests that crash it.
type crashState struct {
	Crash

	arrivals, deaths []time.Time
	// ended are the processes that have crashed. What else they run ends with them.
	ended map[int]bool
}

// SetCrash makes the worker crash on some requests.
func (w *Worker) SetCrash(c Crash) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.crash.Crash = c
}

// Crashes returns when requests that crash the worker arrived, and when they crashed it.
func (w *Worker) Crashes() (arrivals, deaths []time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()

	return append([]time.Time(nil), w.crash.arrivals...), append([]time.Time(nil), w.crash.deaths...)
}

// arriveCrashing records the arrival of a request that may crash the worker, and returns the process
// at which it has arrived.
func (w *Worker) arriveCrashing(r platform.Request) int {
	w.mu.Lock()
	c, process := w.crash.Crash, w.process
	crashes := c.On != nil && c.On(r)

	if crashes {
		w.crash.arrivals = append(w.crash.arrivals, time.Now())
	}
	w.mu.Unlock()

	if crashes && c.Arrives != nil {
		c.Arrives(r)
	}

	return process
}

// crashOn crashes the process at which the request has arrived if the request does so, after the
// work that it takes. It goes on when the sender has left. It reports whether the request is
// answered.
func (w *Worker) crashOn(r platform.Request, a *platform.Answer, work time.Duration, process int) bool {
	c, crashes := w.crashFor(r)
	if !crashes || c.After > 0 {
		return false
	}

	time.Sleep(work)

	return w.crashNow(r, a, c, process)
}

// crashAmid crashes the process at which the request has arrived if the request does so after so many
// events. It reports whether it did.
func (w *Worker) crashAmid(r platform.Request, a *platform.Answer, events, process int) bool {
	c, crashes := w.crashFor(r)
	if !crashes || c.After == 0 || events != c.After {
		return false
	}

	w.crashNow(r, a, c, process)

	return true
}

// crashFor returns how the worker crashes, and whether it does so on a request.
func (w *Worker) crashFor(r platform.Request) (Crash, bool) {
	w.mu.Lock()
	c := w.crash.Crash
	w.mu.Unlock()

	return c, c.On != nil && c.On(r)
}

// crashNow crashes the process. It reports whether the request is answered.
func (w *Worker) crashNow(r platform.Request, a *platform.Answer, c Crash, process int) bool {
	ended := w.endProcess(process)

	switch {
	case ended:
		c.Ends(r)
	case c.Answers:
		a.Whole(http.StatusOK, nil)

		return true
	}

	if !c.Answers {
		<-r.Gone
	}

	a.Lose()

	return false
}

// endProcess records that a process has crashed. It reports false if it had ended before.
func (w *Worker) endProcess(process int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()

	if w.process != process || w.crash.ended[process] {
		return false
	}

	if w.crash.ended == nil {
		w.crash.ended = make(map[int]bool)
	}

	w.crash.ended[process] = true
	w.crash.deaths = append(w.crash.deaths, time.Now())

	return true
}
