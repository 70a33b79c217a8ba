// Package fairshare counts what teams ask for and receive over the last seconds, fleet-wide, and tells the level up
// to which each is owed service.
package fairshare

import (
	"math"
	"slices"

	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Options are the settings of a Ledger.
type Options struct {
	// AskedMemory, ServedMemory and RecentMemory are the time constants with which past tokens are forgotten, the last for
	// Came and Recent; two seconds, one and a half when zero.
	AskedMemory  clock.Millis
	ServedMemory clock.Millis
	RecentMemory clock.Millis
	// PeerLife is how long a peer's report counts; 1.5 seconds when zero.
	PeerLife clock.Millis
}

const (
	// defaultAskedMemory is half of the users' window for shares, as a decayed sum reaches back twice its constant.
	defaultAskedMemory = 2 * clock.Second
	// defaultServedMemory is the users' unit when they compare what teams got: a team may begin as much at once as its share
	// is in this time, and is held back as long for what it began too much.
	defaultServedMemory = 1 * clock.Second
	// defaultRecentMemory is longer than the reports of 28 routers are old.
	defaultRecentMemory = 500 * clock.Millis(1)
	// defaultPeerLife is several periods of the routers' exchange, so that single losses do not show.
	defaultPeerLife = 1500 * clock.Millis(1)
)

// Rates are a team's tokens per second.
type Rates struct {
	_ struct{} `cbor:",toarray"`
	// Asked counts the tokens of all requests that came for the first time, Served those of requests that were sent to a
	// server, up to what is held against the team.
	Asked  float64
	Served float64
	// Came and Recent look back less far. Came counts all requests that came, also those of callers who were refused
	// before; Recent counts requests that were sent, whatever is held against the team.
	Came   float64
	Recent float64
}

// tally is one team's decayed sums at this router.
type tally struct {
	rates Rates
	// at is the time to which the rates are decayed.
	at clock.Millis
}

// report is what a peer said last.
type report struct {
	teams map[string]Rates
	at    clock.Millis
}

// Ledger holds the rates of this router's teams and of its peers. It is used by one goroutine at a time.
type Ledger struct {
	o Options
	// own holds the teams that asked here.
	own map[string]*tally
	// peers holds the peers' last reports by peer.
	peers map[string]report
	// others is the sum of the peers' reports, of which none lapses before the given time.
	others map[string]sum
	lapse  clock.Millis
}

// sum adds rates up in thousandths of a token, so that adding and taking away leaves no rest.
type sum struct {
	asked  int64
	served int64
	came   int64
	recent int64
	n      int
}

const thousand = 1000

func (s sum) add(r Rates, n int) sum {
	times := int64(n)
	return sum{
		asked: s.asked + times*int64(thousand*r.Asked), served: s.served + times*int64(thousand*r.Served),
		came: s.came + times*int64(thousand*r.Came), recent: s.recent + times*int64(thousand*r.Recent), n: s.n + n,
	}
}

func (s sum) rates() Rates {
	return Rates{
		Asked: float64(s.asked) / thousand, Served: float64(s.served) / thousand,
		Came: float64(s.came) / thousand, Recent: float64(s.recent) / thousand,
	}
}

// New returns a ledger without teams.
func New(o Options) *Ledger {
	if o.AskedMemory == 0 {
		o.AskedMemory = defaultAskedMemory
	}
	if o.ServedMemory == 0 {
		o.ServedMemory = defaultServedMemory
	}
	if o.RecentMemory == 0 {
		o.RecentMemory = defaultRecentMemory
	}
	if o.PeerLife == 0 {
		o.PeerLife = defaultPeerLife
	}
	return &Ledger{o: o, own: make(map[string]*tally), peers: make(map[string]report), others: make(map[string]sum)}
}

// Come counts tokens of a team's request that came, for the first time or again.
func (l *Ledger) Come(now clock.Millis, team string, tokens int64) {
	l.team(now, team).rates.Came += rate(tokens, l.o.RecentMemory)
}

// Ask counts tokens that team asked for.
func (l *Ledger) Ask(now clock.Millis, team string, tokens int64) {
	l.team(now, team).rates.Asked += rate(tokens, l.o.AskedMemory)
}

// Serve counts tokens that team was served; negative ones take back what was not.
func (l *Ledger) Serve(now clock.Millis, team string, tokens int64) {
	t := l.team(now, team)
	t.rates.Served = max(0, t.rates.Served+rate(tokens, l.o.ServedMemory))
	t.rates.Recent = max(0, t.rates.Recent+rate(tokens, l.o.RecentMemory))
}

// Forgive lowers what this router served to teams that received more than limit fleet-wide, each router in
// proportion, so that what they received in idle times is not held against them for long. Teams are the fleet-wide
// rates, and are brought up to date.
func (l *Ledger) Forgive(now clock.Millis, limit float64, teams map[string]Rates) {
	for name, total := range teams {
		if _, ok := l.own[name]; ok && total.Served > limit {
			l.team(now, name).rates.Served *= limit / total.Served
			teams[name] = l.Total(now, name)
		}
	}
}

// Report returns this router's own rates, in single precision, as that is what peers are sent.
func (l *Ledger) Report(now clock.Millis) map[string]Rates {
	out := make(map[string]Rates, len(l.own))
	for name := range l.own {
		r := l.team(now, name).rates
		if max(r.Asked, r.Came, r.Recent) >= minRate {
			out[name] = Rates{
				Asked: float64(float32(r.Asked)), Served: float64(float32(r.Served)),
				Came: float64(float32(r.Came)), Recent: float64(float32(r.Recent)),
			}
		}
	}
	return out
}

// minRate is the least rate that is told, in tokens per second.
const minRate = 1

// Merge takes a peer's report in place of its former one.
func (l *Ledger) Merge(now clock.Millis, peer string, teams map[string]Rates) {
	l.count(l.peers[peer].teams, -1)
	if len(l.peers) == 0 {
		l.lapse = now + l.o.PeerLife
	}
	l.peers[peer] = report{teams: teams, at: now}
	l.count(teams, 1)
}

// count adds a report n times to the sum.
func (l *Ledger) count(teams map[string]Rates, n int) {
	for name, r := range teams {
		if s := l.others[name].add(r, n); s.n > 0 {
			l.others[name] = s
		} else {
			delete(l.others, name)
		}
	}
}

// Level returns the max-min share of capacity in tokens per second: teams that ask for less are owed all, the
// others this much each. It is infinite when capacity suffices for all.
func Level(capacity float64, teams map[string]Rates) float64 {
	asked := make([]float64, 0, len(teams))
	for _, r := range teams {
		asked = append(asked, r.Asked)
	}
	slices.Sort(asked)
	left := capacity
	for i, a := range asked {
		share := left / float64(len(asked)-i)
		if a > share {
			return share
		}
		left -= a
	}
	return math.Inf(1)
}

// Totals returns all teams' fleet-wide rates.
func (l *Ledger) Totals(now clock.Millis) map[string]Rates {
	l.expire(now)
	out := make(map[string]Rates, max(len(l.others), len(l.own)))
	for name, s := range l.others {
		out[name] = s.rates()
	}
	for name := range l.own {
		out[name] = out[name].plus(l.team(now, name).rates)
	}
	return out
}

// Total returns one team's fleet-wide rates.
func (l *Ledger) Total(now clock.Millis, team string) Rates {
	l.expire(now)
	out := l.others[team].rates()
	if _, ok := l.own[team]; ok {
		out = out.plus(l.team(now, team).rates)
	}
	return out
}

// Part returns how much of a team's requests came here, from 0 to 1, and the team's rates here.
func (l *Ledger) Part(now clock.Millis, team string) (part float64, own Rates) {
	if _, ok := l.own[team]; !ok {
		return 0, Rates{}
	}
	own = l.team(now, team).rates
	return own.Came / max(minRate, l.Total(now, team).Came), own
}

// expire drops the reports that are too old.
func (l *Ledger) expire(now clock.Millis) {
	if len(l.peers) == 0 || now <= l.lapse {
		return
	}
	l.lapse = now + l.o.PeerLife
	for peer, r := range l.peers {
		if now-r.at > l.o.PeerLife {
			l.count(r.teams, -1)
			delete(l.peers, peer)
			continue
		}
		l.lapse = min(l.lapse, r.at+l.o.PeerLife)
	}
}

func (r Rates) plus(o Rates) Rates {
	return Rates{
		Asked: r.Asked + o.Asked, Served: r.Served + o.Served, Came: r.Came + o.Came, Recent: r.Recent + o.Recent,
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
		passed := now - t.at
		t.rates.Asked *= keep(passed, l.o.AskedMemory)
		t.rates.Served *= keep(passed, l.o.ServedMemory)
		recent := keep(passed, l.o.RecentMemory)
		t.rates.Came *= recent
		t.rates.Recent *= recent
		t.at = now
	}
	return t
}

// keep returns what is left of a rate after some time.
func keep(passed, memory clock.Millis) float64 { return math.Exp(-float64(passed) / float64(memory)) }

func rate(tokens int64, memory clock.Millis) float64 {
	return float64(tokens) * float64(clock.Second) / float64(memory)
}
