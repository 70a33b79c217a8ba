package intake

import "github.com/laburnumring/laburnumring/pkg/clock"

// attempt is a request that was sent to a server and has not ended.
type attempt struct {
	r      Request
	server string
	load   Load
	// tokensToRead is the prompt tokens that the server had to read before the first token, those of this request
	// included.
	tokensToRead int64
	// unqueuedMs is the predicted time to the first token with an empty queue, in milliseconds.
	unqueuedMs int64
	sentAt     clock.Millis
	started    bool
}

// assign assigns a request to a server and charges its load and tokens.
func (c *Controller) assign(now clock.Millis, r Request, ch choice, v *view) Decision {
	b := ch.basis
	l := Load{Running: 1}
	if c.isEngine(r.Service) {
		l.Queued = b.Uncached
		l.Memory = r.ownTokens() + r.OutputTokens
		ch.s.markCached(now, r)
		c.observeSize(r, ch.s, b.Uncached)
		c.demand(r.Service).observeCost(now, float64(r.tokens()), c.limited(now, ch.s))
		if !r.Committed {
			c.ledger.AddServed(now, r.Team, r.tokens())
			c.usage.Team(r.Team).Sent += r.tokens()
		}
		v.teams[r.Team] = c.ledger.Total(now, r.Team)
	}
	c.limits.Take(now, uint32(ch.s.key))
	ch.s.load = ch.s.load.plus(l)
	c.attempts[r.ID] = &attempt{
		r: r, server: ch.s.entry.ID, load: l, tokensToRead: b.Queued + b.Uncached, unqueuedMs: ch.unqueuedMs, sentAt: now,
	}
	return Decision{Request: r.ID, Server: ch.s.entry, Basis: b}
}

// Started records the first event of a stream or the answer to a plain call.
func (c *Controller) Started(now clock.Millis, id int64) {
	a, ok := c.attempts[id]
	if !ok || a.started {
		return
	}
	a.started = true
	s := c.servers[a.server]
	s.load.Queued -= a.load.Queued
	s.succeeded()
	if !c.isEngine(a.r.Service) {
		return
	}
	c.recordStart(now, a.r)
	if !c.timersLate {
		c.forecast(a.r.Service).Observe(a.server, a.tokensToRead, now-a.sentAt)
		if fraction, ok := waitFraction(float64(now-a.sentAt), float64(a.unqueuedMs), float64(a.r.Goal)); ok {
			c.capacity(a.r.Service).observeWait(fraction)
		}
	}
}

// Result is the outcome of an attempt.
type Result int

// Outcomes of an attempt.
const (
	// Whole means that the server gave a complete answer.
	Whole Result = iota + 1
	// Failed means that the server failed the request: it gave no answer, a broken one, or one that reports an error.
	Failed
	// NotRun means that the server did not accept the request.
	NotRun
	// Unreachable means that no connection to the server could be established.
	Unreachable
	// Abandoned means that the caller disconnected or the request's deadline passed.
	Abandoned
)

// Ended records the end of an attempt.
func (c *Controller) Ended(now clock.Millis, id int64, res Result) {
	a, ok := c.attempts[id]
	if !ok {
		return
	}
	delete(c.attempts, id)
	s := c.servers[a.server]
	s.load.Running--
	s.load.Memory -= a.load.Memory
	if !a.started {
		s.load.Queued -= a.load.Queued
	}
	c.recordResult(now, s, a, res)
	if s.load.Running == 0 && !c.lists(s) {
		delete(c.servers, a.server)
	}
}

// Unreachable records that no connection to a server can be established. The server gets no work for a while and is
// assumed to have lost its cached prompt parts.
func (c *Controller) Unreachable(now clock.Millis, id string) {
	if s, ok := c.servers[id]; ok {
		s.block(now)
		clear(s.cached)
	}
}

// recordResult updates the server's statistics with the outcome of an attempt. It reverts the team's charge if the
// request neither started in this attempt nor before.
func (c *Controller) recordResult(now clock.Millis, s *server, a *attempt, res Result) {
	switch res {
	case Whole:
		s.succeeded()
		if !c.isEngine(a.r.Service) {
			took := float64(now - a.sentAt)
			if s.latencyMs == 0 {
				s.latencyMs = took
			}
			s.latencyMs += latencyWeight * (took - s.latencyMs)
		}
	case Failed:
		s.failed()
	case Unreachable:
		c.Unreachable(now, a.server)
	case NotRun, Abandoned:
	}
	if !a.started && !a.r.Committed && res != Whole && c.isEngine(a.r.Service) {
		c.ledger.AddServed(now, a.r.Team, -a.r.tokens())
		c.usage.Team(a.r.Team).Reverted += a.r.tokens()
	}
}

// Progress records that a number of a stream's events arrived, the given time after the preceding ones.
func (c *Controller) Progress(id int64, events int, took clock.Millis) {
	a, ok := c.attempts[id]
	if !ok || events == 0 || c.timersLate {
		return
	}
	s := c.servers[a.server]
	gap := float64(took) / float64(events)
	if s.eventGapMs == 0 {
		s.eventGapMs = gap
	}
	s.eventGapMs += eventGapWeight * float64(events) * (gap - s.eventGapMs)
}
