package agent_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/agent"
	"github.com/laburnumring/laburnumring/internal/backend"
	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/incarnation"
	"github.com/laburnumring/laburnumring/internal/order"
	"github.com/laburnumring/laburnumring/internal/peer"
	"github.com/laburnumring/laburnumring/internal/platform"
	"github.com/laburnumring/laburnumring/internal/standin/control"
	"github.com/laburnumring/laburnumring/internal/standin/engine"
	"github.com/laburnumring/laburnumring/internal/standin/platformlog"
	"github.com/laburnumring/laburnumring/internal/traffic"
	"github.com/laburnumring/laburnumring/internal/wallclock"
	"github.com/laburnumring/laburnumring/pkg/clock"
	"github.com/laburnumring/laburnumring/pkg/server"
	"github.com/laburnumring/laburnumring/pkg/service"
)

// orderFixture is a model engine with its agent, and a log that can fail.
type orderFixture struct {
	cluster
	engineAddress string
	// engine sets the engine's faults.
	engine *control.Control
	// lastFence holds the fencing number of each holder's last lease.
	lastFence map[string]int64
	leases    int
}

// TestOrders runs the scripts in testdata/orders with an engine that checks fencing numbers, and with one that
// ignores them.
func TestOrders(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks=%v", checks), func(t *testing.T) {
			datadriven.Walk(t, "testdata/orders", func(t *testing.T, path string) {
				b := newOrderFixture(t, checks)
				datadriven.RunTest(t, path, b.step)
			})
		})
	}
}

func newOrderFixture(t *testing.T, checks bool) *orderFixture {
	b := &orderFixture{engine: &control.Control{}, lastFence: make(map[string]int64)}
	b.t = t
	b.log = &control.Control{}
	b.logAddress = b.serve(platformlog.New(platformlog.Options{Control: b.log}).Handler())
	b.engineAddress = b.serve(engine.New(engine.Options{Control: b.engine, ChecksFencing: checks}).Handler())
	b.agents = []*agentProcess{{address: freeAddress(t)}}
	b.startModelAgent()
	return b
}

func (b *orderFixture) startModelAgent() {
	address := b.agents[0].address
	a, err := agent.New(agent.Options{
		Server:      server.New("model-1", server.Options{Service: "model-pool", Address: b.engineAddress, Agent: address}),
		Kind:        service.Model,
		Incarnation: incarnation.New(),
		Clock:       wallclock.New(),
		Log:         platform.NewLog(b.logAddress, &traffic.Counter{}),
		Backend:     backend.NewModel(b.engineAddress),
		LogTraffic:  &traffic.Counter{},
		Logger:      event.NewLogger(io.Discard, "", "agent"),
	})
	if err != nil {
		b.t.Fatal(err)
	}
	b.agents[0].stop = b.run(address, a.Handler(), a.Run)
}

func (b *orderFixture) step(t *testing.T, d *datadriven.TestData) string {
	b.t = t
	switch d.Cmd {
	case "lease":
		return b.lease(d)
	case "order":
		return b.order(d)
	case "engine":
		return b.completedOrders()
	case "log":
		b.log.Set(control.Faults{Down: d.HasArg("down")})
	case "engine-down":
		b.engine.Set(control.Faults{Down: true})
	case "engine-up":
		b.engine.Set(control.Faults{})
	case "restart":
		b.agents[0].stop()
		b.startModelAgent()
	default:
		d.Fatalf(t, "unknown command %q", d.Cmd)
	}
	return "ok"
}

func (b *orderFixture) lease(d *datadriven.TestData) string {
	var holder string
	d.ScanArgs(b.t, "holder", &holder)
	b.leases++
	l := order.Lease{ID: fmt.Sprint(b.leases), Server: "model-1", Holder: holder, TTL: clock.Second}
	acquirer := order.NewAcquirer(platform.NewLog(b.logAddress, &traffic.Counter{}), time.Millisecond)
	h, err := acquirer.Acquire(b.t.Context(), 0, l, true)
	if err != nil {
		b.t.Fatal(err)
	}
	b.lastFence[holder] = h.Fence
	return fmt.Sprintf("fence %d", h.Fence)
}

func (b *orderFixture) order(d *datadriven.TestData) string {
	var holder, name string
	d.ScanArgs(b.t, "holder", &holder)
	d.ScanArgs(b.t, "name", &name)
	args := peer.OrderArgs{
		Server: "model-1",
		Fence:  b.lastFence[holder],
		Order:  laburnumring.Order{Kind: laburnumring.LoadAdapter, Name: name},
	}
	d.MaybeScanArgs(b.t, "server", &args.Server)
	ctx, cancel := context.WithTimeout(b.t.Context(), 10*time.Second)
	defer cancel()
	client, err := peer.DialOperator(ctx, b.agents[0].address, nil, &traffic.Counter{})
	if err != nil {
		b.t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	var reply peer.OrderReply
	if err := client.Call(peer.OperatorService+".Order", args, &reply); err != nil {
		b.t.Fatal(err)
	}
	return fmt.Sprintf("%s %s", reply.Outcome, reply.Reason)
}

// completedOrders returns the names of the orders that the engine carried out.
func (b *orderFixture) completedOrders() string {
	resp, err := http.Get("http://" + b.engineAddress + backend.OrdersPath)
	if err != nil {
		b.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var done []laburnumring.Order
	if err := json.NewDecoder(resp.Body).Decode(&done); err != nil {
		b.t.Fatal(err)
	}
	out := ""
	for _, o := range done {
		out += o.Name + " "
	}
	return out
}
