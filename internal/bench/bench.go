// Package bench compares requests through router and agent with the same requests straight to a backend
// server.
package bench

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/laburnumring/laburnumring/internal/backend"
	"github.com/laburnumring/laburnumring/internal/fleet"
	"github.com/laburnumring/laburnumring/internal/standin/engine"
	"github.com/laburnumring/laburnumring/pkg/header"
)

// Options are the settings of a comparison.
type Options struct {
	// Bin is the directory with the programs and Dir one for settings and logs.
	Bin string
	Dir string
	// TLS puts the link between router and agent under mutual TLS.
	TLS bool
	// Period is how long each measurement lasts and Rounds how often each is made.
	Period time.Duration
	Rounds int
}

// Result compares one kind of request; times are in milliseconds.
type Result struct {
	// Kind is plain or model and Rate the requests a second of the comparison.
	Kind string  `json:"kind"`
	Rate float64 `json:"rate"`
	// Capacity is the most requests a second through the router that a closed loop reached.
	Capacity float64 `json:"capacity"`
	// DirectP50Ms and the like are times to the end of the answer.
	DirectP50Ms float64 `json:"direct_p50_ms"`
	DirectP99Ms float64 `json:"direct_p99_ms"`
	ViaP50Ms    float64 `json:"via_p50_ms"`
	ViaP99Ms    float64 `json:"via_p99_ms"`
	// AddedP50Ms and AddedP99Ms are the differences.
	AddedP50Ms float64 `json:"added_p50_ms"`
	AddedP99Ms float64 `json:"added_p99_ms"`
	// FirstByteAddedP50Ms is the difference of the times to the first byte of the answer.
	FirstByteAddedP50Ms float64 `json:"first_byte_added_p50_ms"`
	FirstByteAddedP99Ms float64 `json:"first_byte_added_p99_ms"`
	// RouterCPUMs and AgentCPUMs are processor time for each request.
	RouterCPUMs float64 `json:"router_cpu_ms"`
	AgentCPUMs  float64 `json:"agent_cpu_ms"`
	// RequestsPerCore is how many requests a second one core would carry through router and agent.
	RequestsPerCore float64 `json:"requests_per_core"`
	// Failed counts requests of the comparison that did not succeed.
	Failed int `json:"failed"`
}

const (
	slots        = 64
	plainTime    = 2 * time.Millisecond
	answerTokens = 20
	modelRate    = 60
	workers      = 32
	loadShare    = 3
)

// Run makes all comparisons and hands each result to emit.
func Run(ctx context.Context, o Options, emit func(Result) error) error {
	f, err := fleet.Start(ctx, fleet.Options{
		Bin: o.Bin, Dir: o.Dir, Models: 1, Plains: 1, Routers: 1, Slots: slots, PlainDuration: plainTime,
		TLS: o.TLS,
	})
	if err != nil {
		return err
	}
	defer f.Stop()
	for _, kind := range []string{"plain", "model"} {
		r, err := compare(ctx, o, f, kind)
		if err != nil {
			return err
		}
		if err := emit(r); err != nil {
			return err
		}
	}
	return nil
}

// compare measures one kind, direct and through the router in turn.
func compare(ctx context.Context, o Options, f *fleet.Fleet, kind string) (Result, error) {
	direct, via := targets(f, kind)
	out := Result{Kind: kind, Rate: modelRate}
	if kind == "plain" {
		out.Capacity = capacity(ctx, via, o.Period)
		out.Rate = out.Capacity / loadShare
	}
	a, b := newTimes(), newTimes()
	server := f.Site().ServersOf(serviceOf(kind))[0].Name()
	var router, agent time.Duration
	for range o.Rounds {
		openLoop(ctx, direct, out.Rate, o.Period, a)
		router -= cpu(f, "router-1")
		agent -= cpu(f, server+"-agent")
		openLoop(ctx, via, out.Rate, o.Period, b)
		router += cpu(f, "router-1")
		agent += cpu(f, server+"-agent")
	}
	n := float64(b.whole.TotalCount())
	if n == 0 {
		return out, errors.New("no request succeeded")
	}
	out.fill(a, b)
	out.RouterCPUMs = router.Seconds() * 1000 / n
	out.AgentCPUMs = agent.Seconds() * 1000 / n
	out.RequestsPerCore = 1000 / (out.RouterCPUMs + out.AgentCPUMs)
	return out, nil
}

func serviceOf(kind string) string {
	if kind == "plain" {
		return fleet.PlainService
	}
	return fleet.ModelService
}

func cpu(f *fleet.Fleet, name string) time.Duration {
	u, err := f.Process(name).Usage()
	if err != nil {
		return 0
	}
	return u.CPU
}

func (r *Result) fill(direct, via *times) {
	r.DirectP50Ms = direct.whole.quantile(50)
	r.DirectP99Ms = direct.whole.quantile(99)
	r.ViaP50Ms = via.whole.quantile(50)
	r.ViaP99Ms = via.whole.quantile(99)
	r.AddedP50Ms = r.ViaP50Ms - r.DirectP50Ms
	r.AddedP99Ms = r.ViaP99Ms - r.DirectP99Ms
	r.FirstByteAddedP50Ms = via.first.quantile(50) - direct.first.quantile(50)
	r.FirstByteAddedP99Ms = via.first.quantile(99) - direct.first.quantile(99)
	r.Failed = direct.failed + via.failed
}

// histogram holds times in microseconds.
type histogram struct{ *hdrhistogram.Histogram }

func newHistogram() histogram {
	return histogram{hdrhistogram.New(1, time.Minute.Microseconds(), 3)}
}

// quantile returns a percentile in milliseconds.
func (h histogram) quantile(p float64) float64 {
	return float64(h.ValueAtQuantile(p)) / 1000
}

// times collects what requests took.
type times struct {
	mu sync.Mutex
	// whole holds times to the end and first those to the first byte.
	whole  histogram
	first  histogram
	failed int
}

func newTimes() *times {
	return &times{whole: newHistogram(), first: newHistogram()}
}

func (t *times) add(first, whole time.Duration, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.failed++
		return
	}
	_ = t.first.RecordValue(first.Microseconds())
	_ = t.whole.RecordValue(whole.Microseconds())
}

// target is where and how a request is sent.
type target struct {
	hc   *http.Client
	url  string
	body []byte
}

func targets(f *fleet.Fleet, kind string) (direct, via target) {
	hc := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4 * workers}}
	server := f.Site().ServersOf(serviceOf(kind))[0]
	body := []byte("call")
	path := "/call"
	if kind == "model" {
		body, _ = json.Marshal(engine.Prompt{Text: "prompt", MaxTokens: answerTokens})
		path = backend.GeneratePath
	}
	direct = target{hc: hc, url: "http://" + server.Address() + path, body: body}
	via = target{hc: hc, url: "http://" + f.Routers()[0] + "/v1/services/" + server.Service() + "/call", body: body}
	return direct, via
}

// send sends one request and returns the times to the first byte and to the end of its answer.
func (t target) send(ctx context.Context) (first, whole time.Duration, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, t.url, bytes.NewReader(t.body))
	if err != nil {
		return 0, 0, err
	}
	req.Header.Set(header.Team, "team-1")
	start := time.Now()
	resp, err := t.hc.Do(req)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	br := bufio.NewReader(resp.Body)
	if _, err := br.ReadByte(); err != nil {
		return 0, 0, err
	}
	first = time.Since(start)
	if _, err := io.Copy(io.Discard, br); err != nil {
		return 0, 0, err
	}
	if resp.StatusCode != http.StatusOK {
		return 0, 0, fmt.Errorf("status %d", resp.StatusCode)
	}
	return first, time.Since(start), nil
}

// openLoop sends requests at a fixed rate whatever their answers take.
func openLoop(ctx context.Context, t target, rate float64, period time.Duration, into *times) {
	tick := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer tick.Stop()
	var wg sync.WaitGroup
	for range int(rate * period.Seconds()) {
		<-tick.C
		wg.Go(func() { into.add(t.send(ctx)) })
	}
	wg.Wait()
}

// capacity returns how many requests a second a closed loop completes.
func capacity(ctx context.Context, t target, period time.Duration) float64 {
	ctx, cancel := context.WithTimeout(ctx, period)
	defer cancel()
	all := newTimes()
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for ctx.Err() == nil {
				all.add(t.send(ctx))
			}
		})
	}
	wg.Wait()
	return float64(all.whole.TotalCount()) / period.Seconds()
}
