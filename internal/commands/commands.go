// Package commands implements the command line of laburnumring: it runs routers and agents, publishes configurations,
// issues keys, gives orders to model engines and evaluates logs.
package commands

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/laburnumring/laburnumring/internal/keys"
	"github.com/laburnumring/laburnumring/internal/publication"
	"github.com/laburnumring/laburnumring/pkg/document"
)

// Exit statuses.
const (
	exitOK     = 0
	exitFailed = 1
	// exitUsage is for wrong arguments, settings and configurations.
	exitUsage = 2
	// exitUndecided is for a publication that may or may not have been accepted.
	exitUndecided = 3
)

// environment holds the process's output streams for a command.
type environment struct {
	stdout io.Writer
	stderr io.Writer
}

// Main runs the command line and returns the exit status.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	env := &environment{stdout: stdout, stderr: stderr}
	app := kingpin.New("laburnumring", "A router fleet for teams that share model and application capacity.")
	app.UsageWriter(stderr)
	app.ErrorWriter(stderr)
	run := make(map[string]func(context.Context) error)
	for _, register := range []func(*kingpin.Application, *environment) (string, func(context.Context) error){
		registerRouter, registerPlatformRouter, registerAgent, registerConfigCheck, registerConfigPublish, registerConfigShow,
		registerKeysAuthority, registerKeysIssue, registerKeysToken, registerStatus, registerVersion,
		registerOrderLease, registerOrderSend, registerExplain, registerShares,
	} {
		name, f := register(app, env)
		run[name] = f
	}
	name, err := app.Parse(args)
	if err != nil {
		fmt.Fprintln(stderr, "laburnumring:", err)
		return exitUsage
	}
	return exitStatus(stderr, run[name](ctx))
}

func exitStatus(stderr io.Writer, err error) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(stderr, "laburnumring:", err)
	var field *document.FieldError
	var file *keys.FileError
	if errors.As(err, &field) || errors.As(err, &file) {
		return exitUsage
	}
	var undecided *publication.UndecidedError
	if errors.As(err, &undecided) {
		return exitUndecided
	}
	return exitFailed
}
