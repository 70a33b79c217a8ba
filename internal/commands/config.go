package commands

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"
	"github.com/joomcode/errorx"

	"github.com/laburnumring/laburnumring/internal/platform"
	"github.com/laburnumring/laburnumring/internal/publication"
	"github.com/laburnumring/laburnumring/internal/traffic"
	"github.com/laburnumring/laburnumring/internal/wallclock"
	"github.com/laburnumring/laburnumring/pkg/site"
)

func registerConfigCheck(app *kingpin.Application, env *environment) (string, func(context.Context) error) {
	cmd := configCommand(app).Command("check", "Check a configuration file.")
	file := cmd.Arg("file", "The configuration file.").Required().String()
	return cmd.FullCommand(), func(context.Context) error {
		_, s, err := readSite(*file)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(env.stdout, "%s: %d teams, %d services, %d places, %d servers\n",
			s.Name(), len(s.Teams()), len(s.Services()), len(s.Places()), len(s.Servers()))
		return err
	}
}

func registerConfigPublish(app *kingpin.Application, env *environment) (string, func(context.Context) error) {
	cmd := configCommand(app).Command("publish", "Publish a configuration on the platform's log.")
	address := cmd.Flag("log", "The IP address and port of the platform's log.").Required().String()
	from := cmd.Flag("from", "The version that the change is based on; the current one when not given.").
		Default("-1").Int64()
	restore := cmd.Flag("restore", "Put a version in force on a log that has lost its state.").Bool()
	limit := cmd.Flag("timeout", "How long to try.").Default("45s").Duration()
	file := cmd.Arg("file", "The configuration file.").Required().String()
	return cmd.FullCommand(), func(ctx context.Context) error {
		text, _, err := readSite(*file)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, *limit)
		defer cancel()
		o := publication.Options{ID: uuid.NewString(), From: *from, Text: text}
		if *restore {
			o.Restore = time.Now().UnixMilli()
		}
		version, err := newPublisher(*address).Publish(ctx, o)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(env.stdout, "version %d accepted\n", version)
		return err
	}
}

func registerConfigShow(app *kingpin.Application, env *environment) (string, func(context.Context) error) {
	cmd := configCommand(app).Command("show", "Print the configuration in force according to the platform's log.")
	address := cmd.Flag("log", "The IP address and port of the platform's log.").Required().String()
	limit := cmd.Flag("timeout", "How long to try.").Default("45s").Duration()
	return cmd.FullCommand(), func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, *limit)
		defer cancel()
		s, err := newPublisher(*address).State(ctx)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(env.stdout, "# version %d\n%s", s.Version, s.Text)
		return err
	}
}

func newPublisher(address string) *publication.Publisher {
	return publication.NewPublisher(platform.NewLog(address, &traffic.Counter{}), wallclock.New(), publishRetryInterval)
}

// publishRetryInterval is the pause between two attempts to reach the log.
const publishRetryInterval = 200 * time.Millisecond

func configCommand(app *kingpin.Application) *kingpin.CmdClause {
	if c := app.GetCommand("config"); c != nil {
		return c
	}
	return app.Command("config", "Check, publish and show the site's configuration.")
}

func readSite(file string) (string, *site.Site, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return "", nil, errorx.Decorate(err, "read configuration")
	}
	s, err := site.Parse(file, data)
	return string(data), s, err
}
