// Package control injects faults into the stand-in services that tests run in place of real ones. A test or an
// operator sets the faults at run time, in process or over HTTP.
package control

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Faults are the faults to inject into one stand-in. The zero value injects none.
type Faults struct {
	// Down is set while every call is refused with status 503.
	Down bool `json:"down"`
	// DelayMs is the delay before each call is handled, in milliseconds.
	DelayMs int `json:"delay_ms"`
	// LoseReplies is the number of upcoming state-changing calls that take effect but whose connection is closed
	// without a reply.
	LoseReplies int `json:"lose_replies"`
	// Unmarked is set while a plain service's answers have neither a length nor chunks and end with their connection, and
	// Cut while only the first half of such an answer is sent.
	Unmarked bool `json:"unmarked"`
	Cut      bool `json:"cut"`
	// LoadFactor divides a model engine's speed; values below 1 have no effect.
	LoadFactor float64 `json:"load_factor"`
	// Contradict is set while a model engine answers the same prompt differently in each run.
	Contradict bool `json:"contradict"`
	// AnswerByVersion is set while the first token of a model engine's answers depends on the version of its software.
	AnswerByVersion bool `json:"answer_by_version"`
	// BreakAfterTokens is the number of tokens after which a model engine aborts its next run; 0 means that it
	// completes the run.
	BreakAfterTokens int `json:"break_after_tokens"`
	// CrashAtBreak is set if the engine crashes when it aborts the run.
	CrashAtBreak bool `json:"crash_at_break"`
}

// Control holds the current faults of a stand-in and serves HTTP requests that replace them. It is safe for
// concurrent use.
type Control struct {
	mu     sync.Mutex
	faults Faults
}

// Faults returns the current faults.
func (c *Control) Faults() Faults {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faults
}

// Set replaces the current faults with f.
func (c *Control) Set(f Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = f
}

// LoseReply reports whether the reply to the current call is to be lost, and decrements LoseReplies if so.
func (c *Control) LoseReply() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.faults.LoseReplies == 0 {
		return false
	}
	c.faults.LoseReplies--
	return true
}

// TakeBreakAfterTokens returns BreakAfterTokens and resets it to 0, so that it applies to one run only.
func (c *Control) TakeBreakAfterTokens() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.faults.BreakAfterTokens
	c.faults.BreakAfterTokens = 0
	return n
}

// ServeHTTP replaces the current faults with those in the JSON request body. It replies with status 400 when the body
// can't be decoded.
func (c *Control) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.Set(f)
}

// Wrap returns a handler that applies the current delay and outage before it calls h.
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
