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
	// Charge adds units of service to team; a correction may be negative.
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
	// Tickets is how many tickets this router has left there.
	Tickets int
}

// Placement decides with which agents a router leaves a request's tickets.
type Placement interface {
	// Choose returns the servers to leave tickets with, at most one ticket each. Targets are sorted by name.
	Choose(targets []Target) []string
}
