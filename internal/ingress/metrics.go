package ingress

import "github.com/prometheus/client_golang/prometheus"

var _ prometheus.Collector = (*Collector)(nil)

// Collector exports an account as metrics.
type Collector struct {
	account                        *Account
	bytes, limit, evicted, refused *prometheus.Desc
}

// NewCollector returns a collector of the account's metrics.
func NewCollector(a *Account) *Collector {
	desc := func(name, help string) *prometheus.Desc {
		return prometheus.NewDesc(name, help, []string{"kind"}, nil)
	}
	return &Collector{
		account: a,
		bytes:   desc("laburnumring_ingress_bytes", "Memory charged to callers, by kind."),
		limit:   desc("laburnumring_ingress_limit_bytes", "Memory that callers may consume, by kind; 0 means no limit."),
		evicted: desc("laburnumring_ingress_evicted_total", "Transfers ended early to make room for faster ones, by kind."),
		refused: desc("laburnumring_ingress_refused_total", "Charges refused for lack of memory, by kind."),
	}
}

// Describe implements prometheus.Collector.
func (c *Collector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{c.bytes, c.limit, c.evicted, c.refused} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (c *Collector) Collect(ch chan<- prometheus.Metric) {
	for _, k := range Kinds() {
		used, limit := c.account.Used(k)
		n := c.account.Counts(k)
		send := func(d *prometheus.Desc, t prometheus.ValueType, v int64) {
			ch <- prometheus.MustNewConstMetric(d, t, float64(v), k.String())
		}
		send(c.bytes, prometheus.GaugeValue, used)
		send(c.limit, prometheus.GaugeValue, limit)
		send(c.evicted, prometheus.CounterValue, n.Evicted)
		send(c.refused, prometheus.CounterValue, n.Refused)
	}
}
