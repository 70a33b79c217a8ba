package router

import "net/http"

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

// bufferBody reserves memory for a request's body and reads the body. Its errors are of type *badRequestError.
func (r *Router) bufferBody(c *call, req *http.Request) error {
	n := req.ContentLength
	if n < 0 || n > maxBody {
		n = maxBody
	}
	r.mu.Lock()
	ok := r.bodyQuota.reserve(c.request.Team, n)
	r.mu.Unlock()
	if !ok {
		return &badRequestError{http.StatusTooManyRequests, "queue_full", "the team's waiting requests hold too many bytes"}
	}
	err := c.readBody(req)
	c.reservedBytes = int64(len(c.body))
	r.mu.Lock()
	r.bodyQuota.release(c.request.Team, n-c.reservedBytes)
	r.mu.Unlock()
	return err
}
