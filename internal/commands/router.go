package commands

import (
	"context"
	"crypto/tls"
	"math/rand/v2"

	"github.com/alecthomas/kingpin/v2"

	"github.com/laburnumring/laburnumring/internal/caller"
	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/httpserve"
	"github.com/laburnumring/laburnumring/internal/incarnation"
	"github.com/laburnumring/laburnumring/internal/keys"
	"github.com/laburnumring/laburnumring/internal/platform"
	"github.com/laburnumring/laburnumring/internal/router"
	"github.com/laburnumring/laburnumring/internal/settings"
	"github.com/laburnumring/laburnumring/internal/traffic"
	"github.com/laburnumring/laburnumring/internal/wallclock"
)

func registerRouter(app *kingpin.Application, env *environment) (string, func(context.Context) error) {
	cmd := app.Command("router", "Run a router on an entry VM.")
	file := cmd.Flag("settings", "The router's settings file.").Required().String()
	return cmd.FullCommand(), func(ctx context.Context) error {
		s, err := settings.ReadRouter(*file)
		if err != nil {
			return logRejectedSettings(env, "router", err)
		}
		logger := event.NewLogger(env.stderr, s.LogFormat, "router")
		sec, err := newSecurity(logger, s.TLS)
		if err != nil {
			return err
		}
		callers, err := callerTLS(sec, s.CallerTLS)
		if err != nil {
			return err
		}
		bytes := &traffic.Counter{}
		r := router.New(router.Options{
			Name:          s.Name,
			Place:         s.Place,
			SubsetDegree:  s.SubsetDegree,
			Policy:        s.Policy,
			Incarnation:   incarnation.New(),
			Clock:         wallclock.New(),
			Log:           platform.NewLog(s.Log, bytes),
			VMs:           platform.NewVMs(s.VMs, bytes),
			Seeds:         s.Seeds,
			LogTraffic:    bytes,
			Logger:        logger,
			TLS:           sec.client(keys.Agent),
			CallerAuth:    callerMode(s.CallerAuth),
			Gate:          sec.authorizer,
			HideMetrics:   s.ControlListen != "",
			Refusals:      sec.refusals,
			Collectors:    sec.collectors(),
			ShutdownLimit: s.ShutdownLimitMs.Duration(),
			Rand:          rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		})
		listeners := []httpserve.Listener{{
			Address: s.Listen, Handler: r.Handler(), TLS: callers, Refusals: sec.refusals,
		}}
		if s.ControlListen != "" {
			listeners = append(listeners, httpserve.Listener{
				Address:  s.ControlListen,
				Handler:  r.ControlHandler(),
				TLS:      sec.server(keys.Operator),
				Refusals: sec.refusals,
			})
		}
		return httpserve.Serve(ctx, sec.withKeyWatch(r.Run), listeners...)
	}
}

func callerMode(a settings.Auth) caller.Mode {
	if a == settings.HeaderAuth {
		return caller.TeamHeader
	}
	return caller.Credentials
}

// callerTLS returns the configuration of the callers' listener, nil for plain HTTP. Callers without a certificate
// may connect but have to authenticate by a token.
func callerTLS(sec *security, t *settings.TLS) (*tls.Config, error) {
	if t == nil {
		return nil, nil
	}
	k, err := sec.load(*t)
	if err != nil {
		return nil, err
	}
	return k.Server(false, keys.Team), nil
}
