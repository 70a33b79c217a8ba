package router_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/agent"
	"github.com/laburnumring/laburnumring/internal/caller"
	"github.com/laburnumring/laburnumring/internal/configuration"
	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/incarnation"
	"github.com/laburnumring/laburnumring/internal/router"
	"github.com/laburnumring/laburnumring/internal/traffic"
	"github.com/laburnumring/laburnumring/internal/wallclock"
	"github.com/laburnumring/laburnumring/pkg/clock"
	"github.com/laburnumring/laburnumring/pkg/header"
	"github.com/laburnumring/laburnumring/pkg/place"
	"github.com/laburnumring/laburnumring/pkg/retry"
	"github.com/laburnumring/laburnumring/pkg/server"
	"github.com/laburnumring/laburnumring/pkg/service"
	"github.com/laburnumring/laburnumring/pkg/site"
	"github.com/laburnumring/laburnumring/pkg/team"
)

// gate is a backend server whose requests begin their answers and then wait to be let through.
type gate struct {
	started chan struct{}
	let     chan struct{}
}

var _ laburnumring.Backend = (*gate)(nil)

func newGate() *gate {
	return &gate{started: make(chan struct{}, 100), let: make(chan struct{}, 100)}
}

func (g *gate) Run(ctx context.Context, _ laburnumring.BackendRequest, sink laburnumring.AnswerSink) error {
	sink.Head(http.StatusOK, "text/plain")
	sink.Data([]byte("begun "), 1)
	g.started <- struct{}{}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-g.let:
	}
	sink.Data([]byte("done"), 1)
	return nil
}

func (g *gate) Probe(context.Context) error { return nil }

// vmList is a VM list that tests change.
type vmList struct {
	mu  sync.Mutex
	vms []laburnumring.VM
}

func (l *vmList) VMs(context.Context) ([]laburnumring.VM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.vms, nil
}

func (l *vmList) set(vms ...laburnumring.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms = vms
}

// memoryLog is a platform log that keeps everything.
type memoryLog struct {
	mu      sync.Mutex
	streams map[string][]laburnumring.Record
}

func (l *memoryLog) Append(_ context.Context, stream string, data []byte) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.streams == nil {
		l.streams = make(map[string][]laburnumring.Record)
	}
	offset := int64(len(l.streams[stream]))
	l.streams[stream] = append(l.streams[stream], laburnumring.Record{Offset: offset, Data: data})
	return offset, nil
}

func (l *memoryLog) Read(_ context.Context, stream string, from int64, _ clock.Millis) (laburnumring.Page, error) {
	time.Sleep(time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	records := l.streams[stream]
	p := laburnumring.Page{Next: int64(len(records))}
	if from < p.Next {
		p.Records = slices.Clone(records[from:])
	}
	return p, nil
}

// publish makes st the configuration of a version.
func (l *memoryLog) publish(t *testing.T, st *site.Site, version int64) {
	t.Helper()
	text, err := st.YAML()
	if err != nil {
		t.Fatal(err)
	}
	data, err := configuration.Record{
		Type: configuration.Change, ID: fmt.Sprint(version), From: version - 1, Version: version, Text: string(text),
	}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	_, _ = l.Append(t.Context(), configuration.Stream, data)
}

// events keeps the log of a process.
type events struct {
	mu   sync.Mutex
	text strings.Builder
}

func (e *events) Write(p []byte) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.text.Write(p)
}

// await waits until a line holds all words.
func (e *events) await(words ...string) {
	for !e.holds(words) {
		time.Sleep(time.Millisecond)
	}
}

func (e *events) holds(words []string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for line := range strings.Lines(e.text.String()) {
		found := true
		for _, w := range words {
			found = found && strings.Contains(line, w)
		}
		if found {
			return true
		}
	}
	return false
}

// process is a running router or agent.
type process struct {
	events *events
	// stop begins a shutdown and stopped is closed at its end.
	stop    context.CancelFunc
	stopped chan struct{}
}

func run(t *testing.T, e *events, f func(context.Context) error) *process {
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{events: e, stop: cancel, stopped: make(chan struct{})}
	go func() {
		defer close(p.stopped)
		_ = f(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-p.stopped
	})
	return p
}

// gated is a router before agents whose servers are gates with one slot each.
type gated struct {
	url    string
	vms    *vmList
	gates  []*gate
	agents []*process
	router *process
	// addresses are those of the agents.
	addresses []string
	log       *memoryLog
}

const shutdownLimit = time.Hour

func newGated(t *testing.T, servers int) *gated {
	g := &gated{vms: &vmList{}, log: &memoryLog{}}
	var handlers []*handlerSwitch
	for range servers {
		h := &handlerSwitch{}
		s := httptest.NewServer(h)
		t.Cleanup(s.Close)
		handlers = append(handlers, h)
		g.addresses = append(g.addresses, s.Listener.Addr().String())
	}
	st := g.site("a", "b")
	g.log.publish(t, st, 1)
	for i, v := range st.Servers() {
		g.addAgent(t, handlers[i], v)
	}
	g.addRouter(t)
	for _, v := range st.Servers() {
		g.router.events.await("event=3001", "server="+v.Name())
	}
	return g
}

// site returns a site with those of the servers a and b that are named and run.
func (g *gated) site(names ...string) *site.Site {
	st := site.New("gated")
	st.AddTeams(team.New("brokers", team.Options{}))
	st.AddPlaces(place.New("here", "north"))
	st.AddServices(service.New("pool", service.Options{
		Retry: retry.New(retry.Options{MaxAttempts: 1, Repeatable: true}),
	}))
	for i, address := range g.addresses {
		name := []string{"a", "b"}[i]
		if slices.Contains(names, name) {
			st.AddServers(server.New(name, server.Options{
				Service: "pool", Place: "here", Slots: 1, Agent: address, Address: fmt.Sprintf("192.0.2.1:%d", i+1),
			}))
		}
	}
	return st
}

func (g *gated) addAgent(t *testing.T, h *handlerSwitch, v server.Server) {
	e := &events{}
	b := newGate()
	a, err := agent.New(agent.Options{
		Server: v, Kind: service.Model, Incarnation: incarnation.New(), Clock: wallclock.New(), Log: g.log,
		Backend: b, Logger: event.NewLogger(e, "logfmt", "agent"), LogTraffic: &traffic.Counter{},
		ShutdownLimit: shutdownLimit,
	})
	if err != nil {
		t.Fatal(err)
	}
	h.set(a.Handler())
	g.gates = append(g.gates, b)
	g.agents = append(g.agents, run(t, e, a.Run))
}

func (g *gated) addRouter(t *testing.T) {
	e := &events{}
	r := router.New(router.Options{
		Name: "router", Place: "here", Incarnation: incarnation.New(), Clock: wallclock.New(), Log: g.log,
		VMs: g.vms, LogTraffic: &traffic.Counter{}, Logger: event.NewLogger(e, "logfmt", "router"),
		ShutdownLimit: shutdownLimit, Rand: rand.New(rand.NewPCG(1, 1)), CallerAuth: caller.Header,
	})
	s := httptest.NewServer(r.Handler())
	t.Cleanup(s.Close)
	g.url = s.URL
	g.router = run(t, e, r.Run)
}

// send sends a request and returns the channel on which its reply comes.
func (g *gated) send(t *testing.T) <-chan reply {
	out := make(chan reply, 1)
	go func() { out <- g.call(t) }()
	return out
}

func (g *gated) call(t *testing.T) reply {
	req, err := http.NewRequest(http.MethodPost, g.url+"/v1/services/pool", strings.NewReader("{}"))
	if err != nil {
		t.Error(err)
		return reply{}
	}
	req.Header.Set(header.Team, "brokers")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, body: string(data), header: resp.Header, trailer: resp.Trailer, err: err}
}

func (g *gated) awaitNotReady() {
	for {
		resp, err := http.Get(g.url + "/readyz")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusServiceUnavailable {
				return
			}
		}
	}
}

// startAll sends a request for every gate and waits until all run.
func (g *gated) startAll(t *testing.T) []<-chan reply {
	var out []<-chan reply
	for range g.gates {
		out = append(out, g.send(t))
	}
	for _, b := range g.gates {
		<-b.started
	}
	return out
}

func mustBeWhole(t *testing.T, what string, r reply) {
	t.Helper()
	if r.err != nil || r.body != "begun done" || r.trailer.Get(header.Outcome) != "whole" {
		t.Errorf("%s: %+v", what, r)
	}
}

func checkLeaks(t *testing.T) {
	ignore := goleak.IgnoreCurrent()
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		goleak.VerifyNone(t, ignore)
	})
}

// TestRouterShutdown holds a shutdown to finishing what is in progress, and to refusing the rest as not run.
func TestRouterShutdown(t *testing.T) {
	checkLeaks(t)
	g := newGated(t, 1)
	running := g.startAll(t)
	g.router.stop()
	g.awaitNotReady()
	r := g.call(t)
	if r.status != http.StatusServiceUnavailable || r.header.Get(header.Outcome) != "not_run" ||
		r.header.Get(header.Reason) != "stopping" || r.header.Get("Retry-After") == "" {
		t.Errorf("request during the shutdown: %+v", r)
	}
	select {
	case <-g.router.stopped:
		t.Error("the router stopped with a request in progress")
	default:
	}
	g.gates[0].let <- struct{}{}
	mustBeWhole(t, "request in progress", <-running[0])
	<-g.router.stopped
	if g.router.events.holds([]string{"event=1004"}) {
		t.Error("the shutdown limit was reached")
	}
}

// TestAgentShutdown holds an agent in shutdown to finishing what runs and to taking nothing new.
func TestAgentShutdown(t *testing.T) {
	checkLeaks(t)
	g := newGated(t, 2)
	running := g.startAll(t)
	g.agents[0].stop()
	g.router.events.await("event=3003", "server=a", "source=agent")
	waiting := g.send(t)
	g.gates[1].let <- struct{}{}
	<-g.gates[1].started
	g.gates[1].let <- struct{}{}
	mustBeWhole(t, "request sent during the shutdown", <-waiting)
	select {
	case <-g.agents[0].stopped:
		t.Error("the agent stopped with a request in progress")
	default:
	}
	g.gates[0].let <- struct{}{}
	for _, r := range running {
		mustBeWhole(t, "request in progress", <-r)
	}
	<-g.agents[0].stopped
	if n := len(g.gates[0].started); n > 0 {
		t.Errorf("the draining agent started %d more requests", n)
	}
}

// TestLeavingVM marks a VM as leaving while its agent holds a ticket: the request goes to another server, and
// what runs there finishes.
func TestLeavingVM(t *testing.T) {
	checkLeaks(t)
	g := newGated(t, 2)
	running := g.startAll(t)
	waiting := g.send(t)
	g.vms.set(laburnumring.VM{Address: g.addresses[0], Leaving: true})
	g.router.events.await("event=3003", "server=a", "source=vm_list")
	g.gates[0].let <- struct{}{}
	// One of the two requests in progress ran on server a.
	var first reply
	var second <-chan reply
	select {
	case first = <-running[0]:
		second = running[1]
	case first = <-running[1]:
		second = running[0]
	}
	mustBeWhole(t, "request on the leaving server", first)
	g.gates[1].let <- struct{}{}
	mustBeWhole(t, "request on the other server", <-second)
	select {
	case <-g.gates[1].started:
		g.gates[1].let <- struct{}{}
	case <-g.gates[0].started:
		t.Error("the leaving server started another request")
		g.gates[0].let <- struct{}{}
	}
	mustBeWhole(t, "waiting request", <-waiting)
}

// TestRetiredServer publishes a configuration without a server that runs a request: the request finishes, and
// later ones run elsewhere.
func TestRetiredServer(t *testing.T) {
	checkLeaks(t)
	g := newGated(t, 2)
	running := g.startAll(t)
	g.log.publish(t, g.site("b"), 2)
	g.router.events.await("event=2001", "version=2")
	later := g.send(t)
	g.gates[1].let <- struct{}{}
	<-g.gates[1].started
	g.gates[1].let <- struct{}{}
	mustBeWhole(t, "later request", <-later)
	g.gates[0].let <- struct{}{}
	for _, r := range running {
		mustBeWhole(t, "request in progress", <-r)
	}
	if n := len(g.gates[0].started); n > 0 {
		t.Errorf("the retired server started %d more requests", n)
	}
}
