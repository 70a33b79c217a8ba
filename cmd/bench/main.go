// Command bench compares the latency and throughput of requests through a router and an agent with those of requests
// sent directly to a backend server. It prints one JSON object per line.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/laburnumring/laburnumring/internal/bench"
)

func main() {
	app := kingpin.New("bench", "Compare requests through a router and an agent with requests sent directly to a server.")
	var o bench.Options
	app.Flag("bin", "Directory with the programs.").Default("bin").StringVar(&o.Bin)
	app.Flag("dir", "Directory for settings and logs.").Default("out/bench").StringVar(&o.Dir)
	app.Flag("tls", "Use mutual TLS between router and agent.").BoolVar(&o.TLS)
	app.Flag("period", "How long each measurement lasts.").Default("3s").DurationVar(&o.Period)
	app.Flag("rounds", "How many times each measurement is repeated.").Default("3").IntVar(&o.Rounds)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	enc := json.NewEncoder(os.Stdout)
	if err := bench.Run(ctx, o, func(r bench.Result) error { return enc.Encode(r) }); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}
