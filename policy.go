package laburnumring

import "github.com/laburnumring/laburnumring/pkg/clock"

// Candidate is a team with work waiting at one agent.
type Candidate struct {
	// Team is the team's name.
	Team string
	// Since is when the team's oldest waiting request arrived, by the agent's clock.
	Since clock.Millis
}

// TeamOrder decides whose request an agent runs next and is told what each team received.
type TeamOrder interface {
	// Next returns the index in candidates of the team to serve. There is at least one, sorted by name.
	Next(now clock.Millis, candidates []Candidate) int
	// Expect adds to what team's offered and running requests are still expected to cost; it is negative when
	// they cost it, or will not.
	Expect(team string, units int64)
	// Charge adds units of service that team has received.
	Charge(team string, units int64)
}

// Target is one agent that may run a request, as its router knows it.
type Target struct {
	// Server is the backend server's name.
	Server string
	// Place is the name of the server's place.
	Place string
	// Slots is the most requests that the server runs at once.
	Slots int
	// Load is how many requests the agent last said to hold, running or waiting.
	Load int
}

// Placement decides with which agents a router leaves a request's tickets.
type Placement interface {
	// Choose returns the servers to leave tickets with, at most one ticket each. Targets are sorted by name.
	Choose(targets []Target) []string
}

// Policy names a pair of a Placement and a TeamOrder. Routers and agents of a fleet use the same.
type Policy string

// The policies. All but Fair are baselines for measurements.
const (
	// Fair leaves tickets and shares fairly over all agents of a service.
	Fair Policy = "laburnumring"
	// LocalFair leaves tickets and shares fairly at each agent alone.
	LocalFair Policy = "local_fair"
	// RoundRobin pushes each request to the next agent, which serves the oldest first.
	RoundRobin Policy = "round_robin"
	// TwoChoices pushes each request to the less loaded of two agents, which serves the oldest first.
	TwoChoices Policy = "two_choices"
)

// Policies returns all policies, Fair first.
func Policies() []Policy {
	return []Policy{Fair, LocalFair, RoundRobin, TwoChoices}
}

// Pushes reports whether routers bind a request to one agent's queue before a slot is free.
func (p Policy) Pushes() bool { return p == RoundRobin || p == TwoChoices }
