// Package margin finds in the routers' logs how close each team came to getting less than half of the tokens it was
// entitled to.
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

// Span is one team's share over Window seconds.
type Span struct {
	Team string `json:"team"`
	// From is the first second.
	From time.Time `json:"from"`
	// Demand is the team's demand and Started its started requests, in tokens. Best is the sum over the seconds of the
	// most that any team started in the second, and Entitled the sum of the lesser of demand and that.
	Demand   int64 `json:"asked"`
	Started  int64 `json:"begun"`
	Best     int64 `json:"best"`
	Entitled int64 `json:"owed"`
	// Margin is the ratio of Started to Entitled; less than a half is unfair.
	Margin float64 `json:"margin"`
	// UnservedSeconds is the number of seconds in which a request of the team was refused or late.
	UnservedSeconds int `json:"unserved_seconds"`
	// OverShare, RouterBusy, EnginesFull and Other are refused tokens by cause.
	OverShare   int64 `json:"over_share"`
	RouterBusy  int64 `json:"router_busy"`
	EnginesFull int64 `json:"engines_full"`
	Other       int64 `json:"other"`
}

// Second is one team's tokens in one second.
type Second struct {
	// Demand is the team's demand and Started its started requests, in tokens.
	Demand  int64
	Started int64
	// OverShare, RouterBusy, EnginesFull and Other are refused tokens by cause.
	OverShare   int64
	RouterBusy  int64
	EnginesFull int64
	Other       int64
	// Unserved is set if a request was refused or late.
	Unserved bool
}

// Ledger holds the teams' tokens in each second, summed over all routers.
type Ledger struct {
	// teams holds each team's seconds by Unix time, bestStarted the most tokens that any team started in a second.
	teams       map[string]map[int64]Second
	bestStarted map[int64]int64
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{teams: make(map[string]map[int64]Second), bestStarted: make(map[int64]int64)}
}

// Read adds the log lines with the teams' tokens and skips all others.
func (l *Ledger) Read(lines []explain.Line) {
	eventField := fmt.Sprintf("event=%d ", event.TeamShare.ID())
	for _, line := range lines {
		if !strings.Contains(line.Text, eventField) {
			continue
		}
		f := line.Fields()
		// A line is written at the end of its second.
		l.Add(f["team"], line.Time.Unix()-1, Second{
			Demand: parseCount(f["asked"]), Started: parseCount(f["begun"]), OverShare: parseCount(f["over_share"]),
			RouterBusy: parseCount(f["router_busy"]), EnginesFull: parseCount(f["engines_full"]), Other: parseCount(f["other"]),
			Unserved: parseCount(f["unserved"]) > 0,
		})
	}
}

// parseCount parses a field; a missing one counts as 0, as in lines of other versions.
func parseCount(s string) int64 {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// Add adds a router's tokens for a team in the second with the Unix time at.
func (l *Ledger) Add(team string, at int64, s Second) {
	seconds, ok := l.teams[team]
	if !ok {
		seconds = make(map[int64]Second)
		l.teams[team] = seconds
	}
	sum := seconds[at].plus(s)
	seconds[at] = sum
	l.bestStarted[at] = max(l.bestStarted[at], sum.Started)
}

func (s Second) plus(o Second) Second {
	return Second{
		Demand: s.Demand + o.Demand, Started: s.Started + o.Started, OverShare: s.OverShare + o.OverShare,
		RouterBusy: s.RouterBusy + o.RouterBusy, EnginesFull: s.EnginesFull + o.EnginesFull, Other: s.Other + o.Other,
		Unserved: s.Unserved || o.Unserved,
	}
}

// Worst returns each team's span with the lowest margin, in ascending order of the margin. Only spans count in which a
// request of the team was refused or late in every second.
func (l *Ledger) Worst() []Span {
	var out []Span
	for _, team := range slices.Sorted(maps.Keys(l.teams)) {
		worst := Span{Margin: math.Inf(1)}
		for from := range l.teams[team] {
			s := l.span(team, from)
			unserved := s.UnservedSeconds == Window && s.Entitled > 0
			if unserved && (s.Margin < worst.Margin || s.Margin == worst.Margin && s.From.Before(worst.From)) {
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

// span returns a team's share in the window that starts at the Unix time from.
func (l *Ledger) span(team string, from int64) Span {
	out := Span{Team: team, From: time.Unix(from, 0).UTC()}
	for at := from; at < from+Window; at++ {
		s := l.teams[team][at]
		out.Demand += s.Demand
		out.Started += s.Started
		out.Best += l.bestStarted[at]
		out.Entitled += min(s.Demand, l.bestStarted[at])
		out.OverShare += s.OverShare
		out.RouterBusy += s.RouterBusy
		out.EnginesFull += s.EnginesFull
		out.Other += s.Other
		if s.Unserved {
			out.UnservedSeconds++
		}
	}
	if out.Entitled > 0 {
		out.Margin = float64(out.Started) / float64(out.Entitled)
	}
	return out
}
