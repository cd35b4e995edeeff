package worker

import (
	"time"

	"github.com/fulmarcross/fulmarcross/platform"
)

// Crash makes a worker crash when it begins to write the answer to some requests.
type Crash struct {
	// On reports whether a request crashes the worker.
	On func(platform.Request) bool
	// Ends is called when the worker crashes.
	Ends func()
}

// crashState is what a worker records of requests that crash it.
type crashState struct {
	Crash

	arrivals, deaths []time.Time
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

// arriveCrashing records the arrival of a request that crashes the worker.
func (w *Worker) arriveCrashing(r platform.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()

	if w.crash.On != nil && w.crash.On(r) {
		w.crash.arrivals = append(w.crash.arrivals, time.Now())
	}
}

// crashOn crashes the worker if the request does so, after the work that it takes. It goes on
// when the sender has left.
func (w *Worker) crashOn(r platform.Request, a *platform.Answer, work time.Duration) {
	w.mu.Lock()
	c := w.crash.Crash
	w.mu.Unlock()

	if c.On == nil || !c.On(r) {
		return
	}

	time.Sleep(work)

	w.mu.Lock()
	w.crash.deaths = append(w.crash.deaths, time.Now())
	w.mu.Unlock()

	c.Ends()
	<-r.Gone
	a.Lose()
}
