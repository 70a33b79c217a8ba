package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/backend"
)

// orders is what an engine was told to be. It is safe for concurrent use.
type orders struct {
	// checks says that orders with a fencing number below the highest seen are refused.
	checks bool

	mu sync.Mutex
	// fence is the highest fencing number seen, when checks is set.
	fence int64
	// done holds the orders that were carried out, in their order.
	done []laburnumring.Order
}

func (o *orders) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		o.show(w)
		return
	}
	var v laburnumring.Order
	if err := json.NewDecoder(r.Body).Decode(&v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	fence, err := strconv.ParseInt(r.Header.Get(backend.FenceHeader), 10, 64)
	if err != nil {
		http.Error(w, "an order needs a fencing number", http.StatusBadRequest)
		return
	}
	if !o.take(fence, v) {
		http.Error(w, "a newer fencing number was seen", http.StatusConflict)
	}
}

// take carries out an order unless its fencing number is checked and old.
func (o *orders) take(fence int64, v laburnumring.Order) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.checks && fence < o.fence {
		return false
	}
	o.fence = max(o.fence, fence)
	o.done = append(o.done, v)
	return true
}

// show writes the orders that were carried out.
func (o *orders) show(w http.ResponseWriter) {
	o.mu.Lock()
	defer o.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(o.done)
}
