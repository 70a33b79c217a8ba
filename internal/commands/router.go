package commands

import (
	"context"
	"math/rand/v2"

	"github.com/alecthomas/kingpin/v2"

	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/httpserve"
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
			return rejected(env, "router", err)
		}
		bytes := &traffic.Counter{}
		r := router.New(router.Options{
			Name:          s.Name,
			Place:         s.Place,
			SubsetDegree:  s.SubsetDegree,
			Incarnation:   router.NewIncarnation(),
			Clock:         wallclock.New(),
			Log:           platform.NewLog(s.Log, bytes),
			VMs:           platform.NewVMs(s.VMs, bytes),
			LogTraffic:    bytes,
			Logger:        event.NewLogger(env.stderr, s.LogFormat, "router"),
			ShutdownLimit: s.ShutdownLimitMs.Duration(),
			Rand:          rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		})
		return httpserve.Run(ctx, s.Listen, r.Handler(), r.Run)
	}
}
