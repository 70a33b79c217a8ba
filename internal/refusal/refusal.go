// Package refusal counts and logs the connections and requests that a process refuses for security reasons.
package refusal

import (
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"github.com/laburnumring/laburnumring/internal/event"
)

// Reason is the reason of a refusal. It is the value of a metric's label.
type Reason string

// The reasons of refusals.
const (
	// Handshake means that a TLS handshake failed, for lack of a certificate or for another reason.
	Handshake Reason = "handshake"
	// Role means that the caller's certificate does not allow the call.
	Role Reason = "role"
	// Header means that a request's header was too slow, too long or malformed.
	Header Reason = "header"
	// BodySlow means that a request's body did not arrive in time.
	BodySlow Reason = "body_slow"
	// BodyTooLong means that a request's body was longer than the limit.
	BodyTooLong Reason = "body_too_long"
	// Credentials means that the caller did not prove its team.
	Credentials Reason = "credentials"
)

func reasons() []Reason {
	return []Reason{Handshake, Role, Header, BodySlow, BodyTooLong, Credentials}
}

// event returns the log event of a reason.
func (r Reason) event() event.Event {
	switch r {
	case Handshake, Role:
		return event.ConnectionUntrusted
	case Credentials:
		return event.CallerUnauthenticated
	default:
		return event.InvalidRequestRefused
	}
}

const (
	// logsPerSecond and logBurst limit the log during a flood of refusals. The metric counts all of them.
	logsPerSecond = 5
	logBurst      = 20
)

// Recorder counts and logs refusals. It is safe for concurrent use. A nil Recorder records nothing.
type Recorder struct {
	logger  *event.Logger
	limit   *rate.Limiter
	refused *prometheus.CounterVec
}

var _ prometheus.Collector = (*Recorder)(nil)

// New returns a recorder that logs to logger.
func New(logger *event.Logger) *Recorder {
	r := &Recorder{
		logger: logger,
		limit:  rate.NewLimiter(logsPerSecond, logBurst),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "laburnumring_refused_total",
			Help: "Connections and requests refused for security's sake, by reason.",
		}, []string{"reason"}),
	}
	for _, reason := range reasons() {
		r.refused.WithLabelValues(string(reason))
	}
	return r
}

// Record counts a refusal of the peer at address remote. It logs the refusal too, unless the limit of the log is
// reached.
func (r *Recorder) Record(reason Reason, remote string, err error) {
	if r == nil {
		return
	}
	r.refused.WithLabelValues(string(reason)).Inc()
	if r.limit.Allow() {
		r.logger.Log(reason.event(), "reason", string(reason), "remote", remote, "error", err)
	}
}

// Describe implements prometheus.Collector.
func (r *Recorder) Describe(ch chan<- *prometheus.Desc) { r.refused.Describe(ch) }

// Collect implements prometheus.Collector.
func (r *Recorder) Collect(ch chan<- prometheus.Metric) { r.refused.Collect(ch) }
