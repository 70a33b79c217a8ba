// Package account counts the tokens that teams request and receive from engines at one router.
package account

// Cause is why a request was refused.
type Cause int

// Causes of refusals.
const (
	// OverShare means that the team had received its share.
	OverShare Cause = iota
	// RouterBusy means that the router had too little processor time.
	RouterBusy
	// EnginesFull means that engines could not start the request in time, or that none was available.
	EnginesFull
	// Other is any other cause.
	Other
	numCauses
)

// Entry is one team's usage, in tokens unless stated otherwise.
type Entry struct {
	// Demand is the tokens of requests that arrived for the first time, Retried of retries of refused ones.
	Demand  int64
	Retried int64
	// Sent is the tokens of requests that were sent to a server, Reverted of those that ended before they started, and
	// Started of those whose first event arrived.
	Sent     int64
	Reverted int64
	Started  int64
	// Refused is the tokens of refused requests by Cause.
	Refused [numCauses]int64
	// Unserved is the number of requests that were refused or started after their latency goal.
	Unserved int
	// Served, Recent and FairRate are the figures behind the latest decision, in tokens per second: what the team
	// received over a longer and a shorter time, and the fair rate. FairRate is 0 while capacity suffices for all.
	Served   int64
	Recent   int64
	FairRate int64
}

// Refuse counts a refused request.
func (e *Entry) Refuse(cause Cause, tokens int64) {
	e.Refused[cause] += tokens
	e.Unserved++
}

// Usage holds the teams' usage of a period. It is not safe for concurrent use.
type Usage struct {
	teams map[string]*Entry
}

// New returns an empty usage.
func New() *Usage { return &Usage{teams: make(map[string]*Entry)} }

// Team returns a team's entry for updating; it adds one if there is none.
func (u *Usage) Team(name string) *Entry {
	e, ok := u.teams[name]
	if !ok {
		e = &Entry{}
		u.teams[name] = e
	}
	return e
}

// Take returns the entries since the last call and starts a new period.
func (u *Usage) Take() map[string]*Entry {
	out := u.teams
	u.teams = make(map[string]*Entry, len(out))
	return out
}
