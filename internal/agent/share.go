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
	// shareTimeout limits the time for connecting to another agent and sending it one report.
	shareTimeout = 300 * time.Millisecond
)

// newOrder returns the team order of the agent's policy. The second result is the same order when the policy is
// fleet-wide, and nil otherwise.
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
		MaxCounterLead: a.o.MaxCounterLead,
		OnViolation:    func(what string) { a.o.Logger.Log(event.InvariantBroken, "what", what) },
	})
	return f, f
}

// shareReporter sends the agent's fair-share reports to its parent in the tree of the service's agents. It is used
// by one goroutine.
type shareReporter struct {
	a       *Agent
	parents *share.ParentBackoff
	// clients holds open connections by the name of the agent's server.
	clients map[string]*rpc.Client
	// version is the configuration version that candidates and addresses come from.
	version int64
	// candidates names the agents that may be the parent, the preferred one first.
	candidates []string
	// addresses holds the addresses of the service's agents, by server name.
	addresses map[string]string
	// parent is the agent that accepted the last report; empty at the root.
	parent string
}

// shareLoop sends a report every share period until ctx ends.
func (a *Agent) shareLoop(ctx context.Context) {
	if a.fleet == nil {
		return
	}
	l := &shareReporter{a: a, parents: share.NewParentBackoff(), clients: make(map[string]*rpc.Client)}
	defer l.close()
	interval.Every(ctx, a.o.SharePeriod, func() { l.step(ctx) })
}

// step reports to the first candidate that answers. When none does, the agent acts as the root.
func (sr *shareReporter) step(ctx context.Context) {
	sr.updateCandidates()
	for _, name := range sr.parents.Due(sr.a.o.Clock.Now(), sr.candidates) {
		if sr.report(ctx, name, sr.addresses[name]) == nil {
			sr.parents.Answered(name)
			sr.setParent(name)
			return
		}
		if ctx.Err() != nil {
			return
		}
		sr.closeClient(name)
		sr.parents.Failed(sr.a.o.Clock.Now(), name)
	}
	sr.actAsRoot()
}

// updateCandidates derives the possible parents from the configuration in force.
func (sr *shareReporter) updateCandidates() {
	a := sr.a
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.board.Site()
	if s == nil || sr.version == a.board.Version() {
		return
	}
	sr.version = a.board.Version()
	service := a.o.Server.Service()
	ranks := share.RankedServers(s, service)
	a.fleet.SetAgentCount(len(ranks))
	sr.addresses = make(map[string]string)
	for _, v := range s.ServersOf(service) {
		sr.addresses[v.Name()] = v.Agent()
	}
	sr.candidates = share.ParentsOf(ranks, a.o.Server.Name())
}

// report sends one report to an agent and applies its reply.
func (sr *shareReporter) report(ctx context.Context, name, address string) error {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	client, err := sr.client(ctx, name, address)
	if err != nil {
		return err
	}
	a := sr.a
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

func (sr *shareReporter) client(ctx context.Context, name, address string) (*rpc.Client, error) {
	if c, ok := sr.clients[name]; ok {
		return c, nil
	}
	c, err := peer.Dial(ctx, address, sr.a.o.TLS, sr.a.counter)
	if err != nil {
		return nil, err
	}
	sr.clients[name] = c
	return c, nil
}

// actAsRoot makes the agent the root of the tree, if it is not yet, and updates the root's counters.
func (sr *shareReporter) actAsRoot() {
	a := sr.a
	a.mu.Lock()
	a.fleet.SetWaiting(a.admission.Teams())
	a.fleet.BecomeRoot()
	a.fleet.Tick(a.o.Clock.Now())
	a.mu.Unlock()
	sr.setParent("")
}

// setParent records the parent, closes the connections to other agents and logs a change of parent.
func (sr *shareReporter) setParent(parent string) {
	for name := range sr.clients {
		if name != parent {
			sr.closeClient(name)
		}
	}
	if parent != sr.parent {
		sr.a.o.Logger.Log(event.ShareParent, "parent", parent)
	}
	sr.parent = parent
}

func (sr *shareReporter) closeClient(name string) {
	if c, ok := sr.clients[name]; ok {
		_ = c.Close()
		delete(sr.clients, name)
	}
}

func (sr *shareReporter) close() {
	for name := range sr.clients {
		sr.closeClient(name)
	}
}

// Share applies the report of an agent further down the tree. It returns a *policyError unless the policy is
// fleet-wide.
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
