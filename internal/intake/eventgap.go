package intake

import (
	"cmp"
	"slices"

	"github.com/laburnumring/laburnumring/internal/forecast"
	"github.com/laburnumring/laburnumring/internal/routing"
)

// Engines read prompts in chunks between the steps of the running streams, so that a long prompt delays the next event
// of each of them. A stream with a pause beyond its route's pause goal is late.
const (
	// readChunk is the number of prompt tokens that an engine reads in one step. An event spans as many steps as it
	// holds tokens, so that what is unread beyond that many chunks does not make a pause longer.
	readChunk = 4096
	// minLatePause is the fraction of the pause goal from which a forecast pause makes streams late, in proportion up to
	// the whole goal. Prompts that other routers send at the same time are not known yet: 36 of 100 streams had a pause
	// over 500 ms where the longest prompt alone, of 16,000 tokens at 66 tokens/ms, explains 240 ms.
	minLatePause = 0.5
	// sizesDecay is the weight of the past in the sizes of requests, per request: several hundred requests, so that
	// routers agree.
	sizesDecay = 0.998
)

// sizes sums the tokens of requests. The sums decay with each request.
type sizes struct {
	requests, tokens float64
	// read sums the prompt tokens that engines had to read, and harmful those of requests that make streams late by
	// themselves.
	read, harmful float64
}

func (z *sizes) observe(tokens, uncached int64, harmful bool) {
	z.requests = sizesDecay*z.requests + 1
	z.tokens = sizesDecay*z.tokens + float64(tokens)
	z.harmful *= sizesDecay
	if harmful {
		z.harmful += float64(uncached)
	}
	z.read = sizesDecay*z.read + float64(uncached)
}

// mean returns the mean size of a request in tokens; 0 before the first.
func (z *sizes) mean() float64 { return z.tokens / max(1, z.requests) }

// harmfulShare returns the share of harmful requests in what engines read.
func (z *sizes) harmfulShare() float64 { return z.harmful / max(1, z.read) }

// gapForecast forecasts the pauses between events that one request causes at the engines.
type gapForecast struct {
	f *forecast.Forecast
	// goalMs is the shortest pause goal of the service's streams, in milliseconds; 0 if none has one.
	goalMs float64
	// most is the number of prompt tokens that an engine reads between two events.
	most int64
	// relativeSize is the mean size of the service's requests, relative to that of this request.
	relativeSize float64
	// share is the share of the engines to which harmful prompts go first.
	share float64
}

// gapForecast returns the forecast for a request.
func (c *Controller) gapForecast(r Request, svc routing.Service) gapForecast {
	g := gapForecast{
		f: c.forecast(r.Service), goalMs: float64(c.table.PauseGoal(r.Service)),
		most: int64(readChunk * max(1, svc.EventTokens)),
	}
	if g.goalMs > 0 {
		z := c.sizesOf(r.Service)
		g.share, g.relativeSize = z.harmfulShare(), z.mean()/float64(max(1, r.tokens()))
	}
	return g
}

// observeSize records the size of a request that is sent to a server.
func (c *Controller) observeSize(r Request, s *server, uncached int64) {
	svc, _ := c.table.Service(r.Service)
	if g := c.gapForecast(r, svc); g.goalMs > 0 {
		c.sizesOf(r.Service).observe(r.tokens(), uncached, g.lateFraction(g.pauseMs(s, uncached)) > 0)
	}
}

func (c *Controller) sizesOf(service string) *sizes {
	z, ok := c.sizes[service]
	if !ok {
		z = &sizes{}
		c.sizes[service] = z
	}
	return z
}

// pauseMs returns the forecast pause between two events at an engine with the given unread prompt tokens, in
// milliseconds.
func (g *gapForecast) pauseMs(s *server, unread int64) float64 {
	return g.f.ReadMs(s.entry.ID, min(g.most, unread)) + s.eventGapMs
}

// lateFraction returns the expected fraction of streams that a pause makes late.
func (g *gapForecast) lateFraction(pauseMs float64) float64 {
	return min(1, max(0, (pauseMs/g.goalMs-minLatePause)/(1-minLatePause)))
}

// costMs returns the lateness that the request causes at an engine, in milliseconds. A late stream counts as much as a
// request that starts one pause goal later, in proportion to their sizes, as the value of an answer is.
//
// All routers order the engines alike (rankServers). Harmful prompts go to the first of them and others to the rest, unless
// that costs more than one pause goal: most streams then run where no harmful prompts are read, although routers learn
// of each other's prompts late.
func (g *gapForecast) costMs(s *server, l Load, uncached int64) float64 {
	added := g.lateFraction(g.pauseMs(s, l.Queued+uncached)) - g.lateFraction(g.pauseMs(s, l.Queued))
	cost := added * g.goalMs * float64(l.Running) * g.relativeSize
	harmfulness := g.lateFraction(g.pauseMs(s, uncached))
	switch first := s.rank < g.share; {
	case first && harmfulness == 0:
		cost += g.goalMs
	case !first:
		cost += harmfulness * g.goalMs
	}
	return cost
}

// rankServers orders each service's servers by hash, so that all routers agree.
func (c *Controller) rankServers() {
	for _, pool := range c.pools {
		ordered := slices.Clone(pool)
		slices.SortFunc(ordered, func(a, b *server) int { return cmp.Compare(a.key, b.key) })
		for i, s := range ordered {
			s.rank = float64(i) / float64(len(ordered))
		}
	}
}
