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
	// handOverDelay is the longest wait before an agent is given a newer configuration; other routers may be
	// faster.
	handOverDelay = 300 * time.Millisecond
	// levelPause is the time after a failed exchange before the next one.
	levelPause = 5 * time.Second
	// seedPause is the time between two rounds of asking the seeds.
	seedPause = 1 * time.Second
)

// heard records an agent's configuration version and lets the link compare it; callers hold the router's mu.
func (l *link) heard(version int64) {
	l.version = version
	l.compareVersions()
}

// compareVersions makes the link level the two versions if they differ; callers hold the router's mu.
func (l *link) compareVersions() {
	if !l.open || l.version == l.r.board.Version() {
		return
	}
	select {
	case l.differs <- struct{}{}:
	default:
	}
}

// levelVersions fetches a newer configuration from the agent, or hands it a newer one, until ctx ends.
func (l *link) levelVersions(ctx context.Context, client *rpc.Client) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.differs:
		}
		if err := l.level(ctx, client); err != nil && ctx.Err() == nil {
			l.r.o.Logger.Log(event.ConfigNotLeveled, "server", l.server, "error", err)
			interval.Sleep(ctx, levelPause)
		}
	}
}

func (l *link) level(ctx context.Context, client *rpc.Client) error {
	if theirs, ours := l.versions(); theirs < ours {
		interval.Sleep(ctx, rand.N(handOverDelay))
	}
	theirs, ours := l.versions()
	switch {
	case theirs > ours:
		return l.r.fetchConfiguration(ctx, client, l.server)
	case theirs < ours:
		return l.handOver(ctx, client)
	default:
		return nil
	}
}

func (l *link) versions() (theirs, ours int64) {
	l.r.mu.Lock()
	defer l.r.mu.Unlock()
	return l.version, l.r.board.Version()
}

func (l *link) handOver(ctx context.Context, client *rpc.Client) error {
	l.r.mu.Lock()
	s := l.r.config.State()
	l.r.mu.Unlock()
	args, err := peer.NewConfiguration(s)
	if err != nil {
		return err
	}
	var reply peer.AdoptConfigurationReply
	if err := invoke(ctx, client, "AdoptConfiguration", args, &reply); err != nil {
		return err
	}
	l.r.mu.Lock()
	defer l.r.mu.Unlock()
	l.heard(reply.Version)
	return nil
}

// fetchConfiguration adopts the state that an agent holds. One fetch is under way at a time.
func (r *Router) fetchConfiguration(ctx context.Context, client *rpc.Client, source string) error {
	r.fetching.Lock()
	defer r.fetching.Unlock()
	var reply peer.Configuration
	if err := invoke(ctx, client, "Configuration", peer.ConfigurationArgs{}, &reply); err != nil {
		return err
	}
	s, err := reply.State()
	if err != nil {
		return err
	}
	return r.follower.Adopt(s, source)
}

// compareVersions lets every link compare the versions again; callers hold mu.
func (r *Router) compareVersions() {
	for _, l := range r.links {
		l.compareVersions()
	}
}

// seedLoop asks the seeds for a configuration until the router has one.
func (r *Router) seedLoop(ctx context.Context) {
	for ctx.Err() == nil && r.version() == 0 {
		for _, i := range rand.Perm(len(r.o.Seeds)) {
			if r.version() == 0 {
				r.askSeed(ctx, r.o.Seeds[i])
			}
		}
		interval.Sleep(ctx, seedPause)
	}
}

// askSeed adopts what the agent at address holds. A seed that does not answer is asked again in the next round.
func (r *Router) askSeed(ctx context.Context, address string) {
	dial, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	client, err := peer.Dial(dial, address, r.o.TLS, r.counter)
	if err != nil {
		return
	}
	defer func() { _ = client.Close() }()
	if err := r.fetchConfiguration(ctx, client, address); err != nil {
		r.o.Logger.Log(event.ConfigNotLeveled, "seed", address, "error", err)
	}
}
