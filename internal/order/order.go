// Package order decides who may give orders to a backend server, by the leases in a log.
package order

import (
	"encoding/json"
	"fmt"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Stream is the log stream that holds leases.
const Stream = "orders"

// NoFence is below every fencing number.
const NoFence int64 = -1

// Lease is a record by which its holder may give orders to one server. Its offset is its fencing number. The
// newest lease on a server counts, whether older ones have ended or not.
type Lease struct {
	// ID is unique to the attempt to take the lease; a doubled append carries it twice.
	ID string `json:"id"`
	// Server is the backend server's name.
	Server string `json:"server"`
	// Holder names who takes the lease.
	Holder string `json:"holder"`
	// At is when the record was made by the holder's clock, in Unix milliseconds.
	At clock.Millis `json:"at_ms"`
	// Life is how long others should leave the server to the holder. Nothing relies on it.
	Life clock.Millis `json:"life_ms"`
}

// Held is a lease with its fencing number.
type Held struct {
	Lease
	// Fence is the offset of the lease's record.
	Fence int64
}

// Live reports whether others should leave the server to the holder.
func (h Held) Live(now clock.Millis) bool { return now < h.At+h.Life }

// Controller follows the leases. It is used by one goroutine at a time.
type Controller struct {
	// next is the offset of the next record to apply; it only grows.
	next int64
	// newest holds the newest lease on each server; its fencing number only grows.
	newest map[string]Held
	// current says that the last page reached the end of the stream.
	current bool
}

// New returns a controller that has read nothing.
func New() *Controller {
	return &Controller{newest: make(map[string]Held)}
}

// Next returns the offset from which to read.
func (c *Controller) Next() int64 { return c.next }

// Current reports whether the last page reached the end of the stream at the time of its reading.
func (c *Controller) Current() bool { return c.current }

// Newest returns the newest lease on a server.
func (c *Controller) Newest(server string) (Held, bool) {
	h, ok := c.newest[server]
	return h, ok
}

// Page takes records read from offset Next on and returns the leases among them, oldest first. Records that
// cannot be understood are ignored by every reader.
func (c *Controller) Page(p laburnumring.Page) []Held {
	var out []Held
	c.next = max(c.next, p.First)
	for _, r := range p.Records {
		if r.Offset < c.next {
			continue
		}
		if r.Offset > c.next {
			break
		}
		c.next = r.Offset + 1
		var l Lease
		if json.Unmarshal(r.Data, &l) != nil || l.ID == "" || l.Server == "" {
			continue
		}
		h := Held{Lease: l, Fence: r.Offset}
		c.newest[l.Server] = h
		out = append(out, h)
	}
	c.current = c.next >= p.Next
	return out
}

// Check refuses an order whose fencing number is not that of the newest lease on its server. The stream must
// have been read to its end after the order arrived. Its errors are of type *FencedError.
func (c *Controller) Check(server string, fence int64) error {
	h, ok := c.newest[server]
	if !ok {
		return &FencedError{Server: server, Fence: fence, Newest: NoFence}
	}
	if h.Fence != fence {
		return &FencedError{Server: server, Fence: fence, Newest: h.Fence}
	}
	return nil
}

// FencedError reports an order that was given without the newest lease.
type FencedError struct {
	// Server is the backend server's name.
	Server string
	// Fence is the order's fencing number.
	Fence int64
	// Newest is that of the newest lease; NoFence when there is none.
	Newest int64
}

// Error implements error.
func (e *FencedError) Error() string {
	return fmt.Sprintf("order to server %s with fencing number %d: the newest is %d", e.Server, e.Fence, e.Newest)
}
