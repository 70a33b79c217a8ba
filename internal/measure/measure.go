// Package measure runs the product's processes under load with each policy and computes the fairness gap,
// the utilisation and the control traffic.
package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"github.com/laburnumring/laburnumring"
)

// Options are the settings of a Measurement.
type Options struct {
	// Bin is the directory with the product and Dir one for settings, logs and series.
	Bin string
	Dir string
	// Sites, Scenarios and Policies say what to run; scenarios and sites by name.
	Sites     []Site
	Scenarios []string
	Policies  []laburnumring.Policy
	// Length is the length of one run's load.
	Length time.Duration
	// Seed fixes the arrivals.
	Seed uint64
	// AgentSettings are further lines of the agents' settings files.
	AgentSettings string
	// Ports are the ports to use.
	Ports *Ports
}

// Measurement runs scenarios with each policy in turn, all sites at once.
type Measurement struct {
	o Options

	mu  sync.Mutex
	out *json.Encoder
}

// New returns a measurement that writes one JSON object a line to w.
func New(o Options, w io.Writer) *Measurement {
	return &Measurement{o: o, out: json.NewEncoder(w)}
}

// Run runs everything.
func (m *Measurement) Run(ctx context.Context) error {
	errs := make([]error, len(m.o.Sites))
	var wg sync.WaitGroup
	for i, s := range m.o.Sites {
		wg.Go(func() { errs[i] = m.site(ctx, s) })
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return ctx.Err()
}

func (m *Measurement) site(ctx context.Context, s Site) error {
	for _, name := range m.o.Scenarios {
		for _, sc := range Scenarios(m.o.Length) {
			if sc.Name != name {
				continue
			}
			for _, p := range m.o.Policies {
				if err := m.one(ctx, s, sc, p); err != nil {
					return errorx.Decorate(err, "%s, %s, %s", s.Name(), sc.Name, p)
				}
			}
		}
	}
	return nil
}

// one runs one scenario with one policy.
func (m *Measurement) one(ctx context.Context, s Site, sc Scenario, p laburnumring.Policy) error {
	dir := filepath.Join(m.o.Dir, s.Name(), sc.Name, string(p))
	truth := NewTruth(s)
	c, err := StartCluster(ctx, m.o.Ports, ClusterOptions{
		Site: s, Policy: p, Bin: m.o.Bin, Dir: dir, Truth: truth, AgentSettings: m.o.AgentSettings,
	})
	if err != nil {
		return err
	}
	defer c.Stop()
	r, err := m.drive(ctx, c, truth, s, sc)
	if err != nil {
		return err
	}
	r.Scenario = s.Name() + "/" + sc.Name
	r.Policy = p
	if err := truth.writeSeries(s, filepath.Join(dir, "series.json")); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.out.Encode(r)
}

// drive puts the load on a cluster and returns the figures.
func (m *Measurement) drive(ctx context.Context, c *Cluster, truth *Truth, s Site, sc Scenario) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, m.o.Length)
	defer cancel()
	before := c.controlBytes()
	l := newLoad(c, truth)
	start := time.Now()
	truth.Begin(start)
	var wg sync.WaitGroup
	wg.Go(func() { l.run(ctx, start, Arrivals(sc.Traffic(s), m.o.Length, m.o.Seed)) })
	if sc.Unseen != nil {
		wg.Go(func() { l.unseen(ctx, start, sc.Unseen) })
	}
	var faultErr error
	if sc.Faults != nil {
		wg.Go(func() { faultErr = inject(ctx, c, start, sc.Faults(s)) })
	}
	observe(ctx, truth)
	after := c.controlBytes()
	elapsed := time.Since(start)
	wg.Wait()
	if truth.first == 0 {
		return Result{}, &idleError{Waiting: len(truth.requests)}
	}
	r := truth.result(s)
	r.ControlBytes = ByRole{
		Router: rates(before, after, c.routerNodes, elapsed),
		Agent:  rates(before, after, c.agentNodes, elapsed),
	}
	return r, faultErr
}

// idleError reports a run in which no request reached an engine.
type idleError struct {
	// Waiting is how many requests were sent.
	Waiting int
}

// Error implements error.
func (e *idleError) Error() string {
	return fmt.Sprintf("none of %d requests reached an engine", e.Waiting)
}

func inject(ctx context.Context, c *Cluster, start time.Time, faults []Fault) error {
	for _, f := range faults {
		if !sleepUntil(ctx, start.Add(f.At)) {
			return nil
		}
		if err := f.Do(c); err != nil {
			return err
		}
	}
	return nil
}

// observe samples the truth until ctx ends.
func observe(ctx context.Context, truth *Truth) {
	t := time.NewTicker(samplePeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			truth.Sample(now)
		}
	}
}

// controlBytes reads each node's counted control bytes, by address.
func (c *Cluster) controlBytes() map[string]float64 {
	out := make(map[string]float64)
	for _, nodes := range [][]string{c.routerNodes, c.agentNodes} {
		for _, address := range nodes {
			out[address] = readControlBytes(address)
		}
	}
	return out
}

// readControlBytes returns a process's control bytes, in and out; 0 when it does not answer.
func readControlBytes(address string) float64 {
	resp, err := http.Get("http://" + address + "/metrics")
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	if err != nil {
		return 0
	}
	sum := 0.0
	for _, metric := range families["laburnumring_control_bytes_total"].GetMetric() {
		sum += metric.GetCounter().GetValue()
	}
	return sum
}

// rates returns the nodes' control traffic. A node that restarted counts from its new start.
func rates(before, after map[string]float64, nodes []string, elapsed time.Duration) Rates {
	var r Rates
	for _, n := range nodes {
		bytes := after[n] - before[n]
		if bytes < 0 {
			bytes = after[n]
		}
		rate := bytes / elapsed.Seconds()
		r.Largest = max(r.Largest, round(rate))
		r.Mean += rate / float64(len(nodes))
	}
	r.Mean = round(r.Mean)
	return r
}

// Series is what the plots are drawn from.
type Series struct {
	// AtMs is the time of each point since the start of the load.
	AtMs []int64 `json:"at_ms"`
	// Gap is the spread of weighted service among backlogged teams over the last second.
	Gap []float64 `json:"gap"`
	// Utilisation is the share of busy slots.
	Utilisation []float64 `json:"utilisation"`
	// TokenMs is the mean time between two tokens of a request over the last second, in milliseconds.
	TokenMs []float64 `json:"token_ms"`
	// Teams holds each team's weighted service and waiting requests.
	Teams []TeamSeries `json:"teams"`
}

// TeamSeries is one team's course.
type TeamSeries struct {
	// Team is the team's name.
	Team string `json:"team"`
	// Service is the weighted service since the start.
	Service []float64 `json:"service"`
	// Waiting is how many requests wait.
	Waiting []int `json:"waiting"`
}

func (t *Truth) writeSeries(s Site, file string) error {
	data, err := json.Marshal(t.series(s))
	if err != nil {
		return err
	}
	return os.WriteFile(file, data, 0o600)
}

func (t *Truth) series(s Site) Series {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out Series
	back := int(window / samplePeriod)
	for i := back; i < len(t.samples); i++ {
		v, w := t.samples[i], t.samples[i-back]
		out.AtMs = append(out.AtMs, v.at.Milliseconds())
		out.Utilisation = append(out.Utilisation, float64(v.busy)/float64(s.Slots()))
		out.Gap = append(out.Gap, spread(s, w, v))
		out.TokenMs = append(out.TokenMs, tokenMs(t.samples[i-back:i+1]))
	}
	for _, team := range s.Teams() {
		v := TeamSeries{Team: team.Name()}
		for _, p := range t.samples[min(back, len(t.samples)):] {
			v.Service = append(v.Service, float64(p.tokens[team.Name()])/float64(team.Weight()))
			v.Waiting = append(v.Waiting, p.waiting[team.Name()])
		}
		out.Teams = append(out.Teams, v)
	}
	return out
}

// tokenMs is the mean time between two tokens of a request.
func tokenMs(samples []sample) float64 {
	inside := 0.0
	for i, v := range samples[1:] {
		inside += float64(v.inside) * float64((v.at - samples[i].at).Milliseconds())
	}
	tokens := samples[len(samples)-1].generated - samples[0].generated
	return inside / float64(max(1, tokens))
}

// spread is the largest difference of weighted service between teams that waited at both samples.
func spread(s Site, from, to sample) float64 {
	low, high, found := 0.0, 0.0, false
	for _, t := range s.Teams() {
		if from.waiting[t.Name()] == 0 || to.waiting[t.Name()] == 0 {
			continue
		}
		d := float64(to.tokens[t.Name()]-from.tokens[t.Name()]) / float64(t.Weight())
		if !found {
			low, high, found = d, d, true
		}
		low, high = min(low, d), max(high, d)
	}
	return high - low
}
