package router

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/laburnumring/laburnumring/internal/label"
	"github.com/laburnumring/laburnumring/pkg/clock"
	"github.com/laburnumring/laburnumring/pkg/outcome"
	"github.com/laburnumring/laburnumring/pkg/site"
)

// metrics are the router's counters and histograms. Label values come only from the configuration.
type metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	// suspects is the number of request fingerprints that the router knows from crashes of backend servers.
	suspects prometheus.Gauge
	// violations counts invariant violations.
	violations prometheus.Counter
	duration   *prometheus.HistogramVec
	// teams and services limit the label values of requests and duration to configured names.
	teams    *label.Allowlist
	services *label.Allowlist
}

// durationBuckets returns the histogram buckets of request durations, in seconds.
func durationBuckets() []float64 {
	return prometheus.ExponentialBuckets(0.001, 2, 16)
}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "laburnumring_router_requests_total",
			Help: "Callers' requests that ended, by service, team and outcome.",
		}, []string{"service", "team", "outcome"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "laburnumring_router_request_seconds",
			Help:    "Time from a request's arrival to its end, by service and team.",
			Buckets: durationBuckets(),
		}, []string{"service", "team"}),
	}
	m.violations = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "laburnumring_router_invariants_broken_total",
		Help: "Invariants that the process found broken.",
	})
	m.teams = label.New("team", m.requests, m.duration)
	m.services = label.New("service", m.requests, m.duration)
	m.suspects = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "laburnumring_router_suspects",
		Help: "Requests known to have run while a backend server died.",
	})
	m.registry.MustRegister(m.suspects, m.violations, m.requests, m.duration)
	return m
}

// setLabelValues allows the names in the configuration in force as label values.
func (m *metrics) setLabelValues(s *site.Site) {
	var teams, services []string
	for _, t := range s.Teams() {
		teams = append(teams, t.Name())
	}
	for _, v := range s.Services() {
		services = append(services, v.Name())
	}
	m.teams.Set(teams)
	m.services.Set(services)
}

func (m *metrics) observeRequest(service, team string, o outcome.Outcome, d clock.Millis) {
	if !o.Valid() {
		o = outcome.Unknown
	}
	service, team = m.services.Value(service), m.teams.Value(team)
	m.requests.WithLabelValues(service, team, string(o)).Inc()
	m.duration.WithLabelValues(service, team).Observe(d.Duration().Seconds())
}
