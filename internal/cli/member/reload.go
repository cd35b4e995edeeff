package member

import (
	"os"
	"reflect"
	"time"

	"github.com/rs/zerolog"
)

// lookEvery is how often the settings file is looked at. It may change without
// a signal.
const lookEvery = 2 * time.Second

// reloader takes in changes of the settings file while the program runs. What
// a process listens on and what it is called stay until it starts again.
type reloader struct {
	path  string
	last  Settings
	log   zerolog.Logger
	apply func(s *Settings)
}

// run looks at the file at each signal and from time to time. It never returns: what changes
// while requests are answered after SIGTERM is taken in too.
func (r *reloader) run(reload <-chan os.Signal) {
	t := time.NewTicker(lookEvery)

	for {
		select {
		case <-reload:
		case <-t.C:
		}

		r.look()
	}
}

// look takes in the file if it says something else than before. One that
// cannot be used leaves all as it is.
func (r *reloader) look() {
	s, err := Load(r.path)
	if err != nil {
		r.log.Error().Err(err).Msg("settings not reloaded")

		return
	}

	if reflect.DeepEqual(*s, r.last) {
		return
	}

	r.last = *s
	r.apply(s)
	r.log.Info().Float64("repeatRatio", s.Allowance.Ratio).Float64("repeatBurst", s.Allowance.Burst).Msg("settings reloaded")
}
