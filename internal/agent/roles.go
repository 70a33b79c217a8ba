package agent

import (
	"net/http"
	"net/rpc"

	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/keys"
	"github.com/laburnumring/laburnumring/internal/peer"
	"github.com/laburnumring/laburnumring/internal/share"
)

// routerCalls are the calls that a router may make.
type routerCalls struct{ c *calls }

// Hello opens a router's session.
func (r *routerCalls) Hello(args peer.HelloArgs, reply *peer.HelloReply) error {
	return r.c.Hello(args, reply)
}

// Exchange applies a batch of tickets, withdrawals and declined offers.
func (r *routerCalls) Exchange(args peer.ExchangeArgs, reply *peer.ExchangeReply) error {
	return r.c.Exchange(args, reply)
}

// Offers waits for offers to the router.
func (r *routerCalls) Offers(args peer.OffersArgs, reply *peer.OffersReply) error {
	return r.c.Offers(args, reply)
}

// WithdrawOffer withdraws an offer whose request has not started, and returns the offer's state.
func (r *routerCalls) WithdrawOffer(args peer.WithdrawArgs, reply *peer.WithdrawReply) error {
	return r.c.WithdrawOffer(args, reply)
}

// Configuration returns the configuration in force.
func (r *routerCalls) Configuration(args peer.ConfigurationArgs, reply *peer.Configuration) error {
	return r.c.Configuration(args, reply)
}

// AdoptConfiguration applies a newer configuration.
func (r *routerCalls) AdoptConfiguration(args peer.Configuration, reply *peer.AdoptConfigurationReply) error {
	return r.c.AdoptConfiguration(args, reply)
}

// agentCalls are the calls that another agent may make.
type agentCalls struct{ c *calls }

// Share applies the report of an agent further down the tree.
func (a *agentCalls) Share(args share.Report, reply *share.Reply) error {
	return a.c.Share(args, reply)
}

// Configuration returns the configuration in force.
func (a *agentCalls) Configuration(args peer.ConfigurationArgs, reply *peer.Configuration) error {
	return a.c.Configuration(args, reply)
}

// callsByRole returns the RPC receiver of each role. Operators have an HTTP path of their own. The empty role is
// for connections without a certificate.
func callsByRole(c *calls) map[keys.Role]any {
	return map[keys.Role]any{
		"":          c,
		keys.Router: &routerCalls{c},
		keys.Agent:  &agentCalls{c},
	}
}

// serveRPC answers the calls on a connection that the gate has accepted.
func (a *Agent) serveRPC(w http.ResponseWriter, r *http.Request) {
	var id keys.Identity
	if r.TLS != nil && len(r.TLS.PeerCertificates) > 0 {
		id, _ = keys.IdentityOf(r.TLS.PeerCertificates[0])
	}
	c := &calls{a: a}
	receiver, ok := callsByRole(c)[id.Role]
	if !ok {
		http.Error(w, "no calls for this role", http.StatusForbidden)
		return
	}
	server := rpc.NewServer()
	if err := server.RegisterName(peer.Service, receiver); err != nil {
		http.Error(w, "the calls cannot be served", http.StatusInternalServerError)
		return
	}
	peer.Serve(w, r, server, a.counter)
	a.closeSession(c)
}

// closeSession ends the session of a connection that has ended. Otherwise offers to a router that is gone would
// hold slots until they expire.
func (a *Agent) closeSession(c *calls) {
	now := a.o.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	s := c.session
	if s == nil || a.sessions[s.router] != s {
		return
	}
	delete(a.sessions, s.router)
	a.admission.DropRouter(now, s.router)
	a.o.Logger.Log(event.RouterSessionEnded, "router", s.router)
	a.offerFreeSlots(now)
	a.announceFreeSlots()
}
