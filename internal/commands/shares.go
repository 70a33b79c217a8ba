package commands

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/alecthomas/kingpin/v2"

	"github.com/laburnumring/laburnumring/internal/margin"
)

func registerShares(app *kingpin.Application, env *environment) (string, func(context.Context) error) {
	cmd := app.Command("shares", "Print each team's worst six seconds by the routers' logs, one JSON object a line.")
	files := cmd.Arg("file", "Logs of all routers, in logfmt.").Required().Strings()
	return cmd.FullCommand(), func(context.Context) error {
		lines, err := readLogs(*files)
		if err != nil {
			return err
		}
		l := margin.New()
		l.Read(lines)
		spans := l.Worst()
		if len(spans) == 0 {
			return errors.New("no team was refused in six seconds in a row")
		}
		out := json.NewEncoder(env.stdout)
		for _, s := range spans {
			if err := out.Encode(s); err != nil {
				return err
			}
		}
		return nil
	}
}
