package commands

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/agent"
	"github.com/laburnumring/laburnumring/internal/backend"
	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/httpserve"
	"github.com/laburnumring/laburnumring/internal/incarnation"
	"github.com/laburnumring/laburnumring/internal/keys"
	"github.com/laburnumring/laburnumring/internal/platform"
	"github.com/laburnumring/laburnumring/internal/settings"
	"github.com/laburnumring/laburnumring/internal/traffic"
	"github.com/laburnumring/laburnumring/internal/wallclock"
	"github.com/laburnumring/laburnumring/pkg/server"
	"github.com/laburnumring/laburnumring/pkg/service"
)

func registerAgent(app *kingpin.Application, env *environment) (string, func(context.Context) error) {
	cmd := app.Command("agent", "Run the agent of a backend server, on the same VM.")
	file := cmd.Flag("settings", "The agent's settings file.").Required().String()
	return cmd.FullCommand(), func(ctx context.Context) error {
		s, err := settings.ReadAgent(*file)
		if err != nil {
			return logRejectedSettings(env, "agent", err)
		}
		logger := event.NewLogger(env.stderr, s.LogFormat, "agent")
		sec, err := newSecurity(logger, s.TLS)
		if err != nil {
			return err
		}
		bytes := &traffic.Counter{}
		a, err := agent.New(agent.Options{
			Server: server.New(s.Server, server.Options{
				Service: s.Service, Place: s.Place, Address: s.ServerAddress, Agent: s.Listen, Slots: s.Slots,
			}),
			Kind:           s.Kind,
			Policy:         s.Policy,
			TokenTarget:    s.TokenTargetMs,
			SharePeriod:    s.Share.PeriodMs.Duration(),
			MaxCounterLead: s.Share.LeadUnits,
			Incarnation:    incarnation.New(),
			Clock:          wallclock.New(),
			Log:            platform.NewLog(s.Log, bytes),
			Backend:        newBackend(s),
			LogTraffic:     bytes,
			LogRetention:   s.LogRetentionMs,
			Logger:         logger,
			TLS:            sec.client(keys.Agent),
			Gate:           sec.authorizer,
			Refusals:       sec.refusals,
			Collectors:     sec.collectors(),
			ShutdownLimit:  s.ShutdownLimitMs.Duration(),
		})
		if err != nil {
			return err
		}
		return httpserve.Serve(ctx, sec.withKeyWatch(a.Run), httpserve.Listener{
			Address:  s.Listen,
			Handler:  a.Handler(),
			TLS:      sec.server(keys.Router, keys.Agent, keys.Operator),
			Refusals: sec.refusals,
		})
	}
}

func newBackend(s settings.Agent) laburnumring.Backend {
	if s.Kind == service.Plain {
		return backend.NewPlain(s.ServerAddress)
	}
	return backend.NewModel(s.ServerAddress)
}
