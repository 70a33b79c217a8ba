// Package capacity works out what a router and an agent cost at the size to design for, from measured slopes.
package capacity

import (
	"fmt"
	"io"

	"github.com/laburnumring/laburnumring/internal/slopes"
)

// Size is a fleet's size.
type Size struct {
	// Routers and Agents are how many of each there are; an agent stands beside each backend server.
	Routers float64
	Agents  float64
	// Teams is how many teams there are and Backlogged how many of them have requests waiting.
	Teams      float64
	Backlogged float64
	// Services is how many services there are; each has the same share of the agents.
	Services float64
	// Degree is to how many agents of each service a router keeps connections.
	Degree float64
	// RequestsPerS and TokensPerS are the fleet's peak.
	RequestsPerS float64
	TokensPerS   float64
	// KeyedShare is the share of requests that carry an idempotency key.
	KeyedShare float64
	// Window is the most waiting requests of a team and service that have tickets out on one router.
	Window float64
	// ChangesPerDay is how many configurations are published.
	ChangesPerDay float64
}

// Design is the size to design for.
func Design() Size {
	return Size{
		Routers: 380, Agents: 760, Teams: 520, Backlogged: 52, Services: 6, Degree: 16,
		RequestsPerS: 6700, TokensPerS: 2.8e6, KeyedShare: 0.02, Window: 64, ChangesPerDay: 1700,
	}
}

// Budget is what control may cost a node.
type Budget struct {
	CPUPercent float64
	MB         float64
	BytesPerS  float64
}

// ControlBudget is the users' budget for each node.
func ControlBudget() Budget {
	return Budget{CPUPercent: 1.3, MB: 64, BytesPerS: 27_000}
}

// Row is what one mechanism costs one node of a role.
type Row struct {
	// Role is router or agent and Mechanism what causes the cost.
	Role      string
	Mechanism string
	// Axis is the measured axis and X the size on it.
	Axis string
	X    float64
	// Data says that the cost carries callers' requests and answers, and is no control.
	Data bool
	// Cost is what X costs beyond nothing of it.
	Cost Budget
	// R2 is the worst fit behind the row.
	R2 float64
}

// quantity is one mechanism's size on an axis.
type quantity struct {
	role      string
	mechanism string
	axis      string
	x         float64
	data      bool
}

const secondsPerDay = 86_400

// quantities lists the mechanisms of both roles at a size.
func (s Size) quantities() []quantity {
	perRouter := s.RequestsPerS / s.Routers
	perAgent := s.RequestsPerS / s.Agents
	links := s.Services * s.Degree
	return []quantity{
		{"router", "links to agents", "servers_idle", links, false},
		{"router", "teams", "teams", s.Teams, false},
		{"router", "waiting requests", "waiting_requests", s.Backlogged * s.Window / s.Routers, false},
		{"router", "configuration changes", "configuration_changes_per_s", s.ChangesPerDay / secondsPerDay, false},
		{"router", "requests", "plain_requests_per_s", perRouter, true},
		{"router", "keyed requests", "keyed_requests_per_s", perRouter * s.KeyedShare, true},
		{"router", "tokens", "tokens_per_s", s.TokensPerS / s.Routers, true},
		{"agent", "sessions of routers", "routers_idle", s.Routers * links / s.Agents, false},
		{"agent", "fair share at a root, all teams moving", "moving_teams", s.Teams, false},
		{"agent", "waiting requests", "waiting_requests", s.Backlogged * s.Window / s.Agents, false},
		{"agent", "configuration changes", "configuration_changes_per_s", s.ChangesPerDay / secondsPerDay, false},
		{"agent", "requests", "plain_requests_per_s", perAgent, true},
		{"agent", "keyed requests of its service", "keyed_requests_per_s", s.RequestsPerS * s.KeyedShare, true},
		{"agent", "tokens", "tokens_per_s", s.TokensPerS / s.Agents, true},
	}
}

// key finds a slope.
type key struct {
	axis string
	role string
	cost string
}

// Rows returns the base of each role and a row for each mechanism. It fails when a slope is missing.
func Rows(measured []slopes.Slope, s Size) ([]Row, error) {
	found := make(map[key]slopes.Fit)
	for _, m := range measured {
		found[key{m.Axis, m.Role, m.Cost}] = m.Fit
	}
	rows := []Row{baseRow(found, "router", "servers_idle"), baseRow(found, "agent", "routers_idle")}
	for _, q := range s.quantities() {
		if _, ok := found[key{q.axis, q.role, "resident_mb"}]; !ok {
			return nil, fmt.Errorf("no slope of axis %s for role %s", q.axis, q.role)
		}
		rows = append(rows, slopeRow(found, q))
	}
	return rows, nil
}

// baseRow is what a role costs when nothing of the axis is there.
func baseRow(found map[key]slopes.Fit, role, axis string) Row {
	get := func(cost string) float64 { return max(0, found[key{axis, role, cost}].Base) }
	return Row{
		Role: role, Mechanism: "base, log and VM list", Axis: axis, R2: 1,
		Cost: Budget{
			CPUPercent: get("cpu_percent_of_core"),
			MB:         get("resident_mb"),
			BytesPerS:  get("peer_bytes_per_s") + get("platform_bytes_per_s"),
		},
	}
}

func slopeRow(found map[key]slopes.Fit, q quantity) Row {
	r2 := 1.0
	get := func(cost string) float64 {
		f := found[key{q.axis, q.role, cost}]
		v := max(0, f.Slope) * q.x
		if v > 0 {
			r2 = min(r2, f.R2)
		}
		return v
	}
	return Row{
		Role: q.role, Mechanism: q.mechanism, Axis: q.axis, X: q.x, Data: q.data,
		Cost: Budget{
			CPUPercent: get("cpu_percent_of_core"),
			MB:         get("resident_mb"),
			BytesPerS:  get("peer_bytes_per_s") + get("platform_bytes_per_s"),
		},
		R2: r2,
	}
}

// Control adds up a role's rows: processor time of control alone, memory and control bytes of all.
func Control(rows []Row, role string) Budget {
	var sum Budget
	for _, r := range rows {
		if r.Role != role {
			continue
		}
		sum.MB += r.Cost.MB
		sum.BytesPerS += r.Cost.BytesPerS
		if !r.Data {
			sum.CPUPercent += r.Cost.CPUPercent
		}
	}
	return sum
}

// Data adds up the processor time of a role's rows that carry requests and answers.
func Data(rows []Row, role string) float64 {
	sum := 0.0
	for _, r := range rows {
		if r.Role == role && r.Data {
			sum += r.Cost.CPUPercent
		}
	}
	return sum
}

// Write prints the rows and their sums as a Markdown table.
func Write(w io.Writer, rows []Row) error {
	t := &printer{w: w}
	for _, role := range []string{"router", "agent"} {
		t.printf("\n| %s: mechanism | size | kind | CPU %% of a core | MB | control bytes/s | worst R² |\n", role)
		t.printf("| --- | --- | --- | --- | --- | --- | --- |\n")
		for _, r := range rows {
			if r.Role != role {
				continue
			}
			kind := "control"
			if r.Data {
				kind = "data"
			}
			t.printf("| %s | %.2f | %s | %.2f | %.1f | %.0f | %.2f |\n",
				r.Mechanism, r.X, kind, r.Cost.CPUPercent, r.Cost.MB, r.Cost.BytesPerS, r.R2)
		}
		c, b := Control(rows, role), ControlBudget()
		t.printf("| sum of control (budget) |  |  | %.2f (%.1f) | %.1f (%.0f) | %.0f (%.0f) | |\n",
			c.CPUPercent, b.CPUPercent, c.MB, b.MB, c.BytesPerS, b.BytesPerS)
		t.printf("| requests and answers |  | data | %.1f |  |  | |\n", Data(rows, role))
	}
	return t.err
}

// printer keeps the first error of writing.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}
