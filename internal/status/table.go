package status

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Order is a sort order of the tables.
type Order string

// The orders.
const (
	// ByTrouble sorts by need of attention: teams with long waits first, and servers that are absent or busy.
	ByTrouble Order = "trouble"
	// ByService sorts teams by the service units that they have used, the most first.
	ByService Order = "service"
	// ByName sorts by names.
	ByName Order = "name"
)

// Orders returns all orders.
func Orders() []string {
	return []string{string(ByTrouble), string(ByService), string(ByName)}
}

// View selects and sorts what is shown of a summary.
type View struct {
	// Order sorts the tables of teams and servers.
	Order Order
	// Top is the most rows of each table; 0 for all.
	Top int
}

// Apply returns s with its teams and servers sorted and limited to the top rows.
func (v View) Apply(s Summary) Summary {
	s.Teams = top(sorted(s.Teams, v.teamOrder()), v.Top)
	s.Servers = top(sorted(s.Servers, v.serverOrder()), v.Top)
	return s
}

func sorted[T any](rows []T, compare func(a, b T) int) []T {
	rows = slices.Clone(rows)
	slices.SortStableFunc(rows, compare)
	return rows
}

func top[T any](rows []T, n int) []T {
	if n == 0 {
		return rows
	}
	return rows[:min(n, len(rows))]
}

func (v View) teamOrder() func(a, b Team) int {
	switch v.Order {
	case ByTrouble:
		return func(a, b Team) int {
			return cmp.Or(cmp.Compare(b.OldestWaitMs, a.OldestWaitMs), cmp.Compare(b.Backlog, a.Backlog))
		}
	case ByService:
		return func(a, b Team) int { return cmp.Compare(b.Units, a.Units) }
	default:
		return compareTeams
	}
}

func (v View) serverOrder() func(a, b Server) int {
	if v.Order != ByTrouble {
		return compareServers
	}
	return func(a, b Server) int {
		return cmp.Or(cmp.Compare(severityRank(a.State), severityRank(b.State)), cmp.Compare(b.Tickets, a.Tickets), cmp.Compare(b.Busy, a.Busy))
	}
}

// severityRank returns the position of a state in the order of need of attention, the most urgent first.
func severityRank(state string) int {
	return slices.Index([]string{Silent, Down, Waiting, Leaving, Ready}, state)
}

// Write prints a summary as tables.
func (v View) Write(w io.Writer, s Summary) error {
	shown := v.Apply(s)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	p := &printer{w: t}
	p.linef("%d routers, %d agents, %d without an answer", s.Routers, s.Agents, len(s.Missing))
	for i, version := range s.Versions {
		p.version(i == 0 && len(s.Versions) == 1, version)
	}
	p.services(s.Services)
	p.teams(shown.Teams, len(s.Teams))
	p.servers(shown.Servers, len(s.Servers))
	p.missing(s.Missing, v.Top)
	if p.err != nil {
		return p.err
	}
	return t.Flush()
}

// printer writes lines and remembers the first error.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) linef(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}

// tableHeader prints the title and the column names of a table that shows n of all rows.
func (p *printer) tableHeader(name string, n, all int, columns string) {
	p.linef("")
	if n < all {
		p.linef("%s, %d of %d", name, n, all)
	} else {
		p.linef("%s", name)
	}
	p.linef("%s", columns)
}

func (p *printer) version(everywhere bool, v Version) {
	switch {
	case v.Version == 0:
		p.linef("no configuration: %d processes: %s", v.Processes, examples(v))
	case everywhere:
		p.linef("configuration: version %d everywhere for %s", v.Version, formatMillis(v.AgeMs))
	case len(v.Examples) == 0:
		p.linef("configuration: version %d in %d processes for %s", v.Version, v.Processes, formatMillis(v.AgeMs))
	default:
		p.linef("older configuration: version %d in %d processes: %s", v.Version, v.Processes, examples(v))
	}
}

func examples(v Version) string {
	text := strings.Join(v.Examples, ", ")
	if v.Processes > len(v.Examples) {
		text += ", ..."
	}
	return text
}

func (p *printer) services(rows []Service) {
	if len(rows) == 0 {
		return
	}
	p.tableHeader("services", 0, 0, "SERVICE\tSERVERS\tREADY\tLEAVING\tABSENT\tSLOTS\tBUSY\tUSE\tBACKLOG")
	for _, s := range rows {
		p.linef("%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%d",
			s.Service, s.Servers, s.Ready, s.Leaving, s.Absent, s.Slots, s.Busy, percent(s.Busy, s.Slots), s.Backlog)
	}
}

func (p *printer) teams(rows []Team, all int) {
	if len(rows) == 0 {
		return
	}
	p.tableHeader("teams", len(rows), all, "TEAM\tSERVICE\tSERVICE_UNITS\tSHARE\tBACKLOG\tOLDEST_WAIT")
	for _, t := range rows {
		p.linef("%s\t%s\t%d\t%.1f%%\t%d\t%s", t.Team, t.Service, t.Units, 100*t.Share, t.Backlog, formatMillis(t.OldestWaitMs))
	}
}

func (p *printer) servers(rows []Server, all int) {
	if len(rows) == 0 {
		return
	}
	p.tableHeader("servers", len(rows), all, "SERVER\tSERVICE\tPLACE\tSTATE\tSLOTS\tLIMIT\tBUSY\tTICKETS")
	for _, v := range rows {
		p.linef("%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d",
			v.Server, v.Service, v.Place, v.State, v.Slots, v.Limit, v.Busy, v.Tickets)
	}
}

func (p *printer) missing(rows []Missing, n int) {
	if len(rows) == 0 {
		return
	}
	shown := top(rows, n)
	p.tableHeader("without an answer", len(shown), len(rows), "ADDRESS\tPROBLEM")
	for _, m := range shown {
		p.linef("%s\t%s", m.Address, m.Problem)
	}
}

func percent(n, total int) string {
	if total == 0 {
		return "-"
	}
	return fmt.Sprintf("%d%%", 100*n/total)
}

func formatMillis(m clock.Millis) string {
	return m.Duration().String()
}
