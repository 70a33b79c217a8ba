// Package vmlist stands in for the platform's list of VMs, which shows changes late.
package vmlist

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/standin/control"
)

// List is a VM list that shows each change after a lag. It is safe for concurrent use.
type List struct {
	lag     time.Duration
	control *control.Control

	mu sync.Mutex
	// changes holds every change in the order of its time.
	changes []change
}

// change is one new state of the whole list.
type change struct {
	at  time.Time
	vms []laburnumring.VM
}

// New returns an empty list that lags by lag.
func New(lag time.Duration, c *control.Control) *List {
	return &List{lag: lag, control: c}
}

// Handler returns the list's HTTP interface; PUT replaces the list.
func (l *List) Handler() http.Handler {
	m := mux.NewRouter()
	m.Handle("/v1/vms", l.control.Wrap(http.HandlerFunc(l.get))).Methods(http.MethodGet)
	m.HandleFunc("/v1/vms", l.put).Methods(http.MethodPut)
	return m
}

func (l *List) get(w http.ResponseWriter, r *http.Request) {
	vms, n := l.shown(time.Now())
	tag := fmt.Sprintf(`"%d"`, n)
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(vms)
}

// shown returns the list as it was one lag ago, and how many changes led to it.
func (l *List) shown(now time.Time) ([]laburnumring.VM, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := []laburnumring.VM{}
	n := 0
	for i, c := range l.changes {
		if now.Sub(c.at) >= l.lag {
			out = c.vms
			n = i + 1
		}
	}
	return slices.Clone(out), n
}

func (l *List) put(w http.ResponseWriter, r *http.Request) {
	var vms []laburnumring.VM
	if err := json.NewDecoder(r.Body).Decode(&vms); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes = append(l.changes, change{at: time.Now(), vms: vms})
}
