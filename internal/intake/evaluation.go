package intake

import (
	"math"

	"github.com/laburnumring/laburnumring/internal/ratelimit"
	"github.com/laburnumring/laburnumring/internal/routing"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// evaluation is one request at one moment, as the reasons see it. It is filled in the order of its fields.
type evaluation struct {
	c   *Controller
	now clock.Millis
	r   Request
	v   *view
	// listed is the number of the service's servers, pool holds those with an eligible software version.
	listed int
	pool   []*server
	svc    routing.Service
	// limit is the rate up to which the request's team is served, in tokens per second, and fairRate that without
	// regard to the request. team says how the team stands. These are set for engines only.
	fairRate, limit float64
	team            standing
	placement
	// chosen is the server that is about to get the request; set for sendingReasons only, and nil if the server is
	// unknown.
	chosen *server
	// queueMs caches queueWait; negative if it is not known yet.
	queueMs float64
}

// decide sends or refuses a request. It returns false if the request has to wait.
func (c *Controller) decide(now clock.Millis, r Request, v *view) (Decision, bool) {
	listed := c.pools[r.Service]
	e := &evaluation{c: c, now: now, r: r, v: v, listed: len(listed), pool: c.eligible(listed, r), queueMs: -1}
	if row := c.tables.service.first(e); row != nil {
		return e.outcome(row)
	}
	e.svc, _ = c.table.Service(r.Service)
	if !e.svc.IsEngine {
		e.placement = c.placePlain(now, r, v, e.pool, e.svc)
		return e.outcome(c.tables.plain.first(e))
	}
	e.fairRate = c.fairRate(now, v, r.Service)
	e.limit = e.fairRate
	if r.retried() {
		// Requests that can still be on time go first; retried ones are already late.
		e.limit *= retriedShare
	}
	e.team = c.standing(now, v, r.Team, e.fairRate, e.limit)
	e.placement = c.placeEngine(now, r, v, e.pool, e.svc)
	e.recordFigures()
	return e.outcome(c.tables.engine.first(e))
}

// recordFigures adds the team's rates to the basis of the decision, and updates the estimate of the engines' capacity.
func (e *evaluation) recordFigures() {
	basis := &e.best.basis
	basis.Served, basis.Recent = int64(e.v.teams[e.r.Team].Served), int64(e.team.recent)
	if !math.IsInf(e.fairRate, 1) {
		basis.FairRate = int64(e.fairRate)
	}
	e.c.recordBasis(e.r.Team, *basis)
	if e.best.s == nil || e.r.Goal <= 0 {
		return
	}
	if fraction, ok := e.best.waitFraction(e.r); ok {
		e.c.capacity(e.r.Service).observe(e.now, fraction,
			e.best.answerMs(e.r, e.svc)/float64(e.r.Deadline-e.r.Arrived), e.c.peers.meanFactor(e.r.Service))
	}
}

// outcome carries out the verdict of a reason.
func (e *evaluation) outcome(row *reason) (Decision, bool) {
	switch row.verdict {
	case sends:
		d := e.c.assign(e.now, e.r, e.best, e.v)
		// A request that was begun is not asked for its team's share, so that nothing depends on it later either.
		d.Underserved = e.team.underserved && !e.r.committed()
		return d, true
	case refuses:
		d := Decision{
			Request: e.r.ID, Refusal: &RefusedError{Reason: row.name, RetryAfter: row.retryAfter(e)}, Basis: e.best.basis,
		}
		if row.noBasis {
			d.Basis = Basis{}
		}
		return d, true
	case waits:
	}
	return Decision{}, false
}

// waitedMs returns how long the request has waited, in milliseconds.
func (e *evaluation) waitedMs() float64 { return float64(e.now - e.r.Arrived) }

func (e *evaluation) goalMs() float64 { return float64(e.r.Goal) }

// startMs returns the expected time between the first arrival of the request's content and its first event, in
// milliseconds.
func (e *evaluation) startMs() float64 {
	return float64(e.now-e.r.firstArrived) + float64(e.best.basis.Expected)
}

func (e *evaluation) onTimeMs() float64 { return onTimeFraction * float64(e.r.Goal) }

// redirected reports whether the request should go through another router because this one has too little processor
// time: all its streams would be late. Requests that were already sent to a server stay.
func (e *evaluation) redirected() bool {
	return e.c.busy && !e.r.Committed && len(e.r.Tried) == 0 && !e.team.underserved
}

// held reports whether the request is not sent even if an engine has room for it.
func (e *evaluation) held() bool { return e.best.s == nil || e.team.overShare || e.redirected() }

// limited reports whether only the limits of the servers hold the request back.
func (e *evaluation) limited() bool { return e.limitWait != noWait }

// limitedMs returns how long the request will have waited when the limits of the servers let it go, in milliseconds.
func (e *evaluation) limitedMs() float64 {
	return float64(e.now - e.r.Arrived + e.c.limitedWait(e.now, e.r, e.pool, e.limitWait, e.v))
}

// afterLimits returns the time after which the limits of the servers are likely to take a request.
func (e *evaluation) afterLimits() clock.Millis {
	if e.limitWait == ratelimit.NoShare {
		// Other routers have the shares, and the caller's next attempt goes to one of them.
		return minLimitedWait
	}
	return max(minLimitedWait, e.c.limitedWait(e.now, e.r, e.pool, e.limitWait, e.v))
}

// queueWait returns the milliseconds that the engines need to read the other prompts that wait here for the same
// service.
func (e *evaluation) queueWait() float64 {
	if e.queueMs < 0 {
		tokens := e.c.backlog(e.r.Service).tokens
		if e.v.polling {
			tokens -= e.r.ownTokens()
		}
		servers := e.c.queueServers(e.now, e.svc, e.pool)
		e.queueMs = float64(tokens) * e.c.forecast(e.r.Service).Slope() / servers
	}
	return e.queueMs
}

// afterQueue returns the time after which the prompts that wait here have been read, and this one would be on time.
func (e *evaluation) afterQueue() clock.Millis { return clock.Millis(e.queueWait()) + e.r.Goal }

func (e *evaluation) pauseMs() float64 { return float64(e.c.poolPause(e.now, e.pool)) }
