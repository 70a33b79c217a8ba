// Package capacity projects the cost of a router and of an agent at the fleet size to design for, from measured slopes:
// the cost per unit of one quantity, such as teams or requests per second.
package capacity

import (
	"fmt"
	"io"

	"github.com/laburnumring/laburnumring/internal/slopes"
)

// Size describes the size of a fleet.
type Size struct {
	// Routers and Agents are the numbers of routers and agents. An agent runs next to each backend server.
	Routers float64
	Agents  float64
	// Teams is the number of teams, and Backlogged the number of those that have requests waiting.
	Teams      float64
	Backlogged float64
	// Services is the number of services. Each has an equal share of the agents.
	Services float64
	// Degree is the number of agents of each service that a router keeps connections to.
	Degree float64
	// RequestsPerS and TokensPerS are the peak rates of the whole fleet.
	RequestsPerS float64
	TokensPerS   float64
	// KeyedShare is the fraction of requests that carry an idempotency key.
	KeyedShare float64
	// Window is the largest number of waiting requests of one team and service for which a router has tickets out.
	Window float64
	// ChangesPerDay is the number of configurations published per day.
	ChangesPerDay float64
}

// Design returns the fleet size to design for.
func Design() Size {
	return Size{
		Routers: 380, Agents: 760, Teams: 520, Backlogged: 52, Services: 6, Degree: 16,
		RequestsPerS: 6700, TokensPerS: 2.8e6, KeyedShare: 0.02, Window: 64, ChangesPerDay: 1700,
	}
}

// Budget is the cost of one node, or its limit: CPU time in percent of a core, resident memory in MB, and control
// traffic in bytes per second.
type Budget struct {
	CPUPercent float64
	MB         float64
	BytesPerS  float64
}

// ControlBudget returns the required limit of the control cost of each node.
func ControlBudget() Budget {
	return Budget{CPUPercent: 1.3, MB: 64, BytesPerS: 27_000}
}

// Row is the cost of one mechanism on one node of a role.
type Row struct {
	// Role is "router" or "agent", and Mechanism is what causes the cost.
	Role      string
	Mechanism string
	// Axis is the quantity that was varied in the measurement, and X the value projected to.
	Axis string
	X    float64
	// Data is set if the cost comes from carrying requests and answers, not from control.
	Data bool
	// Cost is the additional cost of X over none of the quantity.
	Cost Budget
	// R2 is the lowest coefficient of determination among the fits that the row uses.
	R2 float64
}

// mechanismSize is a cause of cost and its size on a measured axis.
type mechanismSize struct {
	role      string
	mechanism string
	axis      string
	x         float64
	data      bool
}

const secondsPerDay = 86_400

// mechanisms returns the mechanisms of both roles at size s.
func (s Size) mechanisms() []mechanismSize {
	perRouter := s.RequestsPerS / s.Routers
	perAgent := s.RequestsPerS / s.Agents
	links := s.Services * s.Degree
	return []mechanismSize{
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

// fitKey identifies a fit.
type fitKey struct {
	axis string
	role string
	cost string
}

// Rows returns a row for the base cost of each role and one for each mechanism at size s. It fails if a mechanism has
// no measured slope.
func Rows(measured []slopes.Slope, s Size) ([]Row, error) {
	fits := make(map[fitKey]slopes.Fit)
	for _, m := range measured {
		fits[fitKey{m.Axis, m.Role, m.Cost}] = m.Fit
	}
	rows := []Row{baseRow(fits, "router", "servers_idle"), baseRow(fits, "agent", "routers_idle")}
	for _, q := range s.mechanisms() {
		if _, ok := fits[fitKey{q.axis, q.role, "resident_mb"}]; !ok {
			return nil, fmt.Errorf("no measured slope on axis %s for role %s", q.axis, q.role)
		}
		rows = append(rows, slopeRow(fits, q))
	}
	return rows, nil
}

// baseRow returns the cost of a role when the quantity on the axis is zero.
func baseRow(fits map[fitKey]slopes.Fit, role, axis string) Row {
	get := func(cost string) float64 { return max(0, fits[fitKey{axis, role, cost}].Base) }
	return Row{
		Role: role, Mechanism: "base, log and VM list", Axis: axis, R2: 1,
		Cost: Budget{
			CPUPercent: get("cpu_percent_of_core"),
			MB:         get("resident_mb"),
			BytesPerS:  get("peer_bytes_per_s") + get("platform_bytes_per_s"),
		},
	}
}

// slopeRow returns the additional cost of a mechanism. Negative slopes count as zero.
func slopeRow(fits map[fitKey]slopes.Fit, q mechanismSize) Row {
	r2 := 1.0
	get := func(cost string) float64 {
		f := fits[fitKey{q.axis, q.role, cost}]
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

// Control returns the sum of a role's rows: CPU time of the control rows only, memory and control traffic of all rows.
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

// Data returns the CPU time, in percent of a core, of a role's rows that carry requests and answers.
func Data(rows []Row, role string) float64 {
	sum := 0.0
	for _, r := range rows {
		if r.Role == role && r.Data {
			sum += r.Cost.CPUPercent
		}
	}
	return sum
}

// Write writes the rows and their sums to w as one Markdown table per role.
func Write(w io.Writer, rows []Row) error {
	t := &errWriter{w: w}
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

// errWriter formats to w until the first error, which it keeps.
type errWriter struct {
	w   io.Writer
	err error
}

func (p *errWriter) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}
