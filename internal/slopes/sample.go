package slopes

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/laburnumring/laburnumring/internal/fleet"
	"github.com/laburnumring/laburnumring/internal/standin/platformlog"
)

// target is one process to measure and where its metrics are.
type target struct {
	process *fleet.Process
	// metrics is a product's URL of metrics, and stats the log's URL of counts; one of them is set.
	metrics string
	stats   string
}

// sample is what a process has used up to one moment.
type sample struct {
	usage fleet.Usage
	// peer and platform are bytes of control in both directions.
	peer     float64
	platform float64
	// log counts the calls of the platform's log; zero for other processes.
	log platformlog.Stats
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
	// appends and reads are calls of the platform's log a second.
	appends float64
	reads   float64
}

const bytesPerMB = 1e6

func (t target) sample(ctx context.Context) (sample, error) {
	usage, err := t.process.Usage()
	if err != nil {
		return sample{}, err
	}
	s := sample{usage: usage}
	if t.stats != "" {
		s.log, err = readStats(ctx, t.stats)
		return s, err
	}
	families, err := scrape(ctx, t.metrics)
	if err != nil {
		return sample{}, err
	}
	for _, m := range families["laburnumring_control_bytes_total"].GetMetric() {
		if label(m, "kind") == "peer" {
			s.peer += m.GetCounter().GetValue()
		} else {
			s.platform += m.GetCounter().GetValue()
		}
	}
	return s, nil
}

// readStats reads the counts of the platform's log.
func readStats(ctx context.Context, url string) (platformlog.Stats, error) {
	var s platformlog.Stats
	body, err := get(ctx, url)
	if err != nil {
		return s, err
	}
	defer func() { _ = body.Close() }()
	return s, json.NewDecoder(body).Decode(&s)
}

func get(ctx context.Context, url string) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	return resp.Body, nil
}

func scrape(ctx context.Context, url string) (map[string]*dto.MetricFamily, error) {
	body, err := get(ctx, url)
	if err != nil {
		return nil, err
	}
	defer func() { _ = body.Close() }()
	p := expfmt.NewTextParser(model.UTF8Validation)
	families, err := p.TextToMetricFamilies(body)
	if err != nil {
		return nil, errorx.Decorate(err, "read metrics of %s", url)
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
		appends:  float64(b.log.Appends-a.log.Appends) / s,
		reads:    float64(b.log.Reads-a.log.Reads) / s,
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
		out.appends += r.appends
		out.reads += r.reads
	}
	n := float64(len(all))
	return rates{
		cpu: out.cpu / n, resident: out.resident / n, peer: out.peer / n, platform: out.platform / n,
		appends: out.appends / n, reads: out.reads / n,
	}
}
