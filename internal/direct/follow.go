package direct

import (
	"context"
	"time"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/interval"
)

// followConfiguration keeps the configuration in force up to date.
func (r *Router) followConfiguration(ctx context.Context) {
	reachable := true
	known := false
	for ctx.Err() == nil {
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
		if ok := err == nil; ok != reachable {
			reachable = ok
			r.logReachable(event.LogReachable, event.LogUnreachable, err)
		}
		if err != nil {
			interval.Sleep(ctx, retryPause)
			continue
		}
		if changed {
			r.configure(t, "platform")
		}
	}
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
		began := time.Now()
		l, err := r.o.Servers.Servers(ctx)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			r.listFailed(err)
			interval.Sleep(ctx, retryPause)
			continue
		}
		r.setServers(l)
		interval.Sleep(ctx, listInterval-time.Since(began))
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

func (r *Router) setServers(l laburnumring.ServerList) {
	r.mu.Lock()
	defer r.mu.Unlock()
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
