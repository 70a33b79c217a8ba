package commands

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/joomcode/errorx"

	"github.com/laburnumring/laburnumring/internal/explain"
)

func registerExplain(app *kingpin.Application, env *environment) (string, func(context.Context) error) {
	cmd := app.Command("explain", "Print the log lines about a request, sorted by time.")
	id := cmd.Arg("id", "The request's id.").Required().String()
	files := cmd.Arg("file", "Logs of the processes that may have handled it, in logfmt.").Required().Strings()
	return cmd.FullCommand(), func(context.Context) error {
		lines, err := readLogs(*files)
		if err != nil {
			return err
		}
		selected := explain.RequestLines(lines, *id)
		if len(selected) == 0 {
			return fmt.Errorf("none of %d log lines has the request id %q", len(lines), *id)
		}
		return explain.Write(env.stdout, selected)
	}
}

func readLogs(names []string) ([]explain.Line, error) {
	var lines []explain.Line
	for _, name := range names {
		more, err := readLog(name)
		if err != nil {
			return nil, err
		}
		lines = append(lines, more...)
	}
	return lines, nil
}

func readLog(name string) ([]explain.Line, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, errorx.Decorate(err, "read log")
	}
	defer func() { _ = f.Close() }()
	return explain.Read(name, f)
}
