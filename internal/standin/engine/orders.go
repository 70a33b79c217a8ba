package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/backend"
)

// orderHandler receives the orders that an engine gets from agents, and lists them. It is safe for concurrent use.
type orderHandler struct {
	// checksFencing is set when orders with a fencing number below highestFence are refused.
	checksFencing bool

	mu sync.Mutex
	// highestFence is the highest fencing number of an order that was carried out.
	highestFence int64
	// carriedOut holds the orders that were carried out, oldest first.
	carriedOut []laburnumring.Order
}

// ServeHTTP replies to GET with the orders that were carried out. It carries out any other request's order, and replies
// with status 400 when the order or its fencing number can't be parsed and with 409 when the number is outdated.
func (o *orderHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		o.list(w)
		return
	}
	var order laburnumring.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	fence, err := strconv.ParseInt(r.Header.Get(backend.FenceHeader), 10, 64)
	if err != nil {
		http.Error(w, "an order needs a fencing number", http.StatusBadRequest)
		return
	}
	if !o.carryOut(fence, order) {
		http.Error(w, "a newer fencing number was seen", http.StatusConflict)
	}
}

// carryOut records an order as carried out and returns true. It returns false when fencing numbers are checked and
// fence is lower than the highest one seen.
func (o *orderHandler) carryOut(fence int64, order laburnumring.Order) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.checksFencing && fence < o.highestFence {
		return false
	}
	o.highestFence = max(o.highestFence, fence)
	o.carriedOut = append(o.carriedOut, order)
	return true
}

// list replies with the orders that were carried out, as JSON.
func (o *orderHandler) list(w http.ResponseWriter) {
	o.mu.Lock()
	defer o.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(o.carriedOut)
}
