package direct

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/laburnumring/laburnumring/internal/account"
	"github.com/laburnumring/laburnumring/internal/gossip"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// metrics holds the router's counters, gauges and histograms.
type metrics struct {
	registry  *prometheus.Registry
	ended     *prometheus.CounterVec
	refused   *prometheus.CounterVec
	firstByte *prometheus.HistogramVec
	attempts  *prometheus.CounterVec
	// broken counts the requests that servers broke off, by whether the caller had a part of the answer.
	broken *prometheus.CounterVec
	// framings counts the answers of servers by what marks their end.
	framings *prometheus.CounterVec
	// takenUp counts the streams that callers take up again, by how their software version was found or why it was not.
	takenUp *prometheus.CounterVec
	// origins counts the streams whose origin was recorded on the platform.
	origins prometheus.Counter
	// evidenceWrites counts how often the evidence of crashes was written to the platform.
	evidenceWrites prometheus.Counter
	// tokens counts the tokens of requests to engines by team and by what became of them.
	tokens     *prometheus.CounterVec
	waiting    prometheus.Gauge
	inbound    prometheus.Gauge
	casualties prometheus.Gauge
	// quarantined is the number of prompt parts and of contents whose requests are refused.
	quarantined prometheus.Gauge
	// limited is the number of servers that have named a limit.
	limited prometheus.Gauge
	// cold is the number of servers that are cold.
	cold prometheus.Gauge
	// listAge is the age of the list of backend servers at each attempt. retained is the number of servers that are
	// missing from the list but may still get work.
	listAge  prometheus.Histogram
	retained prometheus.Gauge
	// evacuated is the number of evacuated places.
	evacuated prometheus.Gauge
}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		ended: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "laburnumring_direct_requests_ended_total",
			Help: "Requests that ended, by service, team and result.",
		}, []string{"service", "team", "result"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "laburnumring_direct_requests_refused_total", Help: "Requests refused, by service and reason.",
		}, []string{"service", "reason"}),
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "laburnumring_direct_first_seconds",
			Help:    "Time from a request's arrival to its answer or first event, by service and team.",
			Buckets: []float64{.02, .05, .1, .2, .3, .4, .6, 1, 2, 4, 8, 16},
		}, []string{"service", "team"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "laburnumring_direct_sends_total",
			Help: "Requests sent to backend servers, by service and order.",
		}, []string{"service", "order"}),
		broken: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "laburnumring_direct_broken_total",
			Help: "Requests that backend servers broke off, by service and whether their answer had begun.",
		}, []string{"service", "begun"}),
		framings: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "laburnumring_direct_answer_framings_total",
			Help: "Answers of backend servers, by service and what marks their end.",
		}, []string{"service", "framing"}),
		takenUp: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "laburnumring_direct_streams_taken_up_total",
			Help: "Streams that callers took up again, by service and how their software version was found, or why it was not.",
		}, []string{"service", "source"}),
		evidenceWrites: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "laburnumring_direct_evidence_writes_total", Help: "Records of requests that crash backend servers, written to the platform.",
		}),
		origins: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "laburnumring_direct_stream_origins_total", Help: "Streams whose software version was recorded on the platform.",
		}),
		tokens: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "laburnumring_direct_team_tokens_total",
			Help: "Tokens of requests to engines, by team and what became of them.",
		}, []string{"team", "what"}),
		waiting: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "laburnumring_direct_waiting", Help: "Requests that wait for a backend server.",
		}),
		inbound: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "laburnumring_direct_in_progress", Help: "Requests that have not been answered.",
		}),
		casualties: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "laburnumring_direct_casualties", Help: "Requests broken off by servers that count as evidence of what crashed these.",
		}),
		quarantined: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "laburnumring_direct_quarantined", Help: "Prompt parts and contents whose requests are refused because they crash servers.",
		}),
		limited: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "laburnumring_direct_limited_servers", Help: "Backend servers that take only so many requests a second.",
		}),
		cold: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "laburnumring_direct_cold_servers", Help: "Backend servers that have just started and take few requests.",
		}),
		listAge: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "laburnumring_direct_list_age_seconds",
			Help:    "Time since the list of backend servers was known to be the newest, at each send.",
			Buckets: []float64{.1, .3, .7, 1, 1.3, 1.6, 2, 3, 5, 10, 30},
		}),
		evacuated: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "laburnumring_direct_evacuated_places", Help: "Places to whose backend servers nothing may be sent.",
		}),
		retained: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "laburnumring_direct_servers_kept",
			Help: "Backend servers that may get work though the newest list lacks them.",
		}),
	}
	m.registry.MustRegister(m.ended, m.refused, m.firstByte, m.attempts, m.broken, m.framings, m.takenUp, m.origins, m.evidenceWrites, m.tokens, m.waiting, m.inbound, m.casualties, m.quarantined, m.limited, m.cold, m.listAge,
		m.retained, m.evacuated)
	return m
}

// peerCollectors returns the metrics of the messages between routers.
func peerCollectors(x *gossip.Exchange) []prometheus.Collector {
	counter := func(name, help string, value func(gossip.Stats) int64) prometheus.Collector {
		o := prometheus.CounterOpts{Name: name, Help: help}
		return prometheus.NewCounterFunc(o, func() float64 { return float64(value(x.Stats())) })
	}
	return []prometheus.Collector{
		counter("laburnumring_direct_peer_sent_bytes_total", "Bytes of messages sent to other routers.",
			func(s gossip.Stats) int64 { return s.SentBytes }),
		counter("laburnumring_direct_peer_crossed_bytes_total", "Bytes of messages sent to routers in other data centres.",
			func(s gossip.Stats) int64 { return s.CrossedBytes }),
		counter("laburnumring_direct_peer_forwarded_total", "Messages forwarded for routers in other data centres.",
			func(s gossip.Stats) int64 { return s.Forwarded }),
	}
}

func (m *metrics) setGauges(waiting int, inbound int64, casualties int) {
	m.waiting.Set(float64(waiting))
	m.inbound.Set(float64(inbound))
	m.casualties.Set(float64(casualties))
}

func (m *metrics) observeFirstByte(service, team string, took clock.Millis) {
	m.firstByte.WithLabelValues(service, team).Observe(took.Duration().Seconds())
}

// addUsage counts a team's usage since the last call.
func (m *metrics) addUsage(team string, e *account.Entry) {
	for what, n := range map[string]int64{
		"asked": e.Demand, "returned": e.Retried, "sent": e.Sent, "undone": e.Reverted, "begun": e.Started,
		"refused_over_share": e.Refused[account.OverShare], "refused_router_busy": e.Refused[account.RouterBusy],
		"refused_engines_full": e.Refused[account.EnginesFull], "refused_other": e.Refused[account.Other],
	} {
		m.tokens.WithLabelValues(team, what).Add(float64(n))
	}
}

// Metrics returns the handler that serves the router's metrics.
func (r *Router) Metrics() http.Handler {
	return promhttp.HandlerFor(r.metrics.registry, promhttp.HandlerOpts{})
}
