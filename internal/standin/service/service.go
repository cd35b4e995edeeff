// Package service is a small stand-in of a plain service. It records every call that
// it ran, so that tests can find calls that ran twice.
package service

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/standin/httpjson"
)

// PathFaults is the path for setting faults.
const PathFaults = "/faults"

// PathRuns is the path that returns how often each key ran.
const PathRuns = "/runs"

// Service is the stand-in. The zero value is ready to use.
type Service struct {
	// Delay is how long each call takes.
	Delay time.Duration

	mu   sync.Mutex
	runs map[string]int
	drop int
}

// maxBody limits the body of a call.
const maxBody = 1 << 20

// LoseAnswers makes the next n calls run and then cut the connection.
func (s *Service) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.drop = n
}

// Runs returns how often each idempotency key ran.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return maps.Clone(s.runs)
}

// ServeHTTP runs a call: it records its key and echoes its body.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)

		return
	}

	lost := s.book(r.Header.Get("Idempotency-Key"))

	time.Sleep(s.Delay)

	if lost {
		panic(http.ErrAbortHandler)
	}

	_, _ = fmt.Fprintf(w, "done %s %s %s", r.Method, r.URL.Path, body)
}

// book counts a run and reports whether its answer must be lost.
func (s *Service) book(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	if key != "" {
		if s.runs == nil {
			s.runs = make(map[string]int)
		}

		s.runs[key]++
	}

	lost := s.drop > 0
	s.drop = max(0, s.drop-1)

	return lost
}

// Handler serves s, its records and the setting of faults.
func Handler(s *Service) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", s)
	mux.HandleFunc("GET "+PathRuns, func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, s.Runs())
	})
	mux.HandleFunc("POST "+PathFaults, func(w http.ResponseWriter, r *http.Request) {
		var m struct {
			LoseAnswers int `json:"loseAnswers"`
		}

		if httpjson.Decode(w, r, maxBody, &m) {
			s.LoseAnswers(m.LoseAnswers)
		}
	})

	return mux
}
