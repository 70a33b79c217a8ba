// Package control holds the faults that a stand-in shows on command.
package control

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Faults are the faults of one stand-in. Zero means none.
type Faults struct {
	// Down refuses every call with status 503.
	Down bool `json:"down"`
	// DelayMs delays every call.
	DelayMs int `json:"delay_ms"`
	// LoseReplies is how many of the next changes take effect without their reply.
	LoseReplies int `json:"lose_replies"`
	// LoadFactor divides a model engine's speed.
	LoadFactor float64 `json:"load_factor"`
	// Contradict makes a model engine's answers differ from run to run.
	Contradict bool `json:"contradict"`
	// BreakAfterTokens makes a model engine break off its next run after so many tokens; 0 for none.
	BreakAfterTokens int `json:"break_after_tokens"`
}

// Control hands out the faults in force. It is safe for concurrent use.
type Control struct {
	mu     sync.Mutex
	faults Faults
}

// Faults returns the faults in force.
func (c *Control) Faults() Faults {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faults
}

// Set puts faults in force.
func (c *Control) Set(f Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = f
}

// LoseReply takes one lost reply and reports whether there was one.
func (c *Control) LoseReply() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.faults.LoseReplies == 0 {
		return false
	}
	c.faults.LoseReplies--
	return true
}

// TakeBreak returns after how many tokens the next run breaks off, for one run only, or 0.
func (c *Control) TakeBreak() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.faults.BreakAfterTokens
	c.faults.BreakAfterTokens = 0
	return n
}

// ServeHTTP puts the faults of a JSON body in force.
func (c *Control) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.Set(f)
}

// Wrap lets h show the delays and outages in force.
func (c *Control) Wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f := c.Faults()
		if f.DelayMs > 0 {
			time.Sleep(time.Duration(f.DelayMs) * time.Millisecond)
		}
		if f.Down {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		h.ServeHTTP(w, r)
	})
}
