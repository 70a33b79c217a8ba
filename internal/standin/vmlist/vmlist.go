// Package vmlist is a stand-in for the platform's VM list service, which publishes changes with a delay.
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

// List is a VM list in which each change becomes visible after a fixed lag. It is safe for concurrent use.
type List struct {
	lag     time.Duration
	control *control.Control

	mu sync.Mutex
	// changes holds all changes, oldest first.
	changes []change
}

// change is a replacement of the complete list.
type change struct {
	at  time.Time
	vms []laburnumring.VM
}

// New returns an empty list that shows changes after lag. c holds the faults to inject into reads.
func New(lag time.Duration, c *control.Control) *List {
	return &List{lag: lag, control: c}
}

// Handler returns the handler of the list's HTTP interface. GET returns the visible list, with an ETag; PUT replaces
// the list.
func (l *List) Handler() http.Handler {
	m := mux.NewRouter()
	m.Handle("/v1/vms", l.control.Wrap(http.HandlerFunc(l.get))).Methods(http.MethodGet)
	m.HandleFunc("/v1/vms", l.put).Methods(http.MethodPut)
	return m
}

func (l *List) get(w http.ResponseWriter, r *http.Request) {
	vms, n := l.visible(time.Now())
	tag := fmt.Sprintf(`"%d"`, n)
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(vms)
}

// visible returns the list as it was one lag before now, and the number of changes made until then.
func (l *List) visible(now time.Time) ([]laburnumring.VM, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	vms := []laburnumring.VM{}
	n := 0
	for i, c := range l.changes {
		if now.Sub(c.at) >= l.lag {
			vms = c.vms
			n = i + 1
		}
	}
	return slices.Clone(vms), n
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
