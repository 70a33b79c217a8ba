package agent_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/agent"
	"github.com/laburnumring/laburnumring/internal/backend"
	"github.com/laburnumring/laburnumring/internal/caller"
	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/incarnation"
	"github.com/laburnumring/laburnumring/internal/platform"
	"github.com/laburnumring/laburnumring/internal/publication"
	"github.com/laburnumring/laburnumring/internal/router"
	"github.com/laburnumring/laburnumring/internal/standin/control"
	"github.com/laburnumring/laburnumring/internal/standin/plainservice"
	"github.com/laburnumring/laburnumring/internal/standin/platformlog"
	"github.com/laburnumring/laburnumring/internal/traffic"
	"github.com/laburnumring/laburnumring/internal/wallclock"
	"github.com/laburnumring/laburnumring/pkg/server"
	"github.com/laburnumring/laburnumring/pkg/service"
)

// bench is two routers and two agents with plain servers in this process, around a log with faults.
type bench struct {
	t *testing.T
	// log holds the faults of the platform's log.
	log     *control.Control
	logAt   string
	routers []string
	servers []string
	agents  []*runningAgent
}

// runningAgent is one run of an agent at a fixed address.
type runningAgent struct {
	address string
	stop    func()
}

type noVMs struct{}

func (noVMs) VMs(context.Context) ([]laburnumring.VM, error) { return nil, nil }

func newBench(t *testing.T) *bench {
	b := &bench{t: t, log: &control.Control{}}
	b.logAt = b.serve(platformlog.New(platformlog.Options{AppendsPerSecond: 10_000, Control: b.log}).Handler())
	text := "site: test\nteams:\n  - {name: brokers, weight: 1}\nplaces:\n  - {name: place-a, region: north}\nservices:\n" +
		"  - name: booking-app\n    kind: plain\n    retry: {max_attempts: 2, budget_percent: 10, repeatable: false}\n" +
		"    queue_limit: 256\n    key_window_ms: 600000\nservers:\n"
	for i := range 2 {
		b.servers = append(b.servers, b.serve(plainservice.New(time.Millisecond, &control.Control{}).Handler()))
		b.agents = append(b.agents, &runningAgent{address: freeAddress(t)})
		text += fmt.Sprintf("  - {name: booking-%d, service: booking-app, place: place-a, address: %q, agent: %q, slots: 4, "+
			"checks_fencing: false}\n", i, b.servers[i], b.agents[i].address)
		b.startAgent(i)
	}
	for i := range 2 {
		b.startRouter(i)
	}
	p := publication.NewPublisher(platform.NewLog(b.logAt, &traffic.Counter{}), wallclock.New(), time.Millisecond)
	if _, err := p.Publish(t.Context(), publication.Options{ID: "first", Text: text}); err != nil {
		t.Fatal(err)
	}
	for _, address := range b.routers {
		for !answers(address) {
			time.Sleep(time.Millisecond)
		}
	}
	return b
}

func (b *bench) serve(h http.Handler) string {
	s := httptest.NewServer(h)
	b.t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func (b *bench) startAgent(i int) {
	a, err := agent.New(agent.Options{
		Server: server.New(fmt.Sprintf("booking-%d", i), server.Options{
			Service: "booking-app", Place: "place-a", Address: b.servers[i], Agent: b.agents[i].address, Slots: 4,
		}),
		Kind:        service.Plain,
		Incarnation: incarnation.New(),
		Clock:       wallclock.New(),
		Log:         platform.NewLog(b.logAt, &traffic.Counter{}),
		Backend:     backend.NewPlain(b.servers[i]),
		LogTraffic:  &traffic.Counter{},
		Logger:      event.NewLogger(io.Discard, "", "agent"),
	})
	if err != nil {
		b.t.Fatal(err)
	}
	b.agents[i].stop = b.run(b.agents[i].address, a.Handler(), a.Run)
}

func (b *bench) startRouter(i int) {
	r := router.New(router.Options{
		Name:        fmt.Sprintf("router-%d", i),
		Incarnation: incarnation.New(),
		Clock:       wallclock.New(),
		Log:         platform.NewLog(b.logAt, &traffic.Counter{}),
		VMs:         noVMs{},
		LogTraffic:  &traffic.Counter{},
		Logger:      event.NewLogger(io.Discard, "", "router"),
		Rand:        rand.New(rand.NewPCG(1, uint64(i))),
		CallerAuth:  caller.TeamHeader,
	})
	address := freeAddress(b.t)
	b.run(address, r.Handler(), r.Run)
	b.routers = append(b.routers, address)
}

// run serves h and work until the returned function cuts them off without a shutdown.
func (b *bench) run(address string, h http.Handler, work func(context.Context) error) func() {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		b.t.Fatal(err)
	}
	cut := &cuttingListener{Listener: ln}
	ctx, cancel := context.WithCancel(context.Background())
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	var wg sync.WaitGroup
	wg.Go(func() { _ = srv.Serve(cut) })
	wg.Go(func() { _ = work(ctx) })
	var once sync.Once
	stop := func() {
		once.Do(func() {
			_ = srv.Close()
			cut.cutAll()
			cancel()
			wg.Wait()
		})
	}
	b.t.Cleanup(stop)
	return stop
}

// restartAgent replaces an agent by one that remembers nothing.
func (b *bench) restartAgent(i int) {
	b.agents[i].stop()
	b.startAgent(i)
}

// cuttingListener closes all its connections at once, also those that were taken over.
type cuttingListener struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

func (l *cuttingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil {
		l.conns = append(l.conns, c)
	}
	return c, err
}

func (l *cuttingListener) cutAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		_ = c.Close()
	}
}

func freeAddress(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

func answers(address string) bool {
	resp, err := http.Get("http://" + address + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
