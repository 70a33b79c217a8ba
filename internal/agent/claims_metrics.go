package agent

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/laburnumring/laburnumring/pkg/clock"
)

// claimMetrics measures the claims of keyed requests. Its labels take values from the configuration, and reasons.
type claimMetrics struct {
	wait     *prometheus.HistogramVec
	refusals *prometheus.CounterVec
}

// claimWaitBuckets returns the histogram buckets of the time to a claim's decision, in seconds.
func claimWaitBuckets() []float64 {
	return prometheus.ExponentialBuckets(0.004, 2, 10)
}

func newClaimMetrics(r *prometheus.Registry) *claimMetrics {
	m := &claimMetrics{
		wait: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "laburnumring_agent_claim_wait_seconds",
			Help:    "Time from a claim to its decision, by service and team.",
			Buckets: claimWaitBuckets(),
		}, []string{"service", "team"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "laburnumring_agent_claim_refusals_total",
			Help: "Claims under which nothing started, by service, team and reason.",
		}, []string{"service", "team", "reason"}),
	}
	r.MustRegister(m.wait, m.refusals)
	return m
}

func (m *claimMetrics) observeDecision(service, team string, wait clock.Millis) {
	m.wait.WithLabelValues(service, team).Observe(wait.Duration().Seconds())
}

func (m *claimMetrics) countRefusal(service, team, reason string) {
	m.refusals.WithLabelValues(service, team, reason).Inc()
}
