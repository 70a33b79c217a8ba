package intake

import "github.com/laburnumring/laburnumring/pkg/clock"

// peerLife is how long a peer's report counts: several periods of the exchange.
const peerLife = 1500 * clock.Millis(1)

// peerReport is what a peer said last of its work.
type peerReport struct {
	r  Report
	at clock.Millis
}

// peers holds the reports of the other routers with their sums, which each report changes only by what is new in it.
type peers struct {
	reports map[string]peerReport
	// loads is the reports' sum by server; supplies are the sum and the number of their factors by service.
	loads    map[string]Load
	supplies map[string]supplySum
}

// supplySum is the sum of some factors in thousandths, so that adding and taking away leaves no rest, and their number.
type supplySum struct {
	sum int64
	n   int64
}

const thousand = 1000

func newPeers() peers {
	return peers{
		reports: make(map[string]peerReport), loads: make(map[string]Load), supplies: make(map[string]supplySum),
	}
}

// merge takes a peer's report in place of its former one.
func (p *peers) merge(now clock.Millis, peer string, r Report) {
	r.Refused = nil
	p.remove(peer)
	p.reports[peer] = peerReport{r: r, at: now}
	for id, l := range r.Servers {
		p.loads[id] = p.loads[id].plus(l)
	}
	for service, f := range r.Supplies {
		s := p.supplies[service]
		p.supplies[service] = supplySum{sum: s.sum + int64(thousand*f), n: s.n + 1}
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
	for service, f := range old.r.Supplies {
		if s := p.supplies[service]; s.n > 1 {
			p.supplies[service] = supplySum{sum: s.sum - int64(thousand*f), n: s.n - 1}
		} else {
			delete(p.supplies, service)
		}
	}
}

// expire drops the reports that are too old and returns the age of the oldest that is left; 0 without one.
func (p *peers) expire(now clock.Millis) clock.Millis {
	age := clock.Millis(0)
	for peer, r := range p.reports {
		if now-r.at > peerLife {
			p.remove(peer)
			continue
		}
		age = max(age, now-r.at)
	}
	return age
}

// supply returns the mean factor of the other routers; 0 when none told one.
func (p *peers) supply(service string) float64 {
	s := p.supplies[service]
	return s.total() / float64(max(1, s.n))
}

func (s supplySum) total() float64 { return float64(s.sum) / thousand }
