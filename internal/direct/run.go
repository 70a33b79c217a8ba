package direct

import (
	"context"
	"net/http"
	"slices"

	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/intake"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// run processes a request to its end: it tries servers until one has answered, the request is refused, or its time is
// over.
func (r *Router) run(ctx context.Context, c *call) {
	if refusal := r.resolveOrigin(ctx, c); refusal != nil {
		r.refuse(c, intake.Decision{Refusal: refusal})
		return
	}
	first := true
	for {
		if refusal := r.crashRefusal(r.o.Clock.Now(), c, false); refusal != nil {
			r.refuse(c, intake.Decision{Refusal: refusal})
			return
		}
		d, ok := r.awaitDecision(ctx, c, first)
		first = false
		if !ok {
			r.expire(c)
			return
		}
		if d.Refusal != nil {
			r.refuse(c, d)
			return
		}
		end := r.attempt(ctx, c, d)
		r.recordAttempt(c, d, end)
		if end.final {
			return
		}
		if ctx.Err() != nil {
			r.expire(c)
			return
		}
		if !r.mayRetry(c, end) {
			r.giveUp(c, end)
			return
		}
		if c.origin.Software != 0 {
			if refusal := r.confirmOrigin(ctx, c, r.o.Clock.Now()); refusal != nil {
				r.refuse(c, intake.Decision{Refusal: refusal})
				return
			}
		}
	}
}

// awaitDecision returns the decision on a request. It returns false if the request's time was over, or its caller had
// gone, before the decision.
func (r *Router) awaitDecision(ctx context.Context, c *call, first bool) (intake.Decision, bool) {
	now := r.o.Clock.Now()
	req := c.request()
	r.mu.Lock()
	submit := r.intake.Resubmit
	if first {
		submit = r.intake.Submit
	}
	d, ok := submit(now, req)
	if !ok {
		r.pending[c.seq] = c
	}
	r.mu.Unlock()
	if ok {
		return d, true
	}
	select {
	case d := <-c.decided:
		return d, true
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, waits := r.pending[c.seq]; waits {
		delete(r.pending, c.seq)
		r.intake.Withdraw(c.seq)
		return intake.Decision{}, false
	}
	if d := <-c.decided; d.Refusal == nil {
		r.intake.Ended(r.o.Clock.Now(), c.seq, intake.NotRun)
	}
	return intake.Decision{}, false
}

// request returns the request as package intake needs it.
func (c *call) request() intake.Request {
	out := c.head.OutputTokens
	if c.head.LengthHint > 0 {
		out = min(c.head.LengthHint, max(1, out))
	} else {
		out = int64(expectedOutputFraction * float64(out))
	}
	return intake.Request{
		ID: c.seq, Team: c.team, Service: c.service, Parts: c.head.Parts, PromptTokens: c.head.PromptTokens,
		OutputTokens: out, Arrived: c.arrived, Goal: c.route.Goal(), Deadline: c.deadline, Tried: c.tried,
		Fingerprint: c.fingerprint, Committed: c.firstByte > 0,
		Stream: c.route.Resumable(), Software: c.origin.Software, TakenUp: c.takenUp,
	}
}

// mayRetry reports whether the request may go to another server after an attempt that ended without an answer for the
// caller.
func (r *Router) mayRetry(c *call, end attemptEnd) bool {
	if end.result == intake.Unreachable || c.attempts == 0 {
		return true
	}
	if c.attempts >= c.route.Attempts() || end.result != intake.NotRun && !c.route.MayRepeat() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.retryCap(c.service).AllowRepeat(r.o.Clock.Now(), 1/float64(max(minRetryShares, 2*(1+len(r.gossip.Peers())))))
}

// recordAttempt records the end of an attempt.
func (r *Router) recordAttempt(c *call, d intake.Decision, end attemptEnd) {
	now := r.o.Clock.Now()
	if end.err != nil && end.result != intake.Abandoned {
		r.o.Logger.Log(event.AttemptFailed, "id", c.head.ID, "server", d.Server.ID, "send", c.attempts,
			"after_ms", int64(now-c.arrived), "delivered_event", c.events.LastID(), "error", end.err)
	}
	c.tried = append(slices.Clone(c.tried), d.Server.ID)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.intake.Ended(now, c.seq, end.result)
	if end.result == intake.Whole {
		r.workTimes.Record(c.route.Name(), now-c.sentAt)
	}
	if end.result == intake.Whole && !c.resumed {
		r.quarantine.RecordAnswer(now, c.fingerprint, c.parts)
	}
	if end.addressReassigned {
		r.roster.AddressReassigned(d.Server.ID)
		r.o.Logger.Log(event.ServerAddressReassigned, "server", d.Server.ID, "address", d.Server.Address)
		r.setUsableServers()
	}
	r.deliverDecisions()
}

func attemptOrder(n int) string {
	if n <= 1 {
		return "first"
	}
	return "repeated"
}

// refuse refuses a request. The caller is told that it has not run, unless an earlier attempt may have run it.
func (r *Router) refuse(c *call, d intake.Decision) {
	r.metrics.refused.WithLabelValues(c.service, d.Refusal.Reason).Inc()
	r.o.Logger.Log(event.RequestNotAdmitted, "id", c.head.ID, "team", c.team, "route", c.route.Name(),
		"resumes", c.head.Resumes,
		"reason", d.Refusal.Reason, "part", d.Refusal.Part, "retry_after_ms", int64(d.Refusal.RetryAfter),
		"waited_ms", int64(r.o.Clock.Now()-c.arrived), "expected_ms", d.Basis.Expected, "queued", d.Basis.Queued,
		"running", d.Basis.Running, "served", d.Basis.Served, "recent", d.Basis.Recent, "share", d.Basis.FairRate,
		"peer_age_ms", int64(d.Basis.PeerAge), "may_have_run", c.mayHaveRun)
	if r.stopping.Load() != nil && !c.committed {
		c.w.Header().Set("Connection", "close")
	}
	r.giveUp(c, attemptEnd{result: intake.NotRun, retryAfter: d.Refusal.RetryAfter, reason: d.Refusal.Reason})
}

// defaultRetryAfter tells a caller when to come back after a server had no slot for its request.
const defaultRetryAfter = 300 * clock.Millis(1)

// giveUp ends a request that no server answered successfully.
func (r *Router) giveUp(c *call, end attemptEnd) {
	if c.committed {
		c.result = resultFailed
		return
	}
	if end.answer != nil {
		// A server's own error response is passed on rather than hidden.
		c.result = resultComplete
		end.answer.write(c)
		return
	}
	if c.mayHaveRun {
		c.result = resultFailed
		c.respond(http.StatusBadGateway, "server_failed", 0)
		return
	}
	c.result = resultNotRun
	after := end.retryAfter
	if after == 0 {
		after = defaultRetryAfter
	}
	reason := end.reason
	if reason == "" {
		reason = "servers_full"
	}
	c.respond(refusalStatus(reason), reason, after)
}

// refusalStatus returns the status of a refusal. A team above its share is told that it is its own demand, and not a lack
// of servers.
func refusalStatus(reason string) int {
	if reason == intake.ReasonOverShare {
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

// expire ends a request whose time is over or whose caller has gone.
func (r *Router) expire(c *call) {
	if c.req.Context().Err() != nil {
		c.result = resultCallerGone
		c.committed = true
		return
	}
	c.result = resultTimeout
	if c.committed {
		return
	}
	if c.mayHaveRun {
		c.respond(http.StatusGatewayTimeout, "timeout", 0)
		return
	}
	c.respond(http.StatusServiceUnavailable, "timeout", defaultRetryAfter)
}
