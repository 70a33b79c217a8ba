package intake

import (
	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Load is what one router has at one server.
type Load struct {
	_ struct{} `cbor:",toarray"`
	// Running counts the requests that were sent and have not ended.
	Running int
	// Queued is the prompt tokens of those without a first token, Memory the tokens that all of them hold or will
	// hold beyond the shared parts.
	Queued int64
	Memory int64
}

func (l Load) plus(o Load) Load {
	return Load{Running: l.Running + o.Running, Queued: l.Queued + o.Queued, Memory: l.Memory + o.Memory}
}

func (l Load) minus(o Load) Load {
	return Load{Running: l.Running - o.Running, Queued: l.Queued - o.Queued, Memory: l.Memory - o.Memory}
}

// server is one backend server and what this router knows of it.
type server struct {
	entry laburnumring.ServerEntry
	// load is what this router has there.
	load Load
	// kept holds the prompt parts that the server has read, with the time of the last use.
	kept map[string]clock.Millis
	// failures is the decayed part of attempts that the server failed, 0 to 1.
	failures float64
	// pace is the decayed time between two events of a stream, in milliseconds; 0 before the first.
	pace float64
	// latency is the decayed time of plain calls, in milliseconds; 0 before the first.
	latency float64
	// blockedUntil is until when the server gets nothing, and backoff how long the next block lasts.
	blockedUntil clock.Millis
	backoff      clock.Millis
}

// Bounds of what is held against a server.
const (
	// partLife is how long a part is taken as kept after its last use: engines drop the least recently used.
	partLife = 30 * clock.Second
	// maxKept bounds the parts remembered for a server.
	maxKept = 2048
	// failureWeight is the weight of one attempt in the failures.
	failureWeight = 0.1
	latencyWeight = 0.1
	// paceWeight is the weight of one event; at each server dozens come in a step.
	paceWeight = 0.02
	minBackoff = 250 * clock.Millis(1)
	maxBackoff = 2 * clock.Second
)

// fresh returns the prompt tokens that the server has to read: those from the first part on that it does not keep.
// Home says that the server is where the prompt's shared part belongs, so that it is taken as kept.
func (s *server) fresh(now clock.Millis, r Request, home bool) int64 {
	left := r.PromptTokens
	for i, p := range r.Parts {
		used, ok := s.kept[p.ID]
		last := i == len(r.Parts)-1
		if (!ok || now-used > partLife) && (!home || last) {
			break
		}
		left -= p.Tokens
	}
	return max(left, 1)
}

// keep notes that the server reads the request's parts.
func (s *server) keep(now clock.Millis, r Request) {
	if len(s.kept) > maxKept {
		for id, used := range s.kept {
			if now-used > partLife/4 {
				delete(s.kept, id)
			}
		}
	}
	for _, p := range r.Parts {
		s.kept[p.ID] = now
	}
}

// block keeps work away for a time that doubles while the server stays unreachable.
func (s *server) block(now clock.Millis) {
	s.backoff = min(maxBackoff, max(minBackoff, 2*s.backoff))
	s.blockedUntil = now + s.backoff
}

func (s *server) succeeded() {
	s.backoff = 0
	s.blockedUntil = 0
	s.failures *= 1 - failureWeight
}

func (s *server) failed() {
	s.failures = (1-failureWeight)*s.failures + failureWeight
}
