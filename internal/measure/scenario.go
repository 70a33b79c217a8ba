package measure

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Traffic is the demand of one team.
type Traffic struct {
	// Team is the team's name.
	Team string
	// Rate is the demand in tokens a second.
	Rate float64
	// Routers holds the indexes of the routers that the team's requests land on, in turn.
	Routers []int
	// HintFactor is by how much the cost hint is wrong; 1 is right.
	HintFactor float64
}

// Fault is one change in the middle of a run.
type Fault struct {
	// At is when it happens, after the start of the load.
	At time.Duration
	// Do carries it out.
	Do func(*Cluster) error
}

// Scenario is one kind of load with its faults.
type Scenario struct {
	// Name is unique.
	Name string
	// Traffic returns the demand of each team of the site.
	Traffic func(s Site) []Traffic
	// Faults are in the order of time.
	Faults func(s Site) []Fault
	// Cut says that part of the capacity cannot be reached for a time.
	Cut bool
	// Unseen returns the share of each server's slots that an older system uses at a time; nil for none.
	Unseen func(at time.Duration) float64
}

// Factors of demand against a team's fair share or the whole capacity.
const (
	backlogged    = 1.4
	floodCapacity = 2.0
	largeCapacity = 0.5
	smallShare    = 0.6
	slowFactor    = 4
	maxHintFactor = 8
)

// Scenarios returns all scenarios. The length of a run is given to those that change over time.
func Scenarios(length time.Duration) []Scenario {
	return []Scenario{
		{Name: "even", Traffic: even},
		{Name: "few_large", Traffic: fewLarge},
		{Name: "flooding", Traffic: flooding},
		{Name: "uneven_landing", Traffic: unevenLanding},
		{Name: "wrong_hints", Traffic: wrongHints},
		{Name: "slow_server", Traffic: even, Faults: slowServer(length / 4)},
		{Name: "older_system", Traffic: even, Unseen: fallingSteps(length)},
		{Name: "place_cut", Traffic: even, Faults: placeCut(length/3, 2*length/3), Cut: true},
		{Name: "restart", Traffic: even, Faults: restart(length / 3)},
	}
}

func all(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// even lets every team ask for more than its fair share, on all routers.
func even(s Site) []Traffic {
	var out []Traffic
	for _, t := range s.Teams() {
		out = append(out, Traffic{
			Team: t.Name(), Rate: backlogged * s.FairRate(t.Weight()), Routers: all(s.Routers()), HintFactor: 1,
		})
	}
	return out
}

// fewLarge lets the large teams ask for half the capacity each and the others for less than their share.
func fewLarge(s Site) []Traffic {
	out := even(s)
	for i, t := range s.Teams() {
		out[i].Rate = smallShare * s.FairRate(t.Weight())
		if i < s.Large() {
			out[i].Rate = largeCapacity * s.Capacity()
		}
	}
	return out
}

// flooding lets one small team ask for twice the whole capacity.
func flooding(s Site) []Traffic {
	out := even(s)
	out[len(out)-1].Rate = floodCapacity * s.Capacity()
	return out
}

// unevenLanding pins each team to one router, most teams to the first.
func unevenLanding(s Site) []Traffic {
	out := even(s)
	for i := range out {
		router := 0
		if i >= len(out)/2 {
			router = 1 + i%(s.Routers()-1)
		}
		out[i].Routers = []int{router}
	}
	return out
}

// wrongHints lets every other team claim an eighth of its costs and the rest eight times as much.
func wrongHints(s Site) []Traffic {
	out := even(s)
	for i := range out {
		out[i].HintFactor = maxHintFactor
		if i%2 == 0 {
			out[i].HintFactor = 1.0 / maxHintFactor
		}
	}
	return out
}

func slowServer(at time.Duration) func(Site) []Fault {
	return func(Site) []Fault {
		return []Fault{{At: at, Do: func(c *Cluster) error {
			c.Slow(0, slowFactor)
			return nil
		}}}
	}
}

// fallingSteps returns the share of slots that an older system uses: half, a quarter, nothing.
func fallingSteps(length time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		switch {
		case at < length/3:
			return 0.5
		case at < 2*length/3:
			return 0.25
		default:
			return 0
		}
	}
}

func placeCut(from, to time.Duration) func(Site) []Fault {
	return func(s Site) []Fault {
		place := slices.Min(s.Places())
		return []Fault{
			{At: from, Do: func(c *Cluster) error { c.SetCut(place, true); return nil }},
			{At: to, Do: func(c *Cluster) error { c.SetCut(place, false); return nil }},
		}
	}
}

// restart kills the agent that keeps the fleet-wide counters and a router, and starts them with no state.
func restart(at time.Duration) func(Site) []Fault {
	return func(Site) []Fault {
		return []Fault{{At: at, Do: func(c *Cluster) error { return c.RestartRootAndRouter() }}}
	}
}

// Arrival is one request of the load.
type Arrival struct {
	// At is after the start of the load.
	At time.Duration
	// Team and Router say whose it is and where it lands.
	Team   string
	Router int
	// Tokens is the length of the answer and Hint what the caller says it will be.
	Tokens int
	Hint   int
}

// Arrivals returns the requests of all teams in the order of time. The same seed gives the same requests.
func Arrivals(traffic []Traffic, length time.Duration, seed uint64) []Arrival {
	var out []Arrival
	for i, t := range traffic {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		gap := float64(meanTokens) / t.Rate
		n := 0
		for at := rng.ExpFloat64() * gap; at < length.Seconds(); at += rng.ExpFloat64() * gap {
			tokens := minTokens + rng.IntN(maxTokens-minTokens+1)
			out = append(out, Arrival{
				At: time.Duration(at * float64(time.Second)), Team: t.Team, Router: t.Routers[n%len(t.Routers)],
				Tokens: tokens, Hint: max(1, int(float64(tokens)*t.HintFactor)),
			})
			n++
		}
	}
	slices.SortStableFunc(out, func(a, b Arrival) int { return int(a.At - b.At) })
	return out
}

// Lengths of answers in tokens.
const (
	minTokens  = 8
	maxTokens  = 56
	meanTokens = (minTokens + maxTokens) / 2
)
