package agent

import (
	"io"
	"testing"

	"github.com/laburnumring/laburnumring/internal/admission"
	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/peer"
	"github.com/laburnumring/laburnumring/internal/ticket"
	"github.com/laburnumring/laburnumring/internal/traffic"
	"github.com/laburnumring/laburnumring/internal/wallclock"
	"github.com/laburnumring/laburnumring/pkg/clock"
	"github.com/laburnumring/laburnumring/pkg/server"
	"github.com/laburnumring/laburnumring/pkg/service"
)

// agentWithoutLoops returns an agent with one slot. Its loops do not run.
func agentWithoutLoops(t *testing.T) *Agent {
	t.Helper()
	a, err := New(Options{
		Server:      server.New("server-1", server.Options{Service: "booking-app", Slots: 1}),
		Kind:        service.Plain,
		Incarnation: "run",
		Clock:       wallclock.New(),
		LogTraffic:  &traffic.Counter{},
		Logger:      event.NewLogger(io.Discard, "text", "agent"),
	})
	if err != nil {
		t.Fatal(err)
	}
	a.admission.SetServerUp(true)
	return a
}

// TestClosedConnectionFreesSlots checks that the offers to a router are withdrawn when its connection ends, unless the
// router has opened another session by then.
func TestClosedConnectionFreesSlots(t *testing.T) {
	a := agentWithoutLoops(t)
	first, second := &calls{a: a}, &calls{a: a}
	open := func(c *calls) {
		var hello peer.HelloReply
		if err := c.Hello(peer.HelloArgs{Router: "router-1.x"}, &hello); err != nil {
			t.Fatal(err)
		}
		var reply peer.ExchangeReply
		left := ticket.Ticket{Attempt: 1, Team: "bakery", Cost: 1, Remaining: clock.Minute}
		if err := c.Exchange(peer.ExchangeArgs{Leave: []peer.Ticket{{Request: 1, Rest: left}}}, &reply); err != nil {
			t.Fatal(err)
		}
		if got := a.admission.InUse(); got != 1 {
			t.Fatalf("%d slots in use after a ticket, want 1", got)
		}
	}
	open(first)
	open(second)
	a.closeSession(first)
	if got := a.admission.InUse(); got != 1 {
		t.Fatalf("%d slots in use after an old connection ended, want 1", got)
	}
	a.closeSession(second)
	if got := a.admission.InUse(); got != 0 {
		t.Fatalf("%d slots in use after the connection ended, want 0", got)
	}
	if got := a.admission.WithdrawOffer(0, a.o.Incarnation+".2"); got != admission.Withdrawn {
		t.Fatalf("the offer is %v, want withdrawn", got)
	}
}
