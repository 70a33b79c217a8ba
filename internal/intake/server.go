package intake

import (
	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Load is the load that one router puts on one server.
type Load struct {
	_ struct{} `cbor:",toarray"`
	// Running is the number of requests that were sent and have not ended.
	Running int
	// Queued is the prompt tokens of the requests without a first token, Memory the tokens that all requests hold or
	// will hold in the server's memory beyond the shared parts.
	Queued int64
	Memory int64
}

func (l Load) plus(o Load) Load {
	return Load{Running: l.Running + o.Running, Queued: l.Queued + o.Queued, Memory: l.Memory + o.Memory}
}

func (l Load) minus(o Load) Load {
	return Load{Running: l.Running - o.Running, Queued: l.Queued - o.Queued, Memory: l.Memory - o.Memory}
}

// server is a backend server with what this router knows about it.
type server struct {
	entry laburnumring.ServerEntry
	// key is the server's key in reports.
	key ServerKey
	// rank is the server's place in an order that all routers share, at least 0 and below 1.
	rank float64
	// software is the key of the version of its software.
	software uint64
	// load is the load that this router puts on it.
	load Load
	// cached holds the prompt parts that the server has read, with the time of their last use.
	cached map[string]clock.Millis
	// failureRate is the exponentially decayed fraction of attempts that the server failed, 0 to 1.
	failureRate float64
	// eventGapMs is the exponentially decayed mean time between two events of a stream, in milliseconds; 0 before the
	// first.
	eventGapMs float64
	// latencyMs is the exponentially decayed mean time of plain calls, in milliseconds; 0 before the first.
	latencyMs float64
	// blockedUntil is when the server may get work again after it was unreachable, and backoff is how long the last
	// block lasted.
	blockedUntil clock.Millis
	backoff      clock.Millis
}

// Weights and limits of a server's statistics.
const (
	// partTTL is how long after its last use a part counts as cached: engines evict the least recently used parts.
	partTTL = 30 * clock.Second
	// maxCached is the number of remembered parts above which those not used recently are dropped.
	maxCached = 2048
	// failureWeight is the weight of one attempt in failureRate.
	failureWeight = 0.1
	latencyWeight = 0.1
	// eventGapWeight is the weight of one event in eventGapMs; each server sends dozens of events in a step.
	eventGapWeight = 0.02
	minBackoff     = 250 * clock.Millis(1)
	maxBackoff     = 2 * clock.Second
)

// uncachedTokens returns the prompt tokens that the server has to read, at least 1: those from the first uncached part
// on. primary is set for the primary server of the prompt's shared part, where shared parts count as cached.
func (s *server) uncachedTokens(now clock.Millis, r Request, primary bool) int64 {
	left := r.PromptTokens
	for i, p := range r.Parts {
		used, ok := s.cached[p.ID]
		last := i == len(r.Parts)-1
		if (!ok || now-used > partTTL) && (!primary || last) {
			break
		}
		left -= p.Tokens
	}
	return max(left, 1)
}

// markCached records that the server reads the request's parts.
func (s *server) markCached(now clock.Millis, r Request) {
	if len(s.cached) > maxCached {
		for id, used := range s.cached {
			if now-used > partTTL/4 {
				delete(s.cached, id)
			}
		}
	}
	for _, p := range r.Parts {
		s.cached[p.ID] = now
	}
}

// block withholds work for a time that doubles while the server stays unreachable.
func (s *server) block(now clock.Millis) {
	s.backoff = min(maxBackoff, max(minBackoff, 2*s.backoff))
	s.blockedUntil = now + s.backoff
}

func (s *server) succeeded() {
	s.backoff = 0
	s.blockedUntil = 0
	s.failureRate *= 1 - failureWeight
}

func (s *server) failed() {
	s.failureRate = (1-failureWeight)*s.failureRate + failureWeight
}
