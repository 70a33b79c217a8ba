package commands

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"
)

// Version is the version of the program.
const Version = "0.1.0-dev"

func registerVersion(app *kingpin.Application, env *environment) (string, func(context.Context) error) {
	cmd := app.Command("version", "Print the program's version.")
	return cmd.FullCommand(), func(context.Context) error {
		_, err := fmt.Fprintln(env.stdout, "laburnumring", Version)
		return err
	}
}
