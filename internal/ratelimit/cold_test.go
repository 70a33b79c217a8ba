package ratelimit_test

import (
	"math/rand/v2"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"github.com/laburnumring/laburnumring/internal/ratelimit"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// coldRouter is a router of the model.
type coldRouter struct {
	name    string
	place   int
	table   *ratelimit.Table
	members *ratelimit.Membership
	demand  float64
	heard   map[string]float64
	// startsAt and stopsAt bound the time in which it runs, learnsAt is when it learns that the server is cold.
	startsAt, stopsAt, learnsAt clock.Millis
}

func (r *coldRouter) start(at clock.Millis) {
	r.startsAt, r.table, r.members = at, ratelimit.New(r.name), ratelimit.NewMembership(false)
	r.heard = make(map[string]float64)
	r.table.SetFleet(r.members.Fleet)
}

// demands returns the demand of the routers heard, and the own one.
func (r *coldRouter) demands() []ratelimit.Member {
	out := []ratelimit.Member{{Name: r.name, Demand: r.demand}}
	for name, demand := range r.heard {
		out = append(out, ratelimit.Member{Name: name, Demand: demand})
	}
	return out
}

// coldPlay is what a play of the model is played with.
type coldPlay struct {
	seed             uint64
	perSecond, bound float64
	// loss is the fraction of reports lost, burst the greatest demand, named the rate that responses name.
	loss, burst, named float64
	// cutAt is when the places are cut off from each other. wasWarm is set if the server was in use before.
	cutAt   clock.Millis
	wasWarm bool
	routers int
}

const (
	coldStep     = 10 * clock.Millis(1)
	coldAt       = 4 * clock.Second
	coldPlayTime = 10 * clock.Second
	coldPeriod   = 300 * clock.Millis(1)
	coldPlaces   = 4
)

// TestColdServerGetsMoreThanTheBound plays fleets whose server turns cold, learn of it up to a second after each other,
// lose reports, are cut into places, and lose and restart routers. What all routers together send in any second must
// stay a request under the bound, from the time that each of them knows of the cold server.
func TestColdServerGetsMoreThanTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := coldPlay{
			seed:      rapid.Uint64().Draw(t, "seed"),
			perSecond: rapid.SampledFrom([]float64{0.5, 2, 13, 40}).Draw(t, "rate"),
			loss:      rapid.Float64Range(0, 0.3).Draw(t, "loss"),
			burst:     rapid.SampledFrom([]float64{2, 30, 100}).Draw(t, "greatest demand"),
			named:     rapid.SampledFrom([]float64{0, 0, 1, 30}).Draw(t, "rate that responses name"),
			cutAt: rapid.SampledFrom([]clock.Millis{
				coldAt - 3*clock.Second, coldAt - 500, coldAt, coldAt + 2*clock.Second, coldPlayTime,
			}).Draw(t, "cut at"),
			wasWarm: rapid.Bool().Draw(t, "was warm"),
			routers: rapid.SampledFrom([]int{1, 2, 3, 4, 9, 12, 19, 24, 30, 45}).Draw(t, "routers"),
		}
		p.bound = p.perSecond*1.5 + rapid.SampledFrom([]float64{0, 5}).Draw(t, "slack")
		p.play(t)
	})
}

// TestColdServerGetsMoreThanTheBoundFromManyRouters plays the largest fleet, in which most routers have no quota.
func TestColdServerGetsMoreThanTheBoundFromManyRouters(t *testing.T) {
	p := coldPlay{seed: 1, perSecond: 13, bound: 24.5, loss: 0.3, burst: 30, cutAt: coldAt, routers: 300}
	p.play(t)
}

// failer fails a test.
type failer interface {
	Fatalf(format string, args ...any)
}

// play plays the fleet and checks what the server gets in each second.
func (p coldPlay) play(t failer) {
	rnd := rand.New(rand.NewPCG(p.seed, 0))
	routers := make([]*coldRouter, p.routers)
	alone := len(routers) == 1
	for i := range routers {
		r := &coldRouter{name: "r" + strconv.Itoa(i), place: i % coldPlaces, stopsAt: coldPlayTime}
		r.start(1)
		if alone {
			r.members = ratelimit.NewMembership(true)
			r.table.SetFleet(r.members.Fleet)
		}
		r.learnsAt = coldAt + clock.Millis(rnd.IntN(1000))
		switch rnd.IntN(20) {
		case 0:
			r.stopsAt = clock.Millis(rnd.Int64N(int64(coldPlayTime)))
		case 1:
			r.startsAt = clock.Millis(rnd.Int64N(int64(coldPlayTime)))
		}
		routers[i] = r
	}
	restarted := routers[rnd.IntN(len(routers))]
	restartAt := clock.Millis(rnd.Int64N(int64(coldPlayTime)))
	var sent []clock.Millis
	for now := coldStep; now < coldPlayTime; now += coldStep {
		if now%(500*clock.Millis(1)) == 0 {
			for _, r := range routers {
				r.demand = p.burst * rnd.Float64() * float64(rnd.IntN(2))
			}
		}
		if now >= restartAt && now < restartAt+coldStep && !alone {
			restarted.start(now)
			restarted.learnsAt = max(restarted.learnsAt, now)
		}
		for i, r := range routers {
			if now < r.startsAt || now >= r.stopsAt {
				continue
			}
			if (now+coldStep*clock.Millis(i))%coldPeriod < coldStep {
				r.members.Reported(now)
				count := r.members.Count(now)
				for _, o := range routers {
					if o != r && now >= o.startsAt && rnd.Float64() >= p.loss && (now < p.cutAt || o.place == r.place) {
						o.members.Heard(now, r.name, count)
						o.heard[r.name] = r.demand
					}
				}
			}
			learnsAt := max(r.learnsAt, r.startsAt)
			if now >= learnsAt && now < learnsAt+coldStep {
				c := ratelimit.Cold{PerSecond: p.perSecond, Bound: p.bound, From: now, Until: coldPlayTime}
				if p.wasWarm && r.startsAt < coldAt {
					c.From = now + clock.Second
				}
				r.table.SetCold(now, server, c)
			}
			if p.named > 0 && now%(3*clock.Second) == 0 {
				r.table.Name(now, server, p.named)
			} else if p.named > 0 && now%(4*clock.Second) == 0 {
				r.table.Clear(now, now, server)
			}
			if now < learnsAt {
				continue
			}
			for n := rnd.Float64() + r.demand*coldStep.Duration().Seconds(); n >= 1 && r.table.Wait(now, server, r.demands) == 0; n-- {
				r.table.Take(now, server)
				// The request arrives somewhat later.
				sent = append(sent, now+clock.Millis(rnd.IntN(200)))
			}
		}
	}
	checkSeconds(t, sent, max(0, p.bound-1))
}

// checkSeconds fails if more than most requests came in any second.
func checkSeconds(t failer, sent []clock.Millis, most float64) {
	counts := make(map[clock.Millis]int)
	for _, at := range sent {
		counts[at]++
	}
	n := 0
	for at := clock.Millis(0); at < 12*clock.Second; at++ {
		n += counts[at] - counts[at-clock.Second]
		if float64(n) > most {
			t.Fatalf("%d requests in the second until %d, allowed are %v", n, at, most)
		}
	}
}
