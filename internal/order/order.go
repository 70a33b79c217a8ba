// Package order decides by leases in a log who may give orders to a backend server. An order is an operator's command
// to a server, such as loading an adapter.
//
// To give orders, a process acquires a lease by appending it to the log. The offset of the lease's record is its
// fencing number, and each order carries it. An agent accepts an order only with the fencing number of the newest
// lease on its server, so a holder that was paused cannot act after another one has taken over.
package order

import (
	"encoding/json"
	"fmt"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Stream is the log stream that holds leases.
const Stream = "orders"

// NoFence is lower than every fencing number.
const NoFence int64 = -1

// Lease is a record that entitles its holder to give orders to one server. The record's offset is its fencing number.
// Only the newest lease on a server counts, even if an older one has not expired.
type Lease struct {
	// ID identifies the attempt to acquire the lease. A record that is appended twice has the same ID both times.
	ID string `json:"id"`
	// Server is the backend server's name.
	Server string `json:"server"`
	// Holder is the name of the lease's holder.
	Holder string `json:"holder"`
	// At is when the record was created by the holder's clock, in Unix milliseconds.
	At clock.Millis `json:"at_ms"`
	// TTL is how long others should not acquire a lease on the server. Fencing does not depend on it.
	TTL clock.Millis `json:"life_ms"`
}

// FencedLease is a lease with its fencing number.
type FencedLease struct {
	Lease
	// Fence is the offset of the lease's record.
	Fence int64
}

// Live reports whether the lease has not expired.
func (h FencedLease) Live(now clock.Millis) bool { return now < h.At+h.TTL }

// Controller tracks the newest lease on each server. It must not be used concurrently.
type Controller struct {
	// next is the offset of the next record to apply; it never decreases.
	next int64
	// newest holds the newest lease on each server; its fencing number never decreases.
	newest map[string]FencedLease
	// atEnd reports whether the last page reached the end of the stream.
	atEnd bool
}

// New returns a controller that has read nothing.
func New() *Controller {
	return &Controller{newest: make(map[string]FencedLease)}
}

// Next returns the offset of the next record to read.
func (c *Controller) Next() int64 { return c.next }

// AtEnd reports whether the last page reached the end that the stream had when the page was read.
func (c *Controller) AtEnd() bool { return c.atEnd }

// Newest returns the newest lease on a server.
func (c *Controller) Newest(server string) (FencedLease, bool) {
	h, ok := c.newest[server]
	return h, ok
}

// ApplyPage applies records that were read from offset Next on, and returns the leases among them, oldest first. All
// readers ignore records that cannot be decoded.
func (c *Controller) ApplyPage(p laburnumring.Page) []FencedLease {
	var out []FencedLease
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
		h := FencedLease{Lease: l, Fence: r.Offset}
		c.newest[l.Server] = h
		out = append(out, h)
	}
	c.atEnd = c.next >= p.Next
	return out
}

// Check returns a *FencedError unless fence is the fencing number of the newest lease on the server. The stream must
// have been read to its end after the order arrived.
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

// FencedError reports an order without the fencing number of the newest lease.
type FencedError struct {
	// Server is the backend server's name.
	Server string
	// Fence is the order's fencing number.
	Fence int64
	// Newest is the fencing number of the newest lease; NoFence when there is none.
	Newest int64
}

// Error implements error.
func (e *FencedError) Error() string {
	return fmt.Sprintf("order to server %s with fencing number %d: the newest is %d", e.Server, e.Fence, e.Newest)
}
