package commands

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"

	"github.com/laburnumring/laburnumring/internal/configuration"
	"github.com/laburnumring/laburnumring/internal/platform"
	"github.com/laburnumring/laburnumring/internal/traffic"
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
	from := cmd.Flag("from", "The version that the change was made from; the current one when not given.").Default("-1").Int64()
	limit := cmd.Flag("timeout", "How long to try.").Default("30s").Duration()
	file := cmd.Arg("file", "The configuration file.").Required().String()
	return cmd.FullCommand(), func(ctx context.Context) error {
		text, _, err := readSite(*file)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, *limit)
		defer cancel()
		p := configuration.NewPublisher(platform.NewLog(*address, &traffic.Counter{}), publishPause)
		version, err := p.Publish(ctx, uuid.NewString(), *from, text)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(env.stdout, "version %d accepted\n", version)
		return err
	}
}

func registerConfigShow(app *kingpin.Application, env *environment) (string, func(context.Context) error) {
	cmd := configCommand(app).Command("show", "Print the configuration that the platform's log holds.")
	address := cmd.Flag("log", "The IP address and port of the platform's log.").Required().String()
	return cmd.FullCommand(), func(ctx context.Context) error {
		p := configuration.NewPublisher(platform.NewLog(*address, &traffic.Counter{}), publishPause)
		r, err := p.Current(ctx)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(env.stdout, "# version %d\n%s", r.Version, r.Text)
		return err
	}
}

// publishPause is the time between two tries to reach the log.
const publishPause = 200 * time.Millisecond

func configCommand(app *kingpin.Application) *kingpin.CmdClause {
	if c := app.GetCommand("config"); c != nil {
		return c
	}
	return app.Command("config", "Check, publish and show the site's configuration.")
}

func readSite(file string) (string, *site.Site, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return "", nil, fmt.Errorf("read configuration: %w", err)
	}
	s, err := site.Parse(file, data)
	return string(data), s, err
}
