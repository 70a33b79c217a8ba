package intake

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/laburnumring/laburnumring/internal/routing"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Weights and bounds of the choice of a server.
const (
	// goalTime is the part of a request's goal within which its first token must be expected.
	goalTime = 0.9
	// spareTime is the part of its goal within which an engine must begin with a request that will be late in any
	// case; longTime is the part from which on the request itself is too long to count.
	spareTime = 0.5
	longTime  = 0.6
	// returnedShare is the part of its share up to which a team's returned callers are served.
	returnedShare = 0.8
	// spareSlots is the part of an engine's slots that late requests may fill.
	spareSlots = 0.85
	// memoryFill is the part of an engine's memory that running requests may hold; the rest is for shared parts and
	// for answers longer than expected.
	memoryFill = 0.85
	// spreadPenalty is how much more a shared part counts where it would be read once more.
	spreadPenalty = 8.0
	// secondPenalty is the same for the part's second home, so that it is read in one more place, not in many.
	secondPenalty = 3.0
	// homeTime is how much sooner another server must begin, in milliseconds, however short the part is: each part that
	// is read once more displaces others.
	homeTime = 60.0
	// placePenalty is the extra time to a server in another place, in milliseconds.
	placePenalty = 2.0
	// placeSlots is the extra load that a plain server in another place counts for, in slots.
	placeSlots = 0.3
	// queueSlots is how many requests beyond its slots a plain server gets: one is ready when a slot frees.
	queueSlots = 1
	// defaultSlots is for services that do not tell their slots.
	defaultSlots = 16
	// failurePenalty multiplies the load of a server that fails all requests, beside one that fails none.
	failurePenalty = 8.0
	// lateTime is the part of its time after which a waiting request that will be late is refused.
	lateTime = 0.15
	// maxWaiting bounds the requests that wait for a service, for each of its servers.
	maxWaiting = 64
)

// choice is a server with what its choice rests on.
type choice struct {
	s     *server
	score float64
	// alone is the expected time to the first token if nothing were queued, in milliseconds.
	alone int64
	basis Basis
}

// decide sends or refuses a request, or returns false when it waits.
func (c *Controller) decide(now clock.Millis, r Request, v *view) (Decision, bool) {
	if now >= r.Limit {
		return refuse(r, "deadline", clock.Second), true
	}
	pool := c.pools[r.Service]
	if len(pool) == 0 {
		return refuse(r, reasonNoServer, clock.Second), true
	}
	svc, _ := c.table.Service(r.Service)
	if !svc.IsEngine {
		return c.decidePlain(now, r, v, pool, svc)
	}
	return c.decideEngine(now, r, v, pool, svc)
}

func refuse(r Request, reason string, after clock.Millis) Decision {
	return Decision{Request: r.ID, Refusal: &RefusedError{Reason: reason, RetryAfter: after}}
}

// decidePlain spreads calls to servers with few slots, which refuse what they cannot queue, by the load that all
// routers put on them.
func (c *Controller) decidePlain(
	now clock.Millis, r Request, v *view, pool []*server, svc routing.Service,
) (Decision, bool) {
	best := choice{score: math.Inf(1)}
	usual := usualLatency(pool)
	for _, s := range pool {
		l := c.load(s)
		slots := slotsOf(svc, s)
		if now < s.blockedUntil || slices.Contains(r.Tried, s.entry.ID) || l.Running >= slots+queueSlots {
			continue
		}
		score := float64(l.Running+1) / float64(slots)
		if s.entry.Place != c.o.Place {
			score += placeSlots / float64(slots)
		}
		score *= 1 + failurePenalty*s.failures
		if usual > 0 && s.latency > usual {
			score *= s.latency / usual
		}
		if score < best.score {
			best = choice{s: s, score: score, basis: Basis{Running: l.Running, PeerAge: v.peerAge}}
		}
	}
	if best.s != nil {
		return c.send(now, r, best, v), true
	}
	if c.waitingFor(r.Service) >= maxWaiting*len(pool) || now-r.Arrived > (r.Limit-r.Arrived)/2 {
		return refuse(r, "servers_full", r.Goal), true
	}
	return Decision{}, false
}

// usualLatency returns the least latency of the servers; 0 when none is known.
func usualLatency(pool []*server) float64 {
	usual := 0.0
	for _, s := range pool {
		if s.latency > 0 && (usual == 0 || s.latency < usual) {
			usual = s.latency
		}
	}
	return usual
}

// decideEngine places a prompt where the least time passes until its first token. Under a load that exceeds the
// engines, teams within their max-min share are placed while a goal can be met, and others only where that delays
// nobody.
func (c *Controller) decideEngine(
	now clock.Millis, r Request, v *view, pool []*server, svc routing.Service,
) (Decision, bool) {
	level := c.level(now, v, r.Service)
	limit := level
	if r.returned() {
		// Requests that can still be on time go first.
		limit *= returnedShare
	}
	team := c.standing(now, v, r.Team, level, limit)
	best, reachable := c.bestEngine(now, r, v, pool, svc)
	best.basis.Served, best.basis.Recent = int64(v.teams[r.Team].Served), int64(team.recent)
	if !math.IsInf(level, 1) {
		best.basis.Level = int64(level)
	}
	c.bookBasis(r.Team, best.basis)
	if best.s != nil && r.Goal > 0 {
		if begin, ok := queueing(float64(best.basis.Expected), float64(best.alone), float64(r.Goal)); ok {
			c.supply(r.Service).observe(now, begin, best.end(r, svc)/float64(r.Limit-r.Arrived),
				c.peers.supply(r.Service))
		}
	}
	waited := now - r.Arrived
	late := float64(now-r.asked)+float64(best.basis.Expected) > goalTime*float64(r.Goal)
	if best.s != nil && r.Begun {
		return c.send(now, r, best, v), true
	}
	elsewhere := c.elsewhere(r) && !team.behind
	if best.s != nil && !team.ahead && !elsewhere && (!late || team.hurry || spare(r, best, svc)) {
		d := c.send(now, r, best, v)
		d.Owed = team.behind
		return d, true
	}
	if team.ahead && !r.Begun {
		return withBasis(refuse(r, reasonShare, c.shareWait(v, r, limit)), best.basis), true
	}
	if !reachable {
		return refuse(r, reasonNoServer, clock.Second), true
	}
	if elsewhere {
		return Decision{Request: r.ID, Refusal: Elsewhere(), Basis: best.basis}, true
	}
	wait := c.queueWait(r, len(pool))
	if float64(waited) > lateTime*float64(r.Limit-r.Arrived) || wait > float64(r.Goal) && !team.behind {
		return withBasis(refuse(r, reasonEngines, clock.Millis(wait)+r.Goal), best.basis), true
	}
	return Decision{}, false
}

// elsewhere reports whether a request had better go through another router, as this one gets too little processor time:
// all its streams would be late.
func (c *Controller) elsewhere(r Request) bool { return c.busy && !r.Begun && len(r.Tried) == 0 }

// Elsewhere returns the refusal that sends a caller to another router.
func Elsewhere() *RefusedError { return &RefusedError{Reason: reasonBusy, RetryAfter: busyRetryAfter} }

const (
	reasonShare    = "over_share"
	reasonEngines  = "engines_full"
	reasonNoServer = "no_server"
	// reasonBusy is the reason of refusals that only this router has.
	reasonBusy = "router_busy"
	// busyRetryAfter sends callers to another router at once.
	busyRetryAfter = 20 * clock.Millis(1)
)

// end returns the milliseconds to the whole answer.
func (ch choice) end(r Request, svc routing.Service) float64 {
	return float64(ch.basis.Expected) + ch.s.pace*float64(r.OutputTokens)/float64(max(1, svc.EventTokens))
}

// spare reports whether an engine has so little queued that a request which cannot be on time, as it came late or is
// long, takes nobody's place.
func spare(r Request, ch choice, svc routing.Service) bool {
	long := float64(ch.alone) > longTime*float64(r.Goal)
	begins := ch.basis.Expected
	if long {
		begins -= ch.alone
	}
	return float64(begins) <= spareTime*float64(r.Goal) &&
		float64(ch.basis.Running) < spareSlots*float64(slotsOf(svc, ch.s))
}

func withBasis(d Decision, b Basis) Decision {
	d.Basis = b
	return d
}

// bestEngine returns the engine with the least expected time to the first token among those with room; reachable
// reports whether one can be tried at all.
func (c *Controller) bestEngine(
	now clock.Millis, r Request, v *view, pool []*server, svc routing.Service,
) (best choice, reachable bool) {
	f := c.forecast(r.Service)
	homes := homesOf(r, pool)
	best.score = math.Inf(1)
	for _, s := range pool {
		if now < s.blockedUntil || slices.Contains(r.Tried, s.entry.ID) {
			continue
		}
		reachable = true
		l := c.load(s)
		fresh := s.fresh(now, r, s == homes[0])
		own := r.ownTokens()
		if l.Running >= slotsOf(svc, s) ||
			svc.KVTokens > 0 && l.Running > 0 && l.Memory+own > int64(memoryFill*float64(svc.KVTokens)) {
			continue
		}
		expected := f.Predict(s.entry.ID, l.Queued+fresh)
		score := expected
		if again := fresh - own; again > 0 {
			penalty := spreadPenalty
			if s == homes[1] {
				penalty = secondPenalty
			}
			score += homeTime + penalty*f.Slope()*float64(again)
		}
		if s.entry.Place != c.o.Place {
			score += placePenalty
		}
		score += failurePenalty * s.failures * expected
		if score < best.score {
			best = choice{s: s, score: score, alone: int64(f.Predict(s.entry.ID, fresh)), basis: Basis{
				Expected: int64(expected), Queued: l.Queued, Fresh: fresh, Running: l.Running, PeerAge: v.peerAge,
			}}
		}
	}
	return best, reachable
}

// slotsOf returns how many requests a server runs at once, by its own word or the configuration's.
func slotsOf(svc routing.Service, s *server) int {
	for _, n := range []int{s.entry.Slots, svc.Slots} {
		if n > 0 {
			return n
		}
	}
	return defaultSlots
}

// ownTokens returns the tokens of the prompt's last part, which no other request shares.
func (r Request) ownTokens() int64 {
	if len(r.Parts) == 0 {
		return r.PromptTokens
	}
	return r.Parts[len(r.Parts)-1].Tokens
}

// homesOf returns the server where the prompt's last shared part belongs and the one that comes next, by rendezvous
// hashing, so that all routers send the part to the same servers; nil ones without a shared part. The parts before it are
// shared by many prompts and are soon kept everywhere.
func homesOf(r Request, pool []*server) (homes [2]*server) {
	if len(r.Parts) < 2 {
		return homes
	}
	shared := r.Parts[len(r.Parts)-2]
	var most [2]uint64
	for _, s := range pool {
		switch h := xxhash.Sum64String(shared.ID + "@" + s.entry.ID); {
		case homes[0] == nil || h > most[0]:
			homes[1], most[1] = homes[0], most[0]
			homes[0], most[0] = s, h
		case homes[1] == nil || h > most[1]:
			homes[1], most[1] = s, h
		}
	}
	return homes
}

// send books a request at a server.
func (c *Controller) send(now clock.Millis, r Request, ch choice, v *view) Decision {
	b := ch.basis
	l := Load{Running: 1}
	if c.engine(r.Service) {
		l.Queued = b.Fresh
		l.Memory = r.ownTokens() + r.OutputTokens
		ch.s.keep(now, r)
		if !r.Begun {
			c.ledger.Serve(now, r.Team, r.tokens())
			c.book.Team(r.Team).Sent += r.tokens()
		}
		v.teams[r.Team] = c.ledger.Total(now, r.Team)
	}
	ch.s.load = ch.s.load.plus(l)
	c.runs[r.ID] = &run{
		r: r, server: ch.s.entry.ID, load: l, ahead: b.Queued + b.Fresh, alone: ch.alone, sent: now,
	}
	return Decision{Request: r.ID, Server: ch.s.entry, Basis: b}
}

func (c *Controller) waitingFor(service string) int {
	n := 0
	for _, r := range c.waiting {
		if r.Service == service {
			n++
		}
	}
	return n
}

// queueWait returns the milliseconds in which the engines read the prompts that wait here beside r.
func (c *Controller) queueWait(r Request, servers int) float64 {
	tokens := int64(0)
	for _, w := range c.waiting {
		if w.Service == r.Service && w.ID != r.ID {
			tokens += w.ownTokens()
		}
	}
	return float64(tokens) * c.forecast(r.Service).Slope() / float64(servers)
}

// Bounds of the time after which a team beyond its share is told to come back.
const (
	minShareWait = 500 * clock.Millis(1)
	maxShareWait = 8 * clock.Second
)

// shareWait returns when a team beyond its share is likely to be within it: the time in which its share covers
// what it asks for in a second.
func (c *Controller) shareWait(v *view, r Request, level float64) clock.Millis {
	over := v.teams[r.Team].Asked / level
	return min(maxShareWait, max(minShareWait, clock.Millis(over*float64(clock.Second))))
}
