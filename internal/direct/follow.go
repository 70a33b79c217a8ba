package direct

import (
	"context"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/interval"
	"github.com/laburnumring/laburnumring/internal/readshare"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// followConfiguration keeps the configuration in force up to date.
func (r *Router) followConfiguration(ctx context.Context) {
	reachable := true
	// known says that the last read succeeded, so that the next one can wait for a change.
	known := false
	for ctx.Err() == nil {
		if !r.mayRead(ctx, r.configurationReads) {
			known = false
			continue
		}
		var t laburnumring.ConfigurationText
		var err error
		changed := true
		if known {
			t, changed, err = r.o.Configurations.Next(ctx)
		} else {
			t, err = r.o.Configurations.Newest(ctx)
		}
		if ctx.Err() != nil {
			return
		}
		known = err == nil
		if known != reachable {
			reachable = known
			r.logReachable(event.LogReachable, event.LogUnreachable, err)
		}
		if err != nil {
			interval.Sleep(ctx, retryPause)
			continue
		}
		if changed {
			r.configure(t, "platform")
		}
		r.mu.Lock()
		r.configurationReads.Read(r.o.Clock.Now())
		r.mu.Unlock()
	}
}

// mayRead reports whether it is time for an own read. It waits a little when it is not.
func (r *Router) mayRead(ctx context.Context, s *readshare.Share) bool {
	now := r.o.Clock.Now()
	r.mu.Lock()
	wait := s.Wait(now)
	if wait == 0 {
		s.Tried(now)
	}
	r.mu.Unlock()
	if wait == 0 {
		return true
	}
	interval.Sleep(ctx, min(wait.Duration(), maxReadWait))
	return false
}

func (r *Router) logReachable(up, down event.Event, err error) {
	if err == nil {
		r.o.Logger.Log(up)
		return
	}
	r.o.Logger.Log(down, "error", err)
}

// configure puts a configuration in force unless a newer one is.
func (r *Router) configure(t laburnumring.ConfigurationText, source string) {
	if len(t.Text) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.Version <= r.text.Version {
		return
	}
	table, err := r.o.Decode(t.Text)
	if err != nil {
		r.o.Logger.Log(event.ConfigurationBad, "version", t.Version, "source", source, "in_force", r.text.Version,
			"error", err)
		return
	}
	r.text = t
	r.table.Store(table)
	r.intake.Configure(table)
	r.o.Logger.Log(event.ConfigurationLive, "version", t.Version, "source", source)
	r.decide()
}

// followServers keeps the list of backend servers up to date.
func (r *Router) followServers(ctx context.Context) {
	for ctx.Err() == nil {
		if !r.mayRead(ctx, r.listReads) {
			continue
		}
		began := r.o.Clock.Now()
		l, err := r.o.Servers.Servers(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			r.listFailed(err)
			interval.Sleep(ctx, retryPause)
			continue
		}
		r.setServers(l, began)
	}
}

func (r *Router) listFailed(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listed = false
	if r.roster.Failed() {
		r.o.Logger.Log(event.ListUnreachable, "revision", r.roster.Revision(), "error", err)
	}
}

// setServers takes a list whose read began at the given time.
func (r *Router) setServers(l laburnumring.ServerList, began clock.Millis) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listReads.Read(began)
	if !r.listed {
		r.listed = true
		r.o.Logger.Log(event.ListReachable, "revision", l.Revision)
	}
	if r.roster.Take(r.o.Clock.Now(), l) {
		r.serversChanged("platform")
	}
}

// serversChanged tells the decisions of a change; callers hold mu.
func (r *Router) serversChanged(source string) {
	ready := r.roster.Servers()
	r.intake.SetServers(ready)
	r.o.Logger.Log(event.ServersChanged, "revision", r.roster.Revision(), "ready", len(ready), "source", source)
	r.decide()
}
