package agent_test

import (
	"fmt"
	"io"
	"net/http/httptest"
	"net/rpc"
	"strings"
	"testing"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/admission"
	"github.com/laburnumring/laburnumring/internal/agent"
	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/peer"
	"github.com/laburnumring/laburnumring/internal/ticket"
	"github.com/laburnumring/laburnumring/internal/traffic"
	"github.com/laburnumring/laburnumring/internal/wallclock"
	"github.com/laburnumring/laburnumring/pkg/clock"
	"github.com/laburnumring/laburnumring/pkg/server"
	"github.com/laburnumring/laburnumring/pkg/service"
)

// agentServer is an agent that serves its HTTP API without running its loops.
type agentServer struct {
	t       *testing.T
	agent   *agent.Agent
	address string
}

func newAgentServer(t *testing.T, incarnation string) *agentServer {
	t.Helper()
	a, err := agent.New(agent.Options{
		Server: server.New("s", server.Options{Service: "pool", Slots: 4}), Kind: service.Plain,
		Incarnation: incarnation, Clock: wallclock.New(), Policy: laburnumring.LocalFair,
		Logger: event.NewLogger(io.Discard, "", "agent"), LogTraffic: &traffic.Counter{},
	})
	if err != nil {
		t.Fatal(err)
	}
	s := httptest.NewServer(a.Handler())
	t.Cleanup(s.Close)
	agent.SetServerUp(a)
	return &agentServer{t: t, agent: a, address: strings.TrimPrefix(s.URL, "http://")}
}

// dial opens an RPC connection without a session.
func (a *agentServer) dial() *rpc.Client {
	a.t.Helper()
	c, err := peer.Dial(a.t.Context(), a.address, nil, &traffic.Counter{})
	if err != nil {
		a.t.Fatal(err)
	}
	a.t.Cleanup(func() { _ = c.Close() })
	return c
}

// dialSession opens an RPC connection and the router's session on it.
func (a *agentServer) dialSession(router string) *rpc.Client {
	a.t.Helper()
	c := a.dial()
	if err := c.Call("Agent.Hello", peer.HelloArgs{Router: router}, &peer.HelloReply{}); err != nil {
		a.t.Fatal(err)
	}
	return c
}

// requestOffer leaves a ticket for the request with this number and returns the offer made for it.
func requestOffer(t *testing.T, c *rpc.Client, number uint64) peer.Offer {
	t.Helper()
	left := ticket.Ticket{Attempt: 1, Team: "a", Cost: 1, Remaining: clock.Minute}
	args := peer.ExchangeArgs{Leave: []peer.Ticket{{Request: number, Rest: left}}}
	var taken peer.ExchangeReply
	if err := c.Call("Agent.Exchange", args, &taken); err != nil || len(taken.Refused) > 0 {
		t.Fatalf("ticket refused: %v, %v", taken.Refused, err)
	}
	var reply peer.OffersReply
	if err := c.Call("Agent.Offers", peer.OffersArgs{}, &reply); err != nil || len(reply.Offers) != 1 {
		t.Fatalf("offers %+v, %v", reply.Offers, err)
	}
	return reply.Offers[0]
}

// withdrawOffer withdraws the offer with this full id, on a connection without a session, and returns its state.
func (a *agentServer) withdrawOffer(id string) admission.State {
	a.t.Helper()
	var reply peer.WithdrawReply
	if err := a.dial().Call("Agent.WithdrawOffer", peer.WithdrawArgs{Router: "r.1", Offer: id}, &reply); err != nil {
		a.t.Fatal(err)
	}
	return reply.State
}

// wantRefused makes the calls that need a session and checks that each fails with text.
func wantRefused(t *testing.T, c *rpc.Client, text string) {
	t.Helper()
	exchange := c.Call("Agent.Exchange", peer.ExchangeArgs{Withdraw: []uint64{1}}, &peer.ExchangeReply{})
	offers := c.Call("Agent.Offers", peer.OffersArgs{}, &peer.OffersReply{})
	for _, err := range []error{exchange, offers} {
		if err == nil || !strings.Contains(err.Error(), text) {
			t.Errorf("error %v, want %q", err, text)
		}
	}
}

// TestCallsWithoutSessionAreRefused checks that calls fail before a Hello on their connection, since the numbers in
// them have no meaning without a session.
func TestCallsWithoutSessionAreRefused(t *testing.T) {
	a := newAgentServer(t, "i")
	a.dialSession("r.1")
	wantRefused(t, a.dial(), "no session")
}

// TestNewSessionReplacesOld checks that a connection loses its session when its router opens another one, and gets a
// new one with another Hello.
func TestNewSessionReplacesOld(t *testing.T) {
	a := newAgentServer(t, "i")
	old := a.dialSession("r.1")
	o := requestOffer(t, old, 7)
	a.dialSession("r.1")
	wantRefused(t, old, "no session")
	if state := a.withdrawOffer(fmt.Sprint("i.", o.Number)); state != admission.Withdrawn {
		t.Errorf("the offer of the old session is %v", state)
	}
	if err := old.Call("Agent.Hello", peer.HelloArgs{Router: "r.1"}, &peer.HelloReply{}); err != nil {
		t.Fatal(err)
	}
	requestOffer(t, old, 8)
}

// TestRequestNumbersArePerRouter checks that the same number from two routers names two requests, and that a router
// cannot decline the other's offer.
func TestRequestNumbersArePerRouter(t *testing.T) {
	a := newAgentServer(t, "i")
	one, two := a.dialSession("r.1"), a.dialSession("r.2")
	first, second := requestOffer(t, one, 7), requestOffer(t, two, 7)
	if first.Number == second.Number || first.Request != 7 || second.Request != 7 {
		t.Fatalf("offers %+v and %+v", first, second)
	}
	err := two.Call("Agent.Exchange", peer.ExchangeArgs{Decline: []uint64{first.Number}}, &peer.ExchangeReply{})
	if err == nil || !strings.Contains(err.Error(), `none of "r.2"`) {
		t.Errorf("another router's offer was declined: %v", err)
	}
	args := peer.ExchangeArgs{Decline: []uint64{second.Number}, Withdraw: []uint64{7}}
	if err := two.Call("Agent.Exchange", args, &peer.ExchangeReply{}); err != nil {
		t.Error(err)
	}
	if got := agent.InUse(a.agent); got != 1 {
		t.Errorf("%d slots are held, want the first router's one", got)
	}
}

// TestOfferIDsOfEarlierIncarnation checks that a restarted agent numbers its offers from 1 again and does not know the
// ids of its earlier incarnation.
func TestOfferIDsOfEarlierIncarnation(t *testing.T) {
	before, after := newAgentServer(t, "i"), newAgentServer(t, "j")
	o := requestOffer(t, before.dialSession("r.1"), 7)
	p := requestOffer(t, after.dialSession("r.1"), 7)
	if o.Number != p.Number {
		t.Fatalf("numbers %d and %d", o.Number, p.Number)
	}
	if state := after.withdrawOffer(fmt.Sprint("i.", o.Number)); state != 0 {
		t.Errorf("the earlier run's offer is %v", state)
	}
	if state := after.withdrawOffer(fmt.Sprint(o.Number)); state != 0 {
		t.Errorf("a bare number is the offer of state %v", state)
	}
	if state := after.withdrawOffer(fmt.Sprint("j.", p.Number)); state != admission.Withdrawn {
		t.Errorf("the offer is %v", state)
	}
}

// TestBadNumberRefusesWholeBatch checks that nothing of a batch is applied when one number in it is invalid.
func TestBadNumberRefusesWholeBatch(t *testing.T) {
	a := newAgentServer(t, "i")
	c := a.dialSession("r.1")
	o := requestOffer(t, c, 7)
	args := peer.ExchangeArgs{Decline: []uint64{o.Number}, Withdraw: []uint64{0}}
	if err := c.Call("Agent.Exchange", args, &peer.ExchangeReply{}); err == nil {
		t.Error("request number 0 was accepted")
	}
	if got := agent.InUse(a.agent); got != 1 {
		t.Errorf("%d slots are held, want 1", got)
	}
}
