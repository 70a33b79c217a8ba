// Package margin tells from the routers' logs how near each team came to getting less than half of what it was owed.
package margin

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/explain"
)

// Window is the time over which shares are compared, in seconds.
const Window = 6

// Span is one team's share over some seconds.
type Span struct {
	Team string `json:"team"`
	// From is the first second.
	From time.Time `json:"from"`
	// Asked and Begun are the team's tokens, Best the sum of what the best team of each second began, and Owed the sum of
	// the less of Best and Asked, second by second.
	Asked int64 `json:"asked"`
	Begun int64 `json:"begun"`
	Best  int64 `json:"best"`
	Owed  int64 `json:"owed"`
	// Margin is Begun by Owed; under a half is unfair.
	Margin float64 `json:"margin"`
	// Seconds is in how many of the seconds a request of the team was refused or late.
	Seconds int `json:"unserved_seconds"`
	// OverShare to Other are refused tokens by cause.
	OverShare   int64 `json:"over_share"`
	RouterBusy  int64 `json:"router_busy"`
	EnginesFull int64 `json:"engines_full"`
	Other       int64 `json:"other"`
}

// Second is one team's tokens in one second.
type Second struct {
	Asked int64
	Begun int64
	// OverShare, RouterBusy, EnginesFull and Other are refused tokens by cause.
	OverShare   int64
	RouterBusy  int64
	EnginesFull int64
	Other       int64
	// Unserved says that a request was refused or late.
	Unserved bool
}

// Ledger holds what teams asked for and got in each second, over all routers.
type Ledger struct {
	teams map[string]map[int64]Second
	best  map[int64]int64
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{teams: make(map[string]map[int64]Second), best: make(map[int64]int64)}
}

// Read adds the lines that name teams' tokens.
func (l *Ledger) Read(lines []explain.Line) {
	mark := fmt.Sprintf("event=%d ", event.TeamShare.ID())
	for _, line := range lines {
		if !strings.Contains(line.Text, mark) {
			continue
		}
		f := line.Fields()
		// A line is written at the end of its second.
		l.Add(f["team"], line.Time.Unix()-1, Second{
			Asked: number(f["asked"]), Begun: number(f["begun"]), OverShare: number(f["over_share"]),
			RouterBusy: number(f["router_busy"]), EnginesFull: number(f["engines_full"]), Other: number(f["other"]),
			Unserved: number(f["unserved"]) > 0,
		})
	}
}

// number reads a field; one that is missing counts as 0, as in lines of other versions.
func number(s string) int64 {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// Add adds what one router did for a team in a second.
func (l *Ledger) Add(team string, at int64, s Second) {
	seconds, ok := l.teams[team]
	if !ok {
		seconds = make(map[int64]Second)
		l.teams[team] = seconds
	}
	sum := seconds[at].plus(s)
	seconds[at] = sum
	l.best[at] = max(l.best[at], sum.Begun)
}

func (s Second) plus(o Second) Second {
	return Second{
		Asked: s.Asked + o.Asked, Begun: s.Begun + o.Begun, OverShare: s.OverShare + o.OverShare,
		RouterBusy: s.RouterBusy + o.RouterBusy, EnginesFull: s.EnginesFull + o.EnginesFull, Other: s.Other + o.Other,
		Unserved: s.Unserved || o.Unserved,
	}
}

// Worst returns each team's span with the least margin among those in all of whose seconds a request was refused or
// late, the least first.
func (l *Ledger) Worst() []Span {
	var out []Span
	for _, team := range slices.Sorted(maps.Keys(l.teams)) {
		worst := Span{Margin: math.Inf(1)}
		for from := range l.teams[team] {
			s := l.span(team, from)
			waited := s.Seconds == Window && s.Owed > 0
			if waited && (s.Margin < worst.Margin || s.Margin == worst.Margin && s.From.Before(worst.From)) {
				worst = s
			}
		}
		if worst.Team != "" {
			out = append(out, worst)
		}
	}
	slices.SortStableFunc(out, func(a, b Span) int { return cmp.Compare(a.Margin, b.Margin) })
	return out
}

// span returns a team's share in the window that begins at a Unix second.
func (l *Ledger) span(team string, from int64) Span {
	out := Span{Team: team, From: time.Unix(from, 0).UTC()}
	for at := from; at < from+Window; at++ {
		s := l.teams[team][at]
		out.Asked += s.Asked
		out.Begun += s.Begun
		out.Best += l.best[at]
		out.Owed += min(s.Asked, l.best[at])
		out.OverShare += s.OverShare
		out.RouterBusy += s.RouterBusy
		out.EnginesFull += s.EnginesFull
		out.Other += s.Other
		if s.Unserved {
			out.Seconds++
		}
	}
	if out.Owed > 0 {
		out.Margin = float64(out.Begun) / float64(out.Owed)
	}
	return out
}
