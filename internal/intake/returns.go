package intake

import "github.com/laburnumring/laburnumring/pkg/clock"

// returns knows the requests that were refused lately, here or at other routers, by the fingerprint of their content,
// so that one that comes back is known: it is late already, and was told when to come.
type returns struct {
	// refused holds when a request was first refused; at most maxReturns.
	refused map[uint64]clock.Millis
	// recent holds the refusals of this router that the others are still told, oldest first.
	recent []refusal
}

// refusal is one request that this router refused.
type refusal struct {
	fingerprint uint64
	at          clock.Millis
}

const (
	// returnLife is how long a refusal is known: no longer than callers of today's services wait.
	returnLife = 15 * clock.Second
	// newsLife is how long other routers are told of a refusal; several messages, as some are lost.
	newsLife   = 400 * clock.Millis(1)
	maxReturns = 1 << 15
	// maxNews bounds what one message tells.
	maxNews = 256
)

// first returns when the request was first refused, and false when it was not.
func (s *returns) first(now clock.Millis, fingerprint uint64) (clock.Millis, bool) {
	at, ok := s.refused[fingerprint]
	return at, ok && now-at <= returnLife
}

// note records a refusal by this router.
func (s *returns) note(now clock.Millis, fingerprint uint64) {
	s.learn(now, fingerprint)
	s.recent = append(s.recent, refusal{fingerprint: fingerprint, at: now})
}

// learn records a refusal, unless an earlier one of the same request is known.
func (s *returns) learn(now clock.Millis, fingerprint uint64) {
	if _, ok := s.first(now, fingerprint); ok {
		return
	}
	if len(s.refused) >= maxReturns {
		s.prune(now)
	}
	if len(s.refused) < maxReturns {
		s.refused[fingerprint] = now
	}
}

func (s *returns) prune(now clock.Millis) {
	for f, at := range s.refused {
		if now-at > returnLife {
			delete(s.refused, f)
		}
	}
}

// news returns the refusals that the other routers are told.
func (s *returns) news(now clock.Millis) []uint64 {
	i := 0
	for i < len(s.recent) && (now-s.recent[i].at > newsLife || len(s.recent)-i > maxNews) {
		i++
	}
	s.recent = append(s.recent[:0], s.recent[i:]...)
	out := make([]uint64, 0, len(s.recent))
	for _, r := range s.recent {
		out = append(out, r.fingerprint)
	}
	return out
}
