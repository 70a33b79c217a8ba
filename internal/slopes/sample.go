package slopes

import (
	"context"
	"fmt"
	"net/http"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/laburnumring/laburnumring/internal/fleet"
)

// target is one process to measure and where its metrics are.
type target struct {
	process *fleet.Process
	metrics string
}

// sample is what a process has used up to one moment.
type sample struct {
	usage fleet.Usage
	// peer and platform are bytes of control in both directions.
	peer     float64
	platform float64
}

// rates are what a process used in a period.
type rates struct {
	// cpu is the share of one core, in percent.
	cpu float64
	// resident is the memory held at the end, in MB.
	resident float64
	// peer and platform are bytes of control a second in both directions.
	peer     float64
	platform float64
}

const bytesPerMB = 1e6

func (t target) sample(ctx context.Context) (sample, error) {
	usage, err := t.process.Usage()
	if err != nil {
		return sample{}, err
	}
	families, err := scrape(ctx, t.metrics)
	if err != nil {
		return sample{}, err
	}
	s := sample{usage: usage}
	for _, m := range families["laburnumring_control_bytes_total"].GetMetric() {
		if label(m, "kind") == "peer" {
			s.peer += m.GetCounter().GetValue()
		} else {
			s.platform += m.GetCounter().GetValue()
		}
	}
	return s, nil
}

func scrape(ctx context.Context, url string) (map[string]*dto.MetricFamily, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	p := expfmt.NewTextParser(model.UTF8Validation)
	families, err := p.TextToMetricFamilies(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("read metrics of %s: %w", url, err)
	}
	return families, nil
}

func label(m *dto.Metric, name string) string {
	for _, l := range m.GetLabel() {
		if l.GetName() == name {
			return l.GetValue()
		}
	}
	return ""
}

// between returns the rates from a to b, which were taken elapsed apart.
func between(a, b sample, elapsed time.Duration) rates {
	s := elapsed.Seconds()
	return rates{
		cpu:      100 * (b.usage.CPU - a.usage.CPU).Seconds() / s,
		resident: float64(b.usage.Resident) / bytesPerMB,
		peer:     (b.peer - a.peer) / s,
		platform: (b.platform - a.platform) / s,
	}
}

// mean returns the mean of several processes' rates.
func mean(all []rates) rates {
	var out rates
	for _, r := range all {
		out.cpu += r.cpu
		out.resident += r.resident
		out.peer += r.peer
		out.platform += r.platform
	}
	n := float64(len(all))
	return rates{cpu: out.cpu / n, resident: out.resident / n, peer: out.peer / n, platform: out.platform / n}
}
