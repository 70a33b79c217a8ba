// Package refusal counts and logs connections and requests that a process refuses for security's sake.
package refusal

import (
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"github.com/laburnumring/laburnumring/internal/event"
)

// Reason is why something was refused; it is a metric's label.
type Reason string

// The reasons.
const (
	// Handshake is a connection whose TLS handshake failed, for want of a certificate or of another kind.
	Handshake Reason = "handshake"
	// Role is a call that the caller's certificate does not allow.
	Role Reason = "role"
	// Header is a request whose header was too slow, too long or malformed.
	Header Reason = "header"
	// BodySlow is a request whose body did not arrive in time.
	BodySlow Reason = "body_slow"
	// BodyTooLong is a request with a body above the limit.
	BodyTooLong Reason = "body_too_long"
	// Credentials is a caller whose team is not proved.
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
	// logsPerSecond and logBurst bound the log when refusals flood; the metric counts all.
	logsPerSecond = 5
	logBurst      = 20
)

// Recorder counts and logs refusals. It is safe for concurrent use; a nil Recorder does nothing.
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

// Refuse counts one refusal of the other side at remote, and logs it unless there were many just before.
func (r *Recorder) Refuse(reason Reason, remote string, err error) {
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
