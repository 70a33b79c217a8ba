package router

import (
	"io"
	"net/http"
)

// Limits on the request bodies that a router holds at one time, in bytes.
const (
	maxReservedBytes     = 256 << 20
	maxTeamReservedBytes = 64 << 20
)

// bodyQuota limits the memory that the bodies of unfinished requests take, in total and for each team.
type bodyQuota struct {
	// total is the sum of byTeam and at most maxReservedBytes.
	total int64
	// byTeam holds the reserved bytes of each team, at most maxTeamReservedBytes. No entry is 0.
	byTeam map[string]int64
}

// reserve reserves n bytes for a team. It reports false when a limit would be exceeded.
func (b *bodyQuota) reserve(team string, n int64) bool {
	if b.total+n > maxReservedBytes || b.byTeam[team]+n > maxTeamReservedBytes {
		return false
	}
	b.add(team, n)
	return true
}

// release returns n reserved bytes.
func (b *bodyQuota) release(team string, n int64) { b.add(team, -n) }

func (b *bodyQuota) add(team string, n int64) {
	b.total += n
	b.byTeam[team] += n
	if b.byTeam[team] == 0 {
		delete(b.byTeam, team)
	}
}

// reserveStep is how many bytes are reserved at a time while a body arrives.
const reserveStep = 64 << 10

// reservedBody reserves memory for a body before it is read.
type reservedBody struct {
	io.ReadCloser
	r *Router
	c *call
	// announced is the announced length, negative if there is none.
	announced int64
	// read is the number of bytes that have been read.
	read int64
}

// Read implements io.Reader. It fails with a *badRequestError if the quota is used up.
func (b *reservedBody) Read(p []byte) (int, error) {
	if b.read == b.c.reservedBytes {
		n := int64(reserveStep)
		if b.announced >= 0 {
			// The last read finds the end and needs a byte of room.
			n = min(n, max(1, b.announced-b.read))
		}
		if !b.reserve(n) {
			return 0, &badRequestError{http.StatusTooManyRequests, "queue_full", "the team's waiting requests hold too many bytes"}
		}
	}
	n, err := b.ReadCloser.Read(p[:min(int64(len(p)), b.c.reservedBytes-b.read)])
	b.read += int64(n)
	return n, err
}

// reserve adds n bytes to what is reserved for the request.
func (b *reservedBody) reserve(n int64) bool {
	b.r.mu.Lock()
	defer b.r.mu.Unlock()
	if !b.r.bodyQuota.reserve(b.c.request.Team, n) {
		return false
	}
	b.c.reservedBytes += n
	return true
}

// bufferBody reads a request's body and reserves memory for it as it arrives. What is announced reserves nothing, so that
// callers which do not send it do not keep others of their team out. Its errors are of type *badRequestError.
func (r *Router) bufferBody(c *call, req *http.Request) error {
	if req.Body != nil && req.Body != http.NoBody {
		req.Body = &reservedBody{ReadCloser: req.Body, r: r, c: c, announced: req.ContentLength}
	}
	err := c.readBody(req)
	r.mu.Lock()
	defer r.mu.Unlock()
	unused := c.reservedBytes - int64(len(c.body))
	r.bodyQuota.release(c.request.Team, unused)
	c.reservedBytes -= unused
	return err
}
