package laburnumring

import "github.com/laburnumring/laburnumring/pkg/clock"

// Candidate is a team with requests waiting at an agent.
type Candidate struct {
	// Team is the team's name.
	Team string
	// Since is when the team's oldest waiting request arrived, by the agent's clock.
	Since clock.Millis
}

// TeamOrder decides which team's request an agent runs next. It is informed of the service that each team receives.
type TeamOrder interface {
	// Next returns the index of the team to serve next in candidates, which is not empty and is sorted by name.
	Next(now clock.Millis, candidates []Candidate) int
	// Expect adds units to the expected cost of the team's offered and running requests. The units are negative when
	// the requests have received them, or will not.
	Expect(team string, units int64)
	// Charge adds units of service that the team has received.
	Charge(team string, units int64)
}

// Target is an agent that may run a request, as a router knows it.
type Target struct {
	// Server is the name of the agent's backend server.
	Server string
	// Place is the name of the server's place.
	Place string
	// Slots is the largest number of requests that the server runs at once.
	Slots int
	// Load is the number of running and waiting requests that the agent last reported.
	Load int
}

// Placement chooses the agents to which a router sends a request's tickets.
type Placement interface {
	// Choose returns the names of the servers whose agents receive a ticket, each name at most once. Targets are
	// sorted by name.
	Choose(targets []Target) []string
}

// Policy is the name of a combination of Placement and TeamOrder. All routers and agents of a fleet use the same.
type Policy string

// The policies. All except Fair are baselines for measurements.
const (
	// Fair sends tickets, and shares service fairly over all agents of a service.
	Fair Policy = "laburnumring"
	// LocalFair sends tickets, and shares service fairly at each agent alone.
	LocalFair Policy = "local_fair"
	// RoundRobin pushes requests to the agents in turn. An agent serves the oldest request first.
	RoundRobin Policy = "round_robin"
	// TwoChoices pushes each request to the less loaded of two agents. An agent serves the oldest request first.
	TwoChoices Policy = "two_choices"
)

// Policies returns all policies, Fair first.
func Policies() []Policy {
	return []Policy{Fair, LocalFair, RoundRobin, TwoChoices}
}

// Pushes reports whether routers assign a request to one agent's queue before a slot is free.
func (p Policy) Pushes() bool { return p == RoundRobin || p == TwoChoices }
