package intake

import (
	"math"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/routing"
	"github.com/laburnumring/laburnumring/internal/serverspeed"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Kinds of work whose times are compared between servers. Plain calls are of the kind of their latency goal, by which
// routes differ.
const (
	workFirstEvent int64 = -1
	workEvents     int64 = -2
)

const (
	// firstEventWeight and eventWeight are the weights of observations: the time until a first event also depends on
	// what other routers sent at the same time, and all streams of an engine have the same pauses. The weight of an
	// event is halved for each readingTokens prompt tokens that are to be read at the engine, which lengthens pauses.
	firstEventWeight = 0.25
	eventWeight      = 0.2
	readingTokens    = 2000.0
	// wellReadMs is the time in which an engine handles the prompts well that wait to be read there. It bounds engines
	// that are slower than others only.
	wellReadMs = 500.0
)

// speed returns the estimates for a service's servers.
func (c *Controller) speed(service string) *serverspeed.Table {
	t, ok := c.speeds[service]
	if !ok {
		t = serverspeed.New(c.peers.speeds)
		c.speeds[service] = t
	}
	return t
}

// loadFraction returns the given number of requests as a fraction of a server's slots.
func (c *Controller) loadFraction(s *server, running int) float64 {
	svc, _ := c.table.Service(s.entry.Service)
	return float64(running) / float64(slotsOf(svc, s))
}

// observeWork records how long work took at a server on which the given number of requests ran. Work at a cold server
// says nothing about its later speed.
func (c *Controller) observeWork(now clock.Millis, s *server, kind int64, took float64, running int, weight float64) {
	if c.timersLate || c.table == nil || c.cold(now, s) {
		return
	}
	c.speed(s.entry.Service).ObserveWork(now, uint32(s.key), serverspeed.Work{
		Kind: kind, Took: took, Load: c.loadFraction(s, running), Weight: weight,
	})
}

// observeEvents records the time between events of a stream.
func (c *Controller) observeEvents(now clock.Millis, s *server, gapMs float64, events int) {
	l := c.load(s)
	weight := eventWeight * float64(events) * math.Exp2(-float64(l.Queued)/readingTokens)
	c.observeWork(now, s, workEvents, gapMs, l.Running, weight)
}

// ObserveReply records what a server's response to a request says of the server's load. A refusal says something about a
// plain server that is not full.
func (c *Controller) ObserveReply(now clock.Millis, request int64, id string, reply laburnumring.ReplyHeader) {
	s, ok := c.servers[id]
	if !ok || c.table == nil {
		return
	}
	c.speed(s.entry.Service).ObserveLoad(now, uint32(s.key), reply.Load)
	a, ok := c.attempts[request]
	// A response without a known limit may be from another server.
	if !ok || !reply.NotRun || !reply.Limit.Known || reply.Pause > 0 || reply.Leaving || c.isEngine(s.entry.Service) {
		return
	}
	load := c.loadFraction(s, a.running)
	if l := reply.Load; l.Known {
		load = max(load, float64(l.Running+l.Waiting)/float64(l.Slots))
	}
	c.speed(s.entry.Service).ObserveRefusal(now, uint32(s.key), load)
}

// speedInterval is how long an estimate is used, so that decisions, which look at all servers, cost little.
const speedInterval = 50 * clock.Millis(1)

// estimate returns the estimate of a server's speed. When the server has recovered, the times from before are forgotten.
func (c *Controller) estimate(now clock.Millis, s *server) serverspeed.Estimate {
	if s.speedAt > 0 && now-s.speedAt < speedInterval {
		return s.speed
	}
	e := c.speed(s.entry.Service).Estimate(now, uint32(s.key))
	if s.speed.Slowness > 1 && e.Slowness <= 1 {
		c.forecast(s.entry.Service).Forget(s.entry.ID)
		s.latencyMs = 0
	}
	s.speed, s.speedAt = e, now
	return e
}

// probes reports whether a slow server is treated as a typical one: it has no request, and the next one shows whether it
// has recovered.
func probes(slowness float64, l Load) bool { return slowness > 1 && l.Running == 0 }

// handles reports whether a server handles one more request well, of which it has to read the given number of prompt
// tokens. Servers that do not differ from others handle as many as they have slots.
func (c *Controller) handles(now clock.Millis, s *server, svc routing.Service, l Load, tokens int64) bool {
	e := c.estimate(now, s)
	if limit, ok := e.Limit(now, slotsOf(svc, s)); ok && l.Running >= limit {
		return false
	}
	if e.Slowness <= 1 || !svc.IsEngine || l.Queued == 0 {
		return true
	}
	return float64(l.Queued+tokens)*c.forecast(svc.Name).Slope()*e.Slowness <= wellReadMs
}

// handledFraction returns the number of requests that a service's servers handle well, as a fraction of their slots; 1
// unless a server is measurably slower than the others.
func (c *Controller) handledFraction(now clock.Millis, service string) float64 {
	svc, _ := c.table.Service(service)
	handled, slots := 0.0, 0.0
	for _, s := range c.pools[service] {
		n := float64(slotsOf(svc, s))
		handled += n * c.estimate(now, s).Fraction
		slots += n
	}
	if slots == 0 {
		return 1
	}
	return handled / slots
}

// wellPlaced keeps the best server of all, and the best of those that handle the request well.
type wellPlaced struct {
	all, well choice
}

func (p *wellPlaced) add(ch choice, well bool) {
	if p.all.s == nil || ch.score < p.all.score {
		p.all = ch
	}
	if well && (p.well.s == nil || ch.score < p.well.score) {
		p.well = ch
	}
}

// best returns the best server that handles the request well, unless only another one is on time: what servers handle
// well never makes a request wait or be refused while one has room. onTimeMs is the latest expected start that is on time;
// 0 if any is.
func (p *wellPlaced) best(onTimeMs float64) choice {
	late := func(ch choice) bool { return onTimeMs > 0 && float64(ch.basis.Expected) > onTimeMs }
	if p.well.s == nil || late(p.well) && !late(p.all) {
		return p.all
	}
	return p.well
}

// ServerSpeed is the speed of one server, for metrics and the log.
type ServerSpeed struct {
	ID string
	// Slowness is how many times as long as at a typical server work takes, and Limit the number of requests that the
	// server handles well.
	Slowness float64
	Limit    int
}

// Speeds returns the speeds of listed servers, at most the given number.
func (c *Controller) Speeds(now clock.Millis, most int) []ServerSpeed {
	var out []ServerSpeed
	for service, pool := range c.pools {
		for _, s := range pool {
			if len(out) < most && c.table != nil {
				out = append(out, c.serverSpeed(service, s, c.estimate(now, s)))
			}
		}
	}
	return out
}

// SpeedChanges returns the changes of servers' speeds since the last call; their number is limited.
func (c *Controller) SpeedChanges(now clock.Millis) []ServerSpeed {
	var out []ServerSpeed
	for service, t := range c.speeds {
		for _, change := range t.TakeChanges(now) {
			for _, s := range c.pools[service] {
				if uint32(s.key) == change.Server {
					out = append(out, c.serverSpeed(service, s, change.Estimate))
				}
			}
		}
	}
	return out
}

func (c *Controller) serverSpeed(service string, s *server, e serverspeed.Estimate) ServerSpeed {
	svc, _ := c.table.Service(service)
	return ServerSpeed{
		ID: s.entry.ID, Slowness: e.Slowness, Limit: max(1, int(e.Fraction*float64(slotsOf(svc, s))+0.5)),
	}
}
