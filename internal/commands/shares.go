package commands

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/alecthomas/kingpin/v2"

	"github.com/laburnumring/laburnumring/internal/margin"
)

func registerShares(app *kingpin.Application, env *environment) (string, func(context.Context) error) {
	cmd := app.Command("shares", "Print each team's six seconds with the smallest part of its entitlement, one JSON object per line.")
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
			return errors.New("no team had a refused or late request in each of six consecutive seconds")
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
