package agent

import (
	"fmt"
	"net/http"
	"net/rpc"

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

// Exchange takes a batch of tickets, withdrawals and declined offers.
func (r *routerCalls) Exchange(args peer.ExchangeArgs, reply *peer.ExchangeReply) error {
	return r.c.Exchange(args, reply)
}

// Offers waits for offers to the router.
func (r *routerCalls) Offers(args peer.OffersArgs, reply *peer.OffersReply) error {
	return r.c.Offers(args, reply)
}

// WithdrawOffer stops an offer that has not started and tells its state.
func (r *routerCalls) WithdrawOffer(args peer.WithdrawArgs, reply *peer.WithdrawReply) error {
	return r.c.WithdrawOffer(args, reply)
}

// Configuration returns the configuration in force.
func (r *routerCalls) Configuration(args peer.ConfigurationArgs, reply *peer.Configuration) error {
	return r.c.Configuration(args, reply)
}

// AdoptConfiguration takes a newer configuration.
func (r *routerCalls) AdoptConfiguration(args peer.Configuration, reply *peer.AdoptConfigurationReply) error {
	return r.c.AdoptConfiguration(args, reply)
}

// agentCalls are the calls that another agent may make.
type agentCalls struct{ c *calls }

// Share takes the report of an agent further down the tree.
func (a *agentCalls) Share(args share.Report, reply *share.Reply) error {
	return a.c.Share(args, reply)
}

// Configuration returns the configuration in force.
func (a *agentCalls) Configuration(args peer.ConfigurationArgs, reply *peer.Configuration) error {
	return a.c.Configuration(args, reply)
}

// callsByRole returns what holders of each role may call; operators have a path of their own. The empty role is for connections without certificates.
func callsByRole(c *calls) map[keys.Role]any {
	return map[keys.Role]any{
		"":          c,
		keys.Router: &routerCalls{c},
		keys.Agent:  &agentCalls{c},
	}
}

// registerCalls makes the net/rpc servers of all roles.
func (a *Agent) registerCalls() error {
	a.rpc = make(map[keys.Role]*rpc.Server)
	for role, receiver := range callsByRole(&calls{a: a}) {
		a.rpc[role] = rpc.NewServer()
		if err := a.rpc[role].RegisterName(peer.Service, receiver); err != nil {
			return fmt.Errorf("register rpc service: %w", err)
		}
	}
	return nil
}

// serveRPC answers the calls of a connection whose certificate the gate has let in.
func (a *Agent) serveRPC(w http.ResponseWriter, r *http.Request) {
	var id keys.Identity
	if r.TLS != nil && len(r.TLS.PeerCertificates) > 0 {
		id, _ = keys.IdentityOf(r.TLS.PeerCertificates[0])
	}
	server, ok := a.rpc[id.Role]
	if !ok {
		http.Error(w, "no calls for this role", http.StatusForbidden)
		return
	}
	peer.Serve(w, r, server, a.counter)
}
