package agent

import (
	"cmp"
	"encoding/json"
	"maps"
	"net/http"
	"slices"

	"github.com/laburnumring/laburnumring/internal/status"
)

// recordConfiguration updates what the status and the metrics take from the configuration. a.mu must be held.
func (a *Agent) recordConfiguration() {
	a.configuredAt = a.o.Clock.Now()
	teams := a.board.Site().Teams()
	names := make([]string, 0, len(teams))
	for _, t := range teams {
		names = append(names, t.Name())
	}
	a.metrics.teams.Set(names)
	maps.DeleteFunc(a.servedUnits, func(name string, _ int64) bool { return a.metrics.teams.Value(name) != name })
}

// serveStatus answers with the agent's status report.
func (a *Agent) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(a.report())
}

// report returns the agent's present status.
func (a *Agent) report() status.Report {
	now := a.o.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	out := status.Report{
		Role: status.AgentRole, Name: a.o.Server.Name(), Incarnation: a.o.Incarnation, State: a.state(),
		Version: a.board.Version(), Teams: a.teams(),
	}
	if out.Version > 0 {
		out.AgeMs = now - a.configuredAt
	}
	out.Servers = []status.Server{{
		Server: a.o.Server.Name(), Service: a.o.Server.Service(), Place: a.o.Server.Place(), State: out.State,
		Slots: a.o.Server.Slots(), Limit: a.admission.Limit(), Busy: a.admission.InUse(), Tickets: a.admission.Waiting(),
	}}
	return out
}

// state returns the agent's state as a status report names it. a.mu must be held.
func (a *Agent) state() string {
	switch {
	case a.admission.Draining():
		return status.Leaving
	case !a.serverUp:
		return status.Down
	default:
		return status.Ready
	}
}

// teams returns the service units of requests that ended, sorted by team. a.mu must be held.
func (a *Agent) teams() []status.Team {
	out := make([]status.Team, 0, len(a.servedUnits))
	for name, units := range a.servedUnits {
		out = append(out, status.Team{Team: name, Service: a.o.Server.Service(), Units: units})
	}
	slices.SortFunc(out, func(x, y status.Team) int { return cmp.Compare(x.Team, y.Team) })
	return out
}
