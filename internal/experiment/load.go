package experiment

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/pkg/clock"
	"github.com/laburnumring/laburnumring/pkg/route"
)

// Kind is a class of requests.
type Kind struct {
	Name string
	// PerSecond is the total request rate of all teams outside bursts.
	PerSecond float64
	// A prompt has three parts, with these sizes in tokens: one of Prefixes common prefixes of Prefix tokens, one of
	// SharedParts shared parts of Shared tokens, and a part of its own with a mean of Own tokens.
	Prefix      int64
	Prefixes    int
	Shared      int64
	SharedParts int
	Own         int64
	// Spread is the standard deviation of the logarithm of the own part's size, 1 if zero, and MaxOwn limits the
	// size unless it is zero.
	Spread float64
	MaxOwn int64
	// Output is the mean number of generated tokens.
	Output int64
	// Goal is the latency goal for the first token and Limit the limit for the whole request.
	Goal  clock.Millis
	Limit clock.Millis
	// PauseGoal is the longest pause between two events of a stream that is on time; 0 for none.
	PauseGoal clock.Millis
}

// Burst multiplies a team's request rate by Factor from From until To.
type Burst struct {
	Team   int
	From   clock.Millis
	To     clock.Millis
	Factor float64
	// Router is the number, from 1, of the router that receives all requests of the burst, as with a balancer that
	// keeps the connections of one client on one router; 0 spreads them over all routers.
	Router int
}

// Load describes the requests of one run.
type Load struct {
	Seed  uint64
	Kinds []Kind
	Teams int
	// Skew is the exponent of the power law by which the sizes of the teams fall.
	Skew   float64
	Bursts []Burst
	Length clock.Millis
	// Routers is the number of routers over which the requests are spread.
	Routers int
	// Retries says that a client repeats a refused request once, at the same router and when the refusal told it to.
	Retries bool
}

// routes returns a route for each kind.
func (l Load) routes() []route.Route {
	var out []route.Route
	for _, k := range l.Kinds {
		out = append(out, route.New(route.Options{
			Name: k.Name, Kind: route.Stream, PauseGoal: k.PauseGoal, Targets: []route.Target{{Service: service, Weight: 1}},
		}))
	}
	return out
}

// arrival is one request of a load and the router that it first reaches.
type arrival struct {
	at     clock.Millis
	router int
	team   string
	kind   *Kind
	parts  []laburnumring.PromptPart
	output int64
}

// arrivals draws the requests of a load, sorted by time.
func (l Load) arrivals() []arrival {
	r := rand.New(rand.NewPCG(l.Seed, l.Seed))
	sizes, sum := make([]float64, l.Teams), 0.0
	for i := range sizes {
		sizes[i] = math.Pow(float64(i+1), -l.Skew)
		sum += sizes[i]
	}
	var out []arrival
	for i := range l.Kinds {
		for team, size := range sizes {
			out = append(out, l.teamArrivals(r, &l.Kinds[i], team, size/sum)...)
		}
	}
	slices.SortStableFunc(out, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return out
}

// ownTokens returns the size of a prompt's own part for a normally distributed number.
func (k *Kind) ownTokens(x float64) int64 {
	spread := cmp.Or(k.Spread, 1)
	n := max(1, int64(float64(k.Own)*math.Exp(spread*x-spread*spread/2)))
	if k.MaxOwn > 0 {
		n = min(n, k.MaxOwn)
	}
	return n
}

// teamArrivals draws one team's requests of one kind: a Poisson process whose rate is multiplied during bursts.
func (l Load) teamArrivals(r *rand.Rand, k *Kind, team int, share float64) []arrival {
	var out []arrival
	for at := 0.0; ; {
		factor, router := 1.0, 0
		for _, b := range l.Bursts {
			if b.Team == team && clock.Millis(at) >= b.From && clock.Millis(at) < b.To {
				factor, router = b.Factor, b.Router
			}
		}
		at += r.ExpFloat64() * 1000 / (k.PerSecond * share * factor)
		if clock.Millis(at) >= l.Length {
			return out
		}
		shared, firstRouter := r.IntN(k.SharedParts), r.IntN(l.Routers)
		if router > 0 {
			firstRouter = router - 1
		}
		out = append(out, arrival{
			at: clock.Millis(at), router: firstRouter, team: fmt.Sprintf("team%02d", team), kind: k,
			output: max(1, int64(float64(k.Output)*math.Exp(0.6*r.NormFloat64()-0.18))),
			parts: []laburnumring.PromptPart{
				{ID: fmt.Sprintf("%s-prefix-%d", k.Name, shared%k.Prefixes), Tokens: k.Prefix},
				{ID: fmt.Sprintf("%s-shared-%d", k.Name, shared), Tokens: k.Shared},
				{
					ID:     fmt.Sprintf("%s-%d-%d", k.Name, team, len(out)),
					Tokens: k.ownTokens(r.NormFloat64()),
				},
			},
		})
	}
}
