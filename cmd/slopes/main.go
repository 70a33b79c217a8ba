// Command slopes measures how the resource use of routers and agents grows with the size of a site and its load. It
// prints one JSON object per line.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/laburnumring/laburnumring/internal/slopes"
)

func main() {
	app := kingpin.New("slopes", "Measure how the resource use of routers and agents grows.")
	var o slopes.Options
	app.Flag("bin", "Directory with the programs.").Default("bin").StringVar(&o.Bin)
	app.Flag("dir", "Directory for settings and logs.").Default("out/slopes").StringVar(&o.Dir)
	app.Flag("settle", "How long a fleet runs before it is measured.").Default("2s").DurationVar(&o.Settle)
	app.Flag("period", "How long a fleet is measured.").Default("5s").DurationVar(&o.Period)
	only := app.Flag("axis", "Measure this axis only.").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	enc := json.NewEncoder(os.Stdout)
	if err := slopes.Measure(ctx, o, *only, func(s slopes.Slope) error { return enc.Encode(s) }); err != nil {
		fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(1)
	}
}
