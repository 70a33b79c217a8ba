package ratelimit_test

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"github.com/laburnumring/laburnumring/internal/ratelimit"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

const server = 7

// alone returns the members of a fleet of one router.
func alone() []ratelimit.Member { return []ratelimit.Member{{Name: "r0", Demand: 5}} }

// TestLateResponseEndsLimit has a response without a limit arrive after one that names it, although its request was sent
// before. The limit must stay until the response to a later request has none.
func TestLateResponseEndsLimit(t *testing.T) {
	l := ratelimit.New("r0")
	if !l.Name(1000, server, 3) {
		t.Error("the limit is not new")
	}
	if l.Clear(1100, 900, server) {
		t.Error("the response to an earlier request ended the limit")
	}
	if _, ok := l.Limit(1200, server); !ok {
		t.Error("no limit")
	}
	if !l.Clear(1300, 1050, server) {
		t.Error("the response to a later request did not end the limit")
	}
	if l.Wait(1300, server, alone) != 0 {
		t.Error("the server is still limited")
	}
}

// TestLimitOfZero has a server name a limit of 0. It must still get a request now and then, whose response can end the
// limit.
func TestLimitOfZero(t *testing.T) {
	l := ratelimit.New("r0")
	l.Name(1000, server, 0)
	sent := 0
	for now := clock.Millis(1000); now < 41_000; now += 10 {
		l.Name(now, server, 0)
		if l.Wait(now, server, alone) == 0 {
			l.Take(now, server)
			sent++
		}
	}
	if sent < 5 || sent > 15 {
		t.Errorf("%d requests in 40 s, want about 10", sent)
	}
}

// fleetRouter is a router of the model.
type fleetRouter struct {
	name  string
	table *ratelimit.Table
	// demand is its real demand. reports holds what it reported, by time.
	demand  float64
	reports map[clock.Millis]float64
	// heard holds the last report from each other router.
	heard map[string]float64
}

// TestServerGetsMoreThanAllRoutersMaySend plays fleets whose demand moves from router to router, with late and lost
// reports. From the time that all routers know of a limit it must hold in any four seconds, as far as the platform asks.
func TestServerGetsMoreThanAllRoutersMaySend(t *testing.T) {
	const (
		window   = 4 * clock.Second
		playTime = 30 * clock.Second
		step     = 10 * clock.Millis(1)
		period   = 100 * clock.Millis(1)
		newsTime = 1 * clock.Second
	)
	rapid.Check(t, func(t *rapid.T) {
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		perSecond := rapid.SampledFrom([]float64{0.1, 1, 2.8, 8.7, 40, 200}).Draw(t, "limit")
		loss := rapid.Float64Range(0, 0.3).Draw(t, "loss")
		burst := rapid.SampledFrom([]float64{2, 10, 100}).Draw(t, "greatest demand")
		routers := make([]*fleetRouter, rapid.IntRange(1, 68).Draw(t, "routers"))
		for i := range routers {
			name := "r" + strconv.Itoa(i)
			routers[i] = &fleetRouter{
				name: name, table: ratelimit.New(name), reports: make(map[clock.Millis]float64), heard: make(map[string]float64),
			}
			routers[i].table.Name(1, server, perSecond)
		}
		var sent []clock.Millis
		for now := clock.Millis(10); now < playTime; now += step {
			if now%(2*clock.Second) == 0 {
				for _, r := range routers {
					r.demand = burst * rnd.Float64() * float64(rnd.IntN(2))
				}
			}
			for _, r := range routers {
				if now%period == 0 {
					r.reports[now] = r.demand
					for _, o := range routers {
						if rnd.Float64() >= loss || now%newsTime == 0 {
							o.heard[r.name] = r.demand
						}
					}
				}
				r.table.Name(now, server, perSecond)
				wanted := rnd.Float64() < r.demand*step.Duration().Seconds()
				if wanted && r.table.Wait(now, server, func() []ratelimit.Member { return r.members(now, newsTime, routers) }) == 0 {
					r.table.Take(now, server)
					sent = append(sent, now)
				}
			}
		}
		allowed := 1.5*perSecond*window.Duration().Seconds() + 5
		for i, at := range sent {
			end, _ := slices.BinarySearch(sent, at+window)
			if at > 3*clock.Second && float64(end-i) > allowed {
				t.Fatalf("%d requests in %d ms from %d on, allowed are %v", end-i, window, at, allowed)
			}
		}
	})
}

// members returns the routers as this one knows them. Its own demand is the lowest that it reported within newsTime.
func (r *fleetRouter) members(now, newsTime clock.Millis, routers []*fleetRouter) []ratelimit.Member {
	var out []ratelimit.Member
	for _, o := range routers {
		m := ratelimit.Member{Name: o.name, Demand: r.heard[o.name]}
		if o == r {
			m.Demand = 0
			if now > newsTime {
				m.Demand = r.demand
				for at, d := range r.reports {
					if now-at <= newsTime {
						m.Demand = min(m.Demand, d)
					}
				}
			}
		}
		out = append(out, m)
	}
	return out
}
