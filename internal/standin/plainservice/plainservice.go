// Package plainservice stands in for an ordinary HTTP service whose calls may not all be repeated.
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
	"github.com/laburnumring/laburnumring/internal/standin/control"
)

// Service counts the runs of each call. It is safe for concurrent use.
type Service struct {
	// duration is how long a call takes.
	duration time.Duration
	control  *control.Control

	mu sync.Mutex
	// runs counts the runs of each body's order number.
	runs map[string]int
}

// New returns a service whose calls take duration.
func New(duration time.Duration, c *control.Control) *Service {
	return &Service{duration: duration, control: c, runs: make(map[string]int)}
}

// Answer returns the service's answer to body on path.
func Answer(path, body string) string {
	return "done " + path + " " + strconv.FormatUint(xxhash.Sum64String(body), 16) + "\n"
}

// Handler returns the service's HTTP interface and, at /control, its faults.
func (s *Service) Handler() http.Handler {
	m := mux.NewRouter()
	m.Handle("/control", s.control).Methods(http.MethodPost)
	m.HandleFunc("/runs", s.serveRuns)
	m.Handle(backend.HealthPath, s.control.Wrap(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})))
	m.PathPrefix("/").Handler(s.control.Wrap(http.HandlerFunc(s.serve)))
	return m
}

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
	_, _ = io.WriteString(w, Answer(r.URL.Path, string(body)))
}

func (s *Service) serveRuns(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(s.runs)
}
