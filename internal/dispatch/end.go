package dispatch

import (
	"github.com/laburnumring/laburnumring/pkg/clock"
	"github.com/laburnumring/laburnumring/pkg/outcome"
)

// mayRetry reports whether a request may have another attempt after one that ended with res. A retry after an attempt
// that may have started is charged to the group's budget.
func (c *Controller) mayRetry(now clock.Millis, p *pending, res Result) bool {
	if res.Outcome == outcome.Whole || res.Outcome == outcome.Failed || res.Final || p.aborted {
		return false
	}
	if now >= p.req.Deadline || c.isPoison(now, p.req) {
		return false
	}
	if res.Outcome == outcome.NotRun {
		return p.notRunAttempts < maxNotRunAttempts
	}
	if !p.req.Repeatable {
		return false
	}
	s, ok := c.opts.Board.Site().Service(p.req.Service)
	if !ok || p.possibleStarts >= s.Retry().MaxAttempts() {
		return false
	}
	if !c.retryBudget(p.group(), s).Retry() {
		return false
	}
	c.retries++
	return true
}

// requestEnd returns the end of a request whose last attempt ended with res. After an earlier attempt that may have
// started, the outcome NotRun becomes Unknown.
func (c *Controller) requestEnd(p *pending, res Result) Finish {
	f := Finish{Outcome: res.Outcome, Reason: res.Reason, RetryAfter: res.RetryAfter}
	if f.Outcome == outcome.NotRun && p.possibleStarts > 0 {
		f.Outcome = outcome.Unknown
	}
	return f
}

// deadlineEnd returns the end of a request whose deadline passed while it waited.
func (c *Controller) deadlineEnd(p *pending) Finish {
	return c.requestEnd(p, Result{Outcome: outcome.NotRun, Reason: "deadline"})
}

// finish removes a request, withdraws its tickets and ends it with f.
func (c *Controller) finish(now clock.Millis, p *pending, f Finish) []Action {
	c.setRetryAfter(now, p, &f)
	out := c.withdrawTickets(p, "")
	if p.boundServer == "" {
		c.dequeue(p)
	}
	delete(c.requests, p.req.ID)
	f.Request = p.req.ID
	c.opts.Invariants.Checkf(f.Outcome != outcome.NotRun || p.possibleStarts == 0 && p.delivered == 0, "honest_refusal",
		"request %s is reported as not run after %d attempts that may have started", p.req.ID, p.possibleStarts)
	out = append(out, f)
	return append(out, c.sendMissingTickets(now, p.group())...)
}

// setRetryAfter sets the time after which the caller may retry a request that has no complete answer. It is called
// before a waiting request leaves its queue, so that the request counts in the estimate.
func (c *Controller) setRetryAfter(now clock.Millis, p *pending, f *Finish) {
	if f.Outcome == outcome.Whole {
		return
	}
	if c.isPoison(now, p.req) {
		f.Reason = reasonPoison
		f.RetryAfter = c.opts.Suspects.Remaining(now, p.req.Fingerprint)
	}
	if f.RetryAfter == 0 {
		f.RetryAfter = c.retryAfter(now, p.group())
	}
}
