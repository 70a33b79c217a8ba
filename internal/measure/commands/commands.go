// Package commands is the command line of the measurement.
package commands

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/measure"
)

const (
	firstPort = 31000
	portCount = 1700
	// runLimit ends a measurement that hangs.
	runLimit = 14 * time.Minute
)

// Main runs the command line and returns the exit status.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, runLimit)
	defer cancel()
	if err := run(ctx, args, stdout, stderr); err != nil {
		fmt.Fprintln(stderr, "measure:", err)
		return 1
	}
	return 0
}

func run(ctx context.Context, args []string, stdout, stderr io.Writer) error {
	app := kingpin.New("measure", "Compare the policies of laburnumring on loopback.")
	app.UsageWriter(stderr)
	app.ErrorWriter(stderr)
	var o measure.Options
	app.Flag("bin", "Directory with the programs.").Default("bin").StringVar(&o.Bin)
	app.Flag("dir", "Directory for settings, logs and series.").Default("out/measure").StringVar(&o.Dir)
	app.Flag("length", "Length of one run's load.").Default("8s").DurationVar(&o.Length)
	app.Flag("seed", "Seed of the arrivals.").Default("1").Uint64Var(&o.Seed)
	app.Flag("agent-settings", "Further lines of the agents' settings files.").
		Default("share: {lead_units: 512}").StringVar(&o.AgentSettings)
	app.Flag("scenario", "A scenario to run; may be repeated; all by default.").StringsVar(&o.Scenarios)
	policies := app.Flag("policy", "A policy to run; may be repeated; all by default.").Strings()
	sites := app.Flag("site", "A site to run; may be repeated; all by default.").Strings()
	if _, err := app.Parse(args); err != nil {
		return err
	}
	choose(&o, *policies, *sites)
	o.Ports = measure.NewPorts(firstPort, portCount)
	return measure.New(o, stdout).Run(ctx)
}

// choose fills in what the command line left open.
func choose(o *measure.Options, policies, sites []string) {
	if len(o.Scenarios) == 0 {
		for _, s := range measure.Scenarios(o.Length) {
			o.Scenarios = append(o.Scenarios, s.Name)
		}
	}
	for _, p := range laburnumring.Policies() {
		if len(policies) == 0 || slices.Contains(policies, string(p)) {
			o.Policies = append(o.Policies, p)
		}
	}
	for _, s := range measure.Sites() {
		if len(sites) == 0 || slices.Contains(sites, s.Name()) {
			o.Sites = append(o.Sites, s)
		}
	}
}
