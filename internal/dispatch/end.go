package dispatch

import (
	"github.com/laburnumring/laburnumring/pkg/clock"
	"github.com/laburnumring/laburnumring/pkg/outcome"
)

func (c *Controller) mayRetry(now clock.Millis, p *pending, res Result) bool {
	if res.Outcome == outcome.Whole || res.Outcome == outcome.Failed || res.Final || p.aborted {
		return false
	}
	if now >= p.r.Deadline || c.poison(now, p.r) {
		return false
	}
	if res.Outcome == outcome.NotRun {
		return p.notRun < maxNotRun
	}
	if !p.r.Repeatable {
		return false
	}
	s, ok := c.o.Board.Site().Service(p.r.Service)
	if !ok || p.tries >= s.Retry().MaxAttempts() {
		return false
	}
	if !c.budget(p.group(), s).Retry() {
		return false
	}
	c.retries++
	return true
}

// final turns the last attempt's result into the request's end. A request with an earlier attempt that may
// have started is never called not run.
func (c *Controller) final(p *pending, res Result) Finish {
	f := Finish{Outcome: res.Outcome, Reason: res.Reason, RetryAfter: res.RetryAfter}
	if f.Outcome == outcome.NotRun && p.tries > 0 {
		f.Outcome = outcome.Unknown
	}
	return f
}

// waitingEnd is the end of a request that ran out of time between attempts or before the first.
func (c *Controller) waitingEnd(p *pending) Finish {
	return c.final(p, Result{Outcome: outcome.NotRun, Reason: "deadline"})
}

func (c *Controller) finish(now clock.Millis, p *pending, f Finish) []Action {
	c.setRetryAfter(now, p, &f)
	out := c.withdrawAll(p, "")
	if p.bound == "" {
		c.dequeue(p)
	}
	delete(c.requests, p.r.ID)
	f.Request = p.r.ID
	c.o.Invariants.Checkf(f.Outcome != outcome.NotRun || p.tries == 0 && p.delivered == 0, "honest_refusal",
		"request %s is called not run after %d tries", p.r.ID, p.tries)
	out = append(out, f)
	return append(out, c.leaveWindow(now, p.group())...)
}

// setRetryAfter says when to come back after an end that is not whole; a waiting request counts in its queue.
func (c *Controller) setRetryAfter(now clock.Millis, p *pending, f *Finish) {
	if f.Outcome == outcome.Whole {
		return
	}
	if c.poison(now, p.r) {
		f.Reason = reasonPoison
		f.RetryAfter = c.o.Suspects.Remaining(now, p.r.Fingerprint)
	}
	if f.RetryAfter == 0 {
		f.RetryAfter = c.retryAfter(now, p.group())
	}
}
