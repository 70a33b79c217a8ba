package router

import "net/http"

// Bounds of the callers' bodies that a router holds at one time, in bytes.
const (
	maxBodies     = 256 << 20
	maxTeamBodies = 64 << 20
)

// bodies counts the bytes of callers' bodies, so that waiting requests take a bounded part of memory.
type bodies struct {
	// total is the sum of byTeam and at most maxBodies.
	total int64
	// byTeam holds at most maxTeamBodies for each team; no entry is 0.
	byTeam map[string]int64
}

// take reserves n bytes for a team and reports whether there was room.
func (b *bodies) take(team string, n int64) bool {
	if b.total+n > maxBodies || b.byTeam[team]+n > maxTeamBodies {
		return false
	}
	b.add(team, n)
	return true
}

// give returns n bytes.
func (b *bodies) give(team string, n int64) { b.add(team, -n) }

func (b *bodies) add(team string, n int64) {
	b.total += n
	b.byTeam[team] += n
	if b.byTeam[team] == 0 {
		delete(b.byTeam, team)
	}
}

// holdBody reserves room for a request's body and reads it. Its errors are of type *badRequestError.
func (r *Router) holdBody(c *call, req *http.Request) error {
	n := req.ContentLength
	if n < 0 || n > maxBody {
		n = maxBody
	}
	r.mu.Lock()
	ok := r.bodies.take(c.r.Team, n)
	r.mu.Unlock()
	if !ok {
		return &badRequestError{http.StatusTooManyRequests, "queue_full", "the team's waiting requests hold too many bytes"}
	}
	err := c.readBody(req)
	c.held = int64(len(c.body))
	r.mu.Lock()
	r.bodies.give(c.r.Team, n-c.held)
	r.mu.Unlock()
	return err
}
