// Package fairshare counts the tokens that teams request and receive over the last seconds, fleet-wide, and computes
// the max-min fair rate of a service.
package fairshare

import (
	"math"
	"slices"

	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Options are the settings of a Ledger.
type Options struct {
	// DemandTimeConstant, ServedTimeConstant and RecentTimeConstant are the time constants with which past tokens are
	// forgotten, the last for Arrived and Recent. They default to two seconds, one second and half a second.
	DemandTimeConstant clock.Millis
	ServedTimeConstant clock.Millis
	RecentTimeConstant clock.Millis
	// PeerTTL is how long a peer's report is valid; 1.5 seconds by default.
	PeerTTL clock.Millis
}

const (
	// defaultDemandTimeConstant is half of the four seconds over which shares are required to be fair, as a decayed sum
	// covers about twice its time constant.
	defaultDemandTimeConstant = 2 * clock.Second
	// defaultServedTimeConstant is the one second by which the requirement compares what teams receive. A team may
	// start as much at once as its share is in this time, and is held back as long for what it started in excess.
	defaultServedTimeConstant = 1 * clock.Second
	// defaultRecentTimeConstant is longer than the age of the reports of 28 routers.
	defaultRecentTimeConstant = 500 * clock.Millis(1)
	// defaultPeerTTL is several periods of the routers' exchange, so that the loss of single reports has no effect.
	defaultPeerTTL = 1500 * clock.Millis(1)
)

// Rates are a team's tokens per second.
type Rates struct {
	_ struct{} `cbor:",toarray"`
	// Demand is the tokens of all requests that arrived for the first time, without retries. Served is the tokens of
	// requests that were sent to a server, less what was forgiven.
	Demand float64
	Served float64
	// Arrived and Recent cover a shorter time. Arrived is the tokens of all requests that arrived, retries included;
	// Recent is the tokens of requests that were sent, also those that were forgiven.
	Arrived float64
	Recent  float64
}

// tally holds one team's decayed rates at this router.
type tally struct {
	rates Rates
	// at is the time to which the rates are decayed.
	at clock.Millis
}

// report is the latest report of a peer and when it was received.
type report struct {
	teams      map[string]Rates
	receivedAt clock.Millis
}

// Ledger holds the rates of this router's teams and those reported by its peers. It is not safe for concurrent use.
type Ledger struct {
	o Options
	// own holds the teams with requests at this router.
	own map[string]*tally
	// peers holds the latest reports by peer.
	peers map[string]report
	// peerSums sums the peers' reports by team. No report expires before nextExpiry.
	peerSums   map[string]rateSum
	nextExpiry clock.Millis
}

// rateSum is a sum of rates in thousandths of a token, so that adding and subtracting leaves no rounding error, and the
// number of reports in it.
type rateSum struct {
	demand  int64
	served  int64
	arrived int64
	recent  int64
	reports int
}

const fixedPointScale = 1000

func (s rateSum) add(r Rates, n int) rateSum {
	factor := int64(n)
	return rateSum{
		demand:  s.demand + factor*int64(fixedPointScale*r.Demand),
		served:  s.served + factor*int64(fixedPointScale*r.Served),
		arrived: s.arrived + factor*int64(fixedPointScale*r.Arrived),
		recent:  s.recent + factor*int64(fixedPointScale*r.Recent),
		reports: s.reports + n,
	}
}

func (s rateSum) rates() Rates {
	return Rates{
		Demand: float64(s.demand) / fixedPointScale, Served: float64(s.served) / fixedPointScale,
		Arrived: float64(s.arrived) / fixedPointScale, Recent: float64(s.recent) / fixedPointScale,
	}
}

// New returns a ledger without teams.
func New(o Options) *Ledger {
	if o.DemandTimeConstant == 0 {
		o.DemandTimeConstant = defaultDemandTimeConstant
	}
	if o.ServedTimeConstant == 0 {
		o.ServedTimeConstant = defaultServedTimeConstant
	}
	if o.RecentTimeConstant == 0 {
		o.RecentTimeConstant = defaultRecentTimeConstant
	}
	if o.PeerTTL == 0 {
		o.PeerTTL = defaultPeerTTL
	}
	return &Ledger{o: o, own: make(map[string]*tally), peers: make(map[string]report), peerSums: make(map[string]rateSum)}
}

// AddArrived adds the tokens of a team's request that arrived, for the first time or as a retry.
func (l *Ledger) AddArrived(now clock.Millis, team string, tokens int64) {
	l.team(now, team).rates.Arrived += tokensPerSecond(tokens, l.o.RecentTimeConstant)
}

// AddDemand adds tokens to a team's demand; a negative number reverts tokens.
func (l *Ledger) AddDemand(now clock.Millis, team string, tokens int64) {
	l.team(now, team).rates.Demand += tokensPerSecond(tokens, l.o.DemandTimeConstant)
}

// AddServed adds tokens that were sent to a server for a team; a negative number reverts tokens.
func (l *Ledger) AddServed(now clock.Millis, team string, tokens int64) {
	t := l.team(now, team)
	t.rates.Served = max(0, t.rates.Served+tokensPerSecond(tokens, l.o.ServedTimeConstant))
	t.rates.Recent = max(0, t.rates.Recent+tokensPerSecond(tokens, l.o.RecentTimeConstant))
}

// Forgive lowers Served of this router's teams that received more than limit fleet-wide, each router in proportion, so
// that usage from idle times does not count against them for long. teams holds the fleet-wide rates and is updated.
func (l *Ledger) Forgive(now clock.Millis, limit float64, teams map[string]Rates) {
	for name, total := range teams {
		if _, ok := l.own[name]; ok && total.Served > limit {
			l.team(now, name).rates.Served *= limit / total.Served
			teams[name] = l.Total(now, name)
		}
	}
}

// Report returns this router's own rates, in single precision as peers receive them.
func (l *Ledger) Report(now clock.Millis) map[string]Rates {
	out := make(map[string]Rates, len(l.own))
	for name := range l.own {
		r := l.team(now, name).rates
		if max(r.Demand, r.Arrived, r.Recent) >= minReportedRate {
			out[name] = Rates{
				Demand: float64(float32(r.Demand)), Served: float64(float32(r.Served)),
				Arrived: float64(float32(r.Arrived)), Recent: float64(float32(r.Recent)),
			}
		}
	}
	return out
}

const (
	// minReportedRate is the lowest rate that is reported, in tokens per second. Hundreds of routers that leave out
	// lower ones leave out less than the smallest requests ask for in a second.
	minReportedRate = 20
	// maxShortRate is the largest 16-bit float, and shortRateBits the number of its significant bits.
	maxShortRate  = 65504
	shortRateBits = 11
)

// Rounded returns the rates with those up to maxShortRate rounded to 16-bit floats.
func (r Rates) Rounded() Rates {
	return Rates{
		Demand: roundRate(r.Demand), Served: roundRate(r.Served), Arrived: roundRate(r.Arrived), Recent: roundRate(r.Recent),
	}
}

func roundRate(rate float64) float64 {
	if rate > maxShortRate {
		return rate
	}
	fraction, exponent := math.Frexp(rate)
	return math.Ldexp(math.Round(math.Ldexp(fraction, shortRateBits)), exponent-shortRateBits)
}

// Merge replaces the report of a peer.
func (l *Ledger) Merge(now clock.Millis, peer string, teams map[string]Rates) {
	l.addReport(l.peers[peer].teams, -1)
	if len(l.peers) == 0 {
		l.nextExpiry = now + l.o.PeerTTL
	}
	l.peers[peer] = report{teams: teams, receivedAt: now}
	l.addReport(teams, 1)
}

// addReport adds a report n times to the sums; -1 subtracts it.
func (l *Ledger) addReport(teams map[string]Rates, n int) {
	for name, r := range teams {
		if s := l.peerSums[name].add(r, n); s.reports > 0 {
			l.peerSums[name] = s
		} else {
			delete(l.peerSums, name)
		}
	}
}

// FairRate returns the max-min fair rate for a capacity in tokens per second: teams with less demand are entitled to
// all of it, the others to this much each. It is infinite if capacity suffices for all.
func FairRate(capacity float64, teams map[string]Rates) float64 {
	demands := make([]float64, 0, len(teams))
	for _, r := range teams {
		demands = append(demands, r.Demand)
	}
	slices.Sort(demands)
	remaining := capacity
	for i, demand := range demands {
		share := remaining / float64(len(demands)-i)
		if demand > share {
			return share
		}
		remaining -= demand
	}
	return math.Inf(1)
}

// Totals returns the fleet-wide rates of all teams.
func (l *Ledger) Totals(now clock.Millis) map[string]Rates {
	l.expire(now)
	out := make(map[string]Rates, max(len(l.peerSums), len(l.own)))
	for name, s := range l.peerSums {
		out[name] = s.rates()
	}
	for name := range l.own {
		out[name] = out[name].plus(l.team(now, name).rates)
	}
	return out
}

// Total returns the fleet-wide rates of one team.
func (l *Ledger) Total(now clock.Millis, team string) Rates {
	l.expire(now)
	out := l.peerSums[team].rates()
	if _, ok := l.own[team]; ok {
		out = out.plus(l.team(now, team).rates)
	}
	return out
}

// LocalFraction returns the fraction of a team's arriving tokens that arrive at this router, 0 to 1, and the team's
// rates here.
func (l *Ledger) LocalFraction(now clock.Millis, team string) (fraction float64, own Rates) {
	if _, ok := l.own[team]; !ok {
		return 0, Rates{}
	}
	own = l.team(now, team).rates
	return own.Arrived / max(minReportedRate, l.Total(now, team).Arrived), own
}

// expire drops reports older than PeerTTL.
func (l *Ledger) expire(now clock.Millis) {
	if len(l.peers) == 0 || now <= l.nextExpiry {
		return
	}
	l.nextExpiry = now + l.o.PeerTTL
	for peer, r := range l.peers {
		if now-r.receivedAt > l.o.PeerTTL {
			l.addReport(r.teams, -1)
			delete(l.peers, peer)
			continue
		}
		l.nextExpiry = min(l.nextExpiry, r.receivedAt+l.o.PeerTTL)
	}
}

func (r Rates) plus(o Rates) Rates {
	return Rates{
		Demand: r.Demand + o.Demand, Served: r.Served + o.Served, Arrived: r.Arrived + o.Arrived, Recent: r.Recent + o.Recent,
	}
}

// team returns the team's tally, decayed to now.
func (l *Ledger) team(now clock.Millis, name string) *tally {
	t, ok := l.own[name]
	if !ok {
		t = &tally{at: now}
		l.own[name] = t
	}
	if now > t.at {
		elapsed := now - t.at
		t.rates.Demand *= decay(elapsed, l.o.DemandTimeConstant)
		t.rates.Served *= decay(elapsed, l.o.ServedTimeConstant)
		recentDecay := decay(elapsed, l.o.RecentTimeConstant)
		t.rates.Arrived *= recentDecay
		t.rates.Recent *= recentDecay
		t.at = now
	}
	return t
}

// decay returns the fraction of a rate that remains after the elapsed time.
func decay(elapsed, timeConstant clock.Millis) float64 {
	return math.Exp(-float64(elapsed) / float64(timeConstant))
}

// tokensPerSecond returns the rate that tokens add to a decayed sum with the given time constant.
func tokensPerSecond(tokens int64, timeConstant clock.Millis) float64 {
	return float64(tokens) * float64(clock.Second) / float64(timeConstant)
}
