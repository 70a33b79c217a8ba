package router

import (
	"context"
	"math/rand/v2"
	"net/rpc"
	"time"

	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/interval"
	"github.com/laburnumring/laburnumring/internal/peer"
)

const (
	// maxPushDelay limits the random delay before the router sends an agent a newer configuration. Another
	// router may have sent it by then.
	maxPushDelay = 300 * time.Millisecond
	// syncRetryDelay is the delay after a failed synchronisation with an agent.
	syncRetryDelay = 5 * time.Second
	// seedRetryDelay is the delay between two rounds of queries to the seeds.
	seedRetryDelay = 1 * time.Second
)

// versionReceived records the agent's configuration version and wakes syncLoop if it differs from the router's.
// It must be called with the router's mu held.
func (l *link) versionReceived(version int64) {
	l.agentVersion = version
	l.signalIfVersionsDiffer()
}

// signalIfVersionsDiffer wakes syncLoop if router and agent have different configuration versions. It must be
// called with the router's mu held.
func (l *link) signalIfVersionsDiffer() {
	if !l.sessionOpen || l.agentVersion == l.r.board.Version() {
		return
	}
	select {
	case l.versionsDiffer <- struct{}{}:
	default:
	}
}

// syncLoop keeps the configurations of router and agent the same until ctx ends: the one with the older version
// receives the newer.
func (l *link) syncLoop(ctx context.Context, client *rpc.Client) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.versionsDiffer:
		}
		if err := l.syncConfiguration(ctx, client); err != nil && ctx.Err() == nil {
			l.r.o.Logger.Log(event.ConfigNotExchanged, "server", l.server, "error", err)
			interval.Sleep(ctx, syncRetryDelay)
		}
	}
}

func (l *link) syncConfiguration(ctx context.Context, client *rpc.Client) error {
	if agent, router := l.versions(); agent < router {
		interval.Sleep(ctx, rand.N(maxPushDelay))
	}
	agent, router := l.versions()
	switch {
	case agent > router:
		return l.r.fetchConfiguration(ctx, client, l.server)
	case agent < router:
		return l.pushConfiguration(ctx, client)
	default:
		return nil
	}
}

func (l *link) versions() (agent, router int64) {
	l.r.mu.Lock()
	defer l.r.mu.Unlock()
	return l.agentVersion, l.r.board.Version()
}

func (l *link) pushConfiguration(ctx context.Context, client *rpc.Client) error {
	l.r.mu.Lock()
	s := l.r.config.State()
	l.r.mu.Unlock()
	args, err := peer.NewConfiguration(s)
	if err != nil {
		return err
	}
	var reply peer.AdoptConfigurationReply
	if err := callAgent(ctx, client, "AdoptConfiguration", args, &reply); err != nil {
		return err
	}
	l.r.mu.Lock()
	defer l.r.mu.Unlock()
	l.versionReceived(reply.Version)
	return nil
}

// fetchConfiguration fetches the configuration that an agent holds and adopts it. Only one fetch runs at a time.
func (r *Router) fetchConfiguration(ctx context.Context, client *rpc.Client, source string) error {
	r.fetchMu.Lock()
	defer r.fetchMu.Unlock()
	var reply peer.Configuration
	if err := callAgent(ctx, client, "Configuration", peer.ConfigurationArgs{}, &reply); err != nil {
		return err
	}
	s, err := reply.State()
	if err != nil {
		return err
	}
	return r.follower.Adopt(s, source)
}

// signalVersionDifferences makes every link compare the configuration versions again. It must be called with mu
// held.
func (r *Router) signalVersionDifferences() {
	for _, l := range r.links {
		l.signalIfVersionsDiffer()
	}
}

// seedLoop queries the seeds until the router has a configuration.
func (r *Router) seedLoop(ctx context.Context) {
	for ctx.Err() == nil && r.version() == 0 {
		for _, i := range rand.Perm(len(r.o.Seeds)) {
			if r.version() == 0 {
				r.fetchFromSeed(ctx, r.o.Seeds[i])
			}
		}
		interval.Sleep(ctx, seedRetryDelay)
	}
}

// fetchFromSeed adopts the configuration of the agent at address. Errors are not returned: the next round
// queries the seed again.
func (r *Router) fetchFromSeed(ctx context.Context, address string) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	client, err := peer.Dial(dialCtx, address, r.o.TLS, r.peerTraffic)
	if err != nil {
		return
	}
	defer func() { _ = client.Close() }()
	if err := r.fetchConfiguration(ctx, client, address); err != nil {
		r.o.Logger.Log(event.ConfigNotExchanged, "seed", address, "error", err)
	}
}
