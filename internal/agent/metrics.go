package agent

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/laburnumring/laburnumring/internal/label"
	"github.com/laburnumring/laburnumring/pkg/outcome"
)

// metrics are the agent's counters and histograms. Their labels take values from the configuration only.
type metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	// violations counts broken invariants.
	violations prometheus.Counter
	units      *prometheus.HistogramVec
	// teams limits the team label of requests and units to configured teams, since the names come from routers'
	// messages.
	teams *label.Allowlist
}

// unitBuckets returns the histogram buckets of a request's cost in service units.
func unitBuckets() []float64 {
	return prometheus.ExponentialBuckets(1, 4, 10)
}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "laburnumring_agent_requests_total",
			Help: "Requests that ended, by service, team and outcome.",
		}, []string{"service", "team", "outcome"}),
		units: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "laburnumring_agent_request_units",
			Help:    "Service units of requests that ended, by service and team.",
			Buckets: unitBuckets(),
		}, []string{"service", "team"}),
	}
	m.violations = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "laburnumring_agent_invariants_broken_total",
		Help: "Invariants that the process found broken.",
	})
	m.teams = label.New("team", m.requests, m.units)
	m.registry.MustRegister(m.violations, m.requests, m.units)
	return m
}

func (m *metrics) observeEnd(service, team string, o outcome.Outcome, units int64) {
	m.requests.WithLabelValues(service, team, string(o)).Inc()
	m.units.WithLabelValues(service, team).Observe(float64(units))
}
