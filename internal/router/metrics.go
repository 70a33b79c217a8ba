package router

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/laburnumring/laburnumring/internal/label"
	"github.com/laburnumring/laburnumring/pkg/clock"
	"github.com/laburnumring/laburnumring/pkg/outcome"
	"github.com/laburnumring/laburnumring/pkg/site"
)

// metrics are the router's counters and histograms. Labels take values from the configuration only.
type metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	// suspects is how many fingerprints the router knows from servers' deaths.
	suspects prometheus.Gauge
	// violations counts broken invariants.
	violations prometheus.Counter
	duration   *prometheus.HistogramVec
	// teams and services bound the labels of requests and duration.
	teams    *label.Bound
	services *label.Bound
}

// durationBuckets are bounds of a request's time in seconds.
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

// configured takes the names that labels may have from the configuration in force.
func (m *metrics) configured(s *site.Site) {
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

func (m *metrics) ended(service, team string, o outcome.Outcome, d clock.Millis) {
	if !o.Valid() {
		o = outcome.Unknown
	}
	service, team = m.services.Value(service), m.teams.Value(team)
	m.requests.WithLabelValues(service, team, string(o)).Inc()
	m.duration.WithLabelValues(service, team).Observe(d.Duration().Seconds())
}
