package agent

import (
	"context"
	"net/rpc"
	"time"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/interval"
	"github.com/laburnumring/laburnumring/internal/peer"
	"github.com/laburnumring/laburnumring/internal/share"
)

const (
	defaultSharePeriod = 250 * time.Millisecond
	// shareTimeout bounds the opening of a connection to another agent and a report to it.
	shareTimeout = 300 * time.Millisecond
)

// newOrder returns the team order of the agent's policy and, when that is fleet-wide, its controller.
func (a *Agent) newOrder() (laburnumring.TeamOrder, *share.Fleet) {
	switch a.o.Policy {
	case laburnumring.LocalFair:
		return share.NewLocal(a.weight), nil
	case laburnumring.RoundRobin, laburnumring.TwoChoices:
		return share.Oldest{}, nil
	case laburnumring.Fair:
	}
	f := share.NewFleet(share.Options{
		Name:           a.o.Server.Name(),
		Incarnation:    a.o.Incarnation,
		Weight:         a.weight,
		MaxCounterLead: a.o.ShareLead,
		OnViolation:    func(what string) { a.o.Logger.Log(event.InvariantBroken, "what", what) },
	})
	return f, f
}

// shareLinks are the agent's connections to its possible parents. It is used by one goroutine.
type shareLinks struct {
	a       *Agent
	parents *share.ParentBackoff
	clients map[string]*rpc.Client
	// version is the configuration that possible and addresses were made from.
	version int64
	// possible names the agents that may be the parent, the preferred one first.
	possible []string
	// addresses holds the agents of the service, by server name.
	addresses map[string]string
	// parent is the agent that took the last report; empty at the root.
	parent string
}

// shareLoop reports to the agent's parent in the tree until ctx ends.
func (a *Agent) shareLoop(ctx context.Context) {
	if a.fleet == nil {
		return
	}
	l := &shareLinks{a: a, parents: share.NewParentBackoff(), clients: make(map[string]*rpc.Client)}
	defer l.close()
	interval.Every(ctx, a.o.SharePeriod, func() { l.step(ctx) })
}

// step reports to the first possible parent that answers; without one the agent becomes the root.
func (l *shareLinks) step(ctx context.Context) {
	l.configured()
	for _, name := range l.parents.Due(l.a.o.Clock.Now(), l.possible) {
		if l.report(ctx, name, l.addresses[name]) == nil {
			l.parents.Answered(name)
			l.settled(name)
			return
		}
		if ctx.Err() != nil {
			return
		}
		l.drop(name)
		l.parents.Failed(l.a.o.Clock.Now(), name)
	}
	l.lead()
}

// configured follows the configuration in force.
func (l *shareLinks) configured() {
	a := l.a
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.board.Site()
	if s == nil || l.version == a.board.Version() {
		return
	}
	l.version = a.board.Version()
	service := a.o.Server.Service()
	ranks := share.RankedServers(s, service)
	a.fleet.SetAgentCount(len(ranks))
	l.addresses = make(map[string]string)
	for _, v := range s.ServersOf(service) {
		l.addresses[v.Name()] = v.Agent()
	}
	l.possible = share.ParentsOf(ranks, a.o.Server.Name())
}

// report sends one report to an agent and takes its reply.
func (l *shareLinks) report(ctx context.Context, name, address string) error {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	client, err := l.client(ctx, name, address)
	if err != nil {
		return err
	}
	a := l.a
	a.mu.Lock()
	a.fleet.SetWaiting(a.admission.Teams())
	a.fleet.Tick(a.o.Clock.Now())
	r := a.fleet.Report(name)
	a.mu.Unlock()
	var reply share.Reply
	c := client.Go(peer.Service+".Share", r, &reply, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		return ctx.Err()
	case done := <-c.Done:
		err = done.Error
	}
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fleet.Acknowledge(reply)
	return nil
}

func (l *shareLinks) client(ctx context.Context, name, address string) (*rpc.Client, error) {
	if c, ok := l.clients[name]; ok {
		return c, nil
	}
	c, err := peer.Dial(ctx, address, l.a.o.TLS, l.a.counter)
	if err != nil {
		return nil, err
	}
	l.clients[name] = c
	return c, nil
}

// lead makes the agent the root, or lets the root bring its counters up to date.
func (l *shareLinks) lead() {
	a := l.a
	a.mu.Lock()
	a.fleet.SetWaiting(a.admission.Teams())
	a.fleet.BecomeRoot()
	a.fleet.Tick(a.o.Clock.Now())
	a.mu.Unlock()
	l.settled("")
}

// settled keeps the connection to the parent only and logs a change of it.
func (l *shareLinks) settled(parent string) {
	for name := range l.clients {
		if name != parent {
			l.drop(name)
		}
	}
	if parent != l.parent {
		l.a.o.Logger.Log(event.ShareParent, "parent", parent)
	}
	l.parent = parent
}

func (l *shareLinks) drop(name string) {
	if c, ok := l.clients[name]; ok {
		_ = c.Close()
		delete(l.clients, name)
	}
}

func (l *shareLinks) close() {
	for name := range l.clients {
		l.drop(name)
	}
}

// Share takes the report of an agent further down the tree.
func (c *calls) Share(args share.Report, reply *share.Reply) error {
	a := c.a
	now := a.o.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.fleet == nil {
		return &policyError{Call: "Share"}
	}
	*reply = a.fleet.Receive(now, args)
	return nil
}
