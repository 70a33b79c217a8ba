// Package plainservice is a stand-in for an ordinary HTTP service. It counts how often each request ran, so that tests
// can detect a non-idempotent call that was repeated.
package plainservice

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"github.com/laburnumring/laburnumring/internal/backend"
	"github.com/laburnumring/laburnumring/internal/httpserve"
	"github.com/laburnumring/laburnumring/internal/standin/control"
)

// Service answers every request and counts the runs of each request body. It is safe for concurrent use.
type Service struct {
	// duration is the processing time of a request.
	duration time.Duration
	control  *control.Control

	mu sync.Mutex
	// runs counts the runs of each request body.
	runs map[string]int
}

// New returns a service that takes duration to process a request. c holds the faults to inject.
func New(duration time.Duration, c *control.Control) *Service {
	return &Service{duration: duration, control: c, runs: make(map[string]int)}
}

// Answer returns the response body for a request with the given path and body.
func Answer(path, body string) string {
	return "done " + path + " " + strconv.FormatUint(xxhash.Sum64String(body), 16) + "\n"
}

// Handler returns the handler of the service's HTTP interface, of /control, which sets the faults, and of /runs, which
// returns the counts as JSON.
func (s *Service) Handler() http.Handler {
	m := mux.NewRouter()
	m.Handle("/control", s.control).Methods(http.MethodPost)
	m.HandleFunc("/runs", s.serveRuns)
	m.Handle(backend.HealthPath, s.control.Wrap(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})))
	m.PathPrefix("/").Handler(s.control.Wrap(http.HandlerFunc(s.serve)))
	return m
}

// serve counts a run of the request's body and replies with Answer after the processing time.
func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.runs[string(body)]++
	s.mu.Unlock()
	time.Sleep(s.duration)
	if s.control.LoseReply() {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "text/plain")
	answer := Answer(r.URL.Path, string(body))
	f := s.control.Faults()
	if f.Unmarked {
		httpserve.EndWithConnection(w.Header())
	}
	if f.Unmarked && f.Cut {
		answer = answer[:len(answer)/2]
	}
	_, _ = io.WriteString(w, answer)
}

func (s *Service) serveRuns(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(s.runs)
}
