// Package account books the tokens that teams ask for and get at one router.
package account

// Cause is why a request was refused.
type Cause int

// The causes.
const (
	// Share is a team that received its share.
	Share Cause = iota
	// Processor is a router with too little processor time.
	Processor
	// Engines is engines that could not begin in time, or a lack of engines.
	Engines
	// Other is any other cause.
	Other
	causes
)

// Entry is what was booked for one team, in tokens but for Unserved.
type Entry struct {
	// Asked counts requests that came for the first time, Returned those whose callers were refused before.
	Asked    int64
	Returned int64
	// Sent counts requests that were sent to a server, Undone those of them that ended before they began, Begun those
	// whose first event came.
	Sent   int64
	Undone int64
	Begun  int64
	// Refused counts refused requests by Cause.
	Refused [causes]int64
	// Unserved is how many requests were refused, or began after their goal.
	Unserved int
	// Served, Recent and Level are the figures that the last decision rested on, in tokens per second: what the team
	// received over a longer and over a shorter time, and the max-min share. Level is 0 when all are served.
	Served int64
	Recent int64
	Level  int64
}

// Refuse books a refused request.
func (e *Entry) Refuse(why Cause, tokens int64) {
	e.Refused[why] += tokens
	e.Unserved++
}

// Book holds the entries of a span of time. It is used by one goroutine at a time.
type Book struct {
	teams map[string]*Entry
}

// New returns an empty book.
func New() *Book { return &Book{teams: make(map[string]*Entry)} }

// Team returns a team's entry, to add to.
func (b *Book) Team(name string) *Entry {
	e, ok := b.teams[name]
	if !ok {
		e = &Entry{}
		b.teams[name] = e
	}
	return e
}

// Take returns the entries since the last call.
func (b *Book) Take() map[string]*Entry {
	out := b.teams
	b.teams = make(map[string]*Entry, len(out))
	return out
}
