package experiment

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Kind is one kind of request.
type Kind struct {
	Name string
	// PerSecond is the usual rate over all teams.
	PerSecond float64
	// Prefix is a part that few values of stand before all prompts, Shared one of Things parts that requests have
	// in common, and Own what no other request has; in tokens.
	Prefix   int64
	Prefixes int
	Shared   int64
	Things   int
	Own      int64
	// Output is the mean of generated tokens.
	Output int64
	// Goal and Limit bound the time to the first token and to the end.
	Goal  clock.Millis
	Limit clock.Millis
}

// Burst multiplies a team's requests for a time.
type Burst struct {
	Team  int
	From  clock.Millis
	To    clock.Millis
	Times float64
	// Router is the router to which all of them come, as balancers keep callers together; 0 for all routers, else its
	// number from 1.
	Router int
}

// Load is the arrivals of one experiment.
type Load struct {
	Seed  uint64
	Kinds []Kind
	Teams int
	// Skew is the exponent by which teams differ in size.
	Skew   float64
	Bursts []Burst
	Length clock.Millis
	// Routers is among how many routers the requests are divided.
	Routers int
	// Returns says that refused callers come back once, when they are told to and to the same router.
	Returns bool
}

// arrival is one request of a load.
type arrival struct {
	at     clock.Millis
	router int
	team   string
	kind   *Kind
	parts  []laburnumring.PromptPart
	output int64
}

// arrivals draws a load's requests in the order of time.
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

// teamArrivals draws one team's requests of one kind: a Poisson process whose rate bursts multiply.
func (l Load) teamArrivals(r *rand.Rand, k *Kind, team int, share float64) []arrival {
	var out []arrival
	for at := 0.0; ; {
		times, router := 1.0, 0
		for _, b := range l.Bursts {
			if b.Team == team && clock.Millis(at) >= b.From && clock.Millis(at) < b.To {
				times, router = b.Times, b.Router
			}
		}
		at += r.ExpFloat64() * 1000 / (k.PerSecond * share * times)
		if clock.Millis(at) >= l.Length {
			return out
		}
		thing, drawn := r.IntN(k.Things), r.IntN(l.Routers)
		if router > 0 {
			drawn = router - 1
		}
		out = append(out, arrival{
			at: clock.Millis(at), router: drawn, team: fmt.Sprintf("team%02d", team), kind: k,
			output: max(1, int64(float64(k.Output)*math.Exp(0.6*r.NormFloat64()-0.18))),
			parts: []laburnumring.PromptPart{
				{ID: fmt.Sprintf("%s-prefix-%d", k.Name, thing%k.Prefixes), Tokens: k.Prefix},
				{ID: fmt.Sprintf("%s-shared-%d", k.Name, thing), Tokens: k.Shared},
				{
					ID:     fmt.Sprintf("%s-%d-%d", k.Name, team, len(out)),
					Tokens: max(1, int64(float64(k.Own)*math.Exp(r.NormFloat64()-0.5))),
				},
			},
		})
	}
}
