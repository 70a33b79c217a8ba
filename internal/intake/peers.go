package intake

import "github.com/laburnumring/laburnumring/pkg/clock"

// peerTTL is how long a peer's report is valid: several periods of the exchange.
const peerTTL = 1500 * clock.Millis(1)

// peerReport is the latest report of a peer and when it was received.
type peerReport struct {
	r          Report
	receivedAt clock.Millis
}

// peers holds the latest reports of the other routers and their sums. A new report adjusts the sums by what changed in
// it.
type peers struct {
	reports map[string]peerReport
	// loads sums the reported loads by server, factors the reported capacity factors by service.
	loads   map[ServerKey]Load
	factors map[string]factorSum
	// costs and limitedCosts sum the reported costs of requests by service.
	costs, limitedCosts map[string]Cost
}

// factorSum is a sum of factors in thousandths, so that adding and subtracting leaves no rounding error, and their
// number.
type factorSum struct {
	sum int64
	n   int64
}

const fixedPointScale = 1000

func newPeers() peers {
	return peers{
		reports: make(map[string]peerReport), loads: make(map[ServerKey]Load), factors: make(map[string]factorSum),
		costs: make(map[string]Cost), limitedCosts: make(map[string]Cost),
	}
}

// merge replaces the report of a peer.
func (p *peers) merge(now clock.Millis, peer string, r Report) {
	r.Refused = nil
	p.remove(peer)
	p.reports[peer] = peerReport{r: r, receivedAt: now}
	for id, l := range r.Servers {
		p.loads[id] = p.loads[id].plus(l)
	}
	for service, f := range r.CapacityFactors {
		s := p.factors[service]
		p.factors[service] = factorSum{sum: s.sum + int64(fixedPointScale*f), n: s.n + 1}
	}
	for service, c := range r.Costs {
		p.costs[service] = p.costs[service].plus(c)
	}
	for service, c := range r.LimitedCosts {
		p.limitedCosts[service] = p.limitedCosts[service].plus(c)
	}
}

func (p *peers) remove(peer string) {
	old, ok := p.reports[peer]
	if !ok {
		return
	}
	delete(p.reports, peer)
	for id, l := range old.r.Servers {
		if rest := p.loads[id].minus(l); rest != (Load{}) {
			p.loads[id] = rest
		} else {
			delete(p.loads, id)
		}
	}
	for service, c := range old.r.Costs {
		p.costs[service] = p.costs[service].minus(c)
	}
	for service, c := range old.r.LimitedCosts {
		p.limitedCosts[service] = p.limitedCosts[service].minus(c)
	}
	for service, f := range old.r.CapacityFactors {
		if s := p.factors[service]; s.n > 1 {
			p.factors[service] = factorSum{sum: s.sum - int64(fixedPointScale*f), n: s.n - 1}
		} else {
			delete(p.factors, service)
		}
	}
}

// expire drops reports older than peerTTL and returns the age of the oldest remaining one; 0 if none remains.
func (p *peers) expire(now clock.Millis) clock.Millis {
	age := clock.Millis(0)
	for peer, report := range p.reports {
		if now-report.receivedAt > peerTTL {
			p.remove(peer)
			continue
		}
		age = max(age, now-report.receivedAt)
	}
	return age
}

// meanFactor returns the mean capacity factor of the other routers; 0 if none reported one.
func (p *peers) meanFactor(service string) float64 {
	s := p.factors[service]
	return s.total() / float64(max(1, s.n))
}

func (s factorSum) total() float64 { return float64(s.sum) / fixedPointScale }
