package intake

import (
	"math"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/ratelimit"
	"github.com/laburnumring/laburnumring/internal/routing"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// demand tracks the requests for one service that this router would send if the servers took them.
type demand struct {
	// perSecond is their exponentially decayed rate as of updatedAt.
	perSecond float64
	updatedAt clock.Millis
	// cost is that of the requests that were sent, limitedCost the same for those sent to servers with a limit.
	cost, limitedCost decayedCost
	// reported holds the rates that recent reports named, oldest first.
	reported []reportedRate
}

type reportedRate struct {
	at        clock.Millis
	perSecond float64
}

const (
	// demandTime is the time constant of the rates of demand, costTime that of the costs of requests.
	demandTime = 1 * clock.Second
	costTime   = 5 * clock.Second
	// minNewsTime and newsTimePerPeer give the time after which all routers have a report: several rounds of the exchange.
	minNewsTime     = 500 * clock.Millis(1)
	newsTimePerPeer = 30 * clock.Millis(1)
)

func (c *Controller) demand(service string) *demand {
	d, ok := c.demands[service]
	if !ok {
		d = &demand{}
		c.demands[service] = d
	}
	return d
}

// rate returns the rate at the given time.
func (d *demand) rate(now clock.Millis) float64 {
	return d.perSecond * math.Exp(-float64(now-d.updatedAt)/float64(demandTime))
}

func (d *demand) count(now clock.Millis) {
	d.perSecond, d.updatedAt = d.rate(now)+1/demandTime.Duration().Seconds(), now
}

func (d *demand) observeCost(now clock.Millis, tokens float64, limited bool) {
	d.cost.add(now, tokens)
	if limited {
		d.limitedCost.add(now, tokens)
	}
}

// decayedCost sums the tokens of requests and their number, exponentially decayed as of updatedAt.
type decayedCost struct {
	tokens, requests float64
	updatedAt        clock.Millis
}

func (d *decayedCost) add(now clock.Millis, tokens float64) {
	decay := math.Exp(-float64(now-d.updatedAt) / float64(costTime))
	d.tokens, d.requests, d.updatedAt = d.tokens*decay+tokens, d.requests*decay+1, now
}

// sum returns the cost as of now.
func (d *decayedCost) sum(now clock.Millis) Cost {
	decay := math.Exp(-float64(now-d.updatedAt) / float64(costTime))
	return Cost{Tokens: int64(d.tokens * decay), Requests: int64(fixedPointScale * d.requests * decay)}
}

// Cost sums the tokens of requests and their number, in whole numbers so that adding and subtracting leave no rounding
// error.
type Cost struct {
	_      struct{} `cbor:",toarray"`
	Tokens int64
	// Requests is in thousandths of a request.
	Requests int64
}

func (c Cost) plus(o Cost) Cost {
	return Cost{Tokens: c.Tokens + o.Tokens, Requests: c.Requests + o.Requests}
}

func (c Cost) minus(o Cost) Cost {
	return Cost{Tokens: c.Tokens - o.Tokens, Requests: c.Requests - o.Requests}
}

// mean returns the mean tokens of a request; 0 if there was none.
func (c Cost) mean() float64 {
	if c.Requests <= 0 {
		return 0
	}
	return fixedPointScale * float64(c.Tokens) / float64(c.Requests)
}

// meanCost returns the mean tokens of a request for a service that any router sent lately, and of one sent to a server
// with a limit; 0 if unknown. Routers that hold each other's reports have about the same, so that the fair rate is too.
func (c *Controller) meanCost(now clock.Millis, service string) (all, limited float64) {
	d := c.demand(service)
	all = d.cost.sum(now).plus(c.peers.costs[service]).mean()
	limited = d.limitedCost.sum(now).plus(c.peers.limitedCosts[service]).mean()
	return all, limited
}

// report returns the rate for the peers, and forgets the reports before since except for the last of them.
func (d *demand) report(now, since clock.Millis) float64 {
	n := 0
	for n+1 < len(d.reported) && d.reported[n+1].at <= since {
		n++
	}
	rate := float64(float32(d.rate(now)))
	d.reported = append(append(d.reported[:0], d.reported[n:]...), reportedRate{at: now, perSecond: rate})
	return rate
}

// known returns the rate with which all peers count at least: the lowest that was reported after since; 0 if the reports
// do not go back as far.
func (d *demand) known(since clock.Millis) float64 {
	if len(d.reported) == 0 || d.reported[0].at > since {
		return 0
	}
	lowest := math.Inf(1)
	for _, r := range d.reported {
		lowest = min(lowest, r.perSecond)
	}
	return lowest
}

// newsTime returns the time after which all routers have a report.
func (c *Controller) newsTime() clock.Millis {
	return max(minNewsTime, newsTimePerPeer*clock.Millis(len(c.peers.reports)))
}

// members returns the routers that share the limits of a service's servers. Each router counts itself with no more than
// the others count it, so that the shares add up to one at most.
func (c *Controller) members(now clock.Millis, service string) []ratelimit.Member {
	since := now - c.newsTime()
	out := make([]ratelimit.Member, 0, 1+len(c.peers.reports))
	if c.startedAt <= since {
		out = append(out, ratelimit.Member{Name: c.o.Name, Demand: c.demand(service).known(since)})
	}
	for name, p := range c.peers.reports {
		out = append(out, ratelimit.Member{Name: name, Demand: p.r.Demand[service]})
	}
	return out
}

// ObserveLimit records what the response to a request, sent at the given time, says of its server's limit. It reports
// whether that changes the limit in force.
func (c *Controller) ObserveLimit(now, sent clock.Millis, id string, l laburnumring.RateLimit) bool {
	switch {
	case !l.Known:
		return false
	case l.Limited:
		return c.limits.Name(now, uint32(KeyOf(id)), l.PerSecond)
	}
	return c.limits.Clear(now, sent, uint32(KeyOf(id)))
}

// limited reports whether a server has a limit: it has named one or is cold.
func (c *Controller) limited(now clock.Millis, s *server) bool {
	_, ok := c.limits.Limit(now, uint32(s.key))
	return ok
}

// LimitedServers returns the number of listed servers with a limit.
func (c *Controller) LimitedServers(now clock.Millis) int {
	n := 0
	for _, pool := range c.pools {
		for _, s := range pool {
			if c.limited(now, s) {
				n++
			}
		}
	}
	return n
}

// PruneLimits forgets the limits that have ended.
func (c *Controller) PruneLimits(now clock.Millis) { c.limits.Prune(now) }

// limitWait returns the time until a server's limit allows this router another request; 0 if it does now.
func (c *Controller) limitWait(now clock.Millis, s *server) clock.Millis {
	if c.limits.Len() == 0 {
		return 0
	}
	return c.limits.Wait(now, uint32(s.key), func() []ratelimit.Member { return c.members(now, s.entry.Service) })
}

// usableFraction returns the fraction of the tokens that a service's engines could process which their limits let them
// have. tokens is the rate of all engines without limits.
func (c *Controller) usableFraction(now clock.Millis, service string, tokens float64) float64 {
	pool := c.pools[service]
	if c.limits.Len() == 0 || len(pool) == 0 {
		return 1
	}
	all, mean := c.meanCost(now, service)
	if mean == 0 {
		mean = all
	}
	usable := 0.0
	for _, s := range pool {
		fraction := 1.0
		if perSecond, ok := c.limits.Limit(now, uint32(s.key)); ok && mean > 0 {
			fraction = min(1, perSecond*mean*float64(len(pool))/tokens)
		}
		usable += fraction
	}
	return usable / float64(len(pool))
}

// leavesLimits reports whether a request leaves engines with a limit to others, as long as one without is on time: a
// limit counts requests, not tokens, so those that cost less than the mean go elsewhere.
func (c *Controller) leavesLimits(now clock.Millis, r Request) bool {
	if c.limits.Len() == 0 {
		return false
	}
	mean, _ := c.meanCost(now, r.Service)
	return float64(r.tokens()) < mean
}

// limitedWait returns the time until a request can be sent to a pool whose servers all wait for their limits, the first
// after wait: the requests that wait already go first.
func (c *Controller) limitedWait(now clock.Millis, r Request, pool []*server, wait clock.Millis, v *view) clock.Millis {
	perSecond := 0.0
	for _, s := range pool {
		perSecond += c.limits.Share(uint32(s.key))
	}
	waiting := c.backlog(r.Service).requests
	if v.polling {
		waiting--
	}
	if waiting <= 0 || perSecond <= 0 {
		return min(wait, r.Deadline-now)
	}
	return min(wait+clock.Millis(float64(waiting)/perSecond*float64(clock.Second)), r.Deadline-now)
}

const (
	// reasonLimited means that all servers take no further request for now by the limits that they have named.
	reasonLimited = "servers_limited"
	// minLimitedWait is the least time after which callers are told to come back.
	minLimitedWait = 100 * clock.Millis(1)
)

// queueServers returns how many of a service's servers work off the requests that wait here.
func (c *Controller) queueServers(now clock.Millis, svc routing.Service, pool []*server) float64 {
	tokens := c.factor(now, svc.Name) * c.table.Limits().TokensPerSecond
	if tokens <= 0 {
		return float64(len(pool))
	}
	return max(1, float64(len(pool))*c.usableFraction(now, svc.Name, tokens))
}
