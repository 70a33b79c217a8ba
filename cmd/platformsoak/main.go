// Command platformsoak runs routers as processes on loopback under random faults and checks invariants. It prints one
// JSON object per seed and then their sum, and exits with status 1 when an invariant was violated.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/alecthomas/kingpin/v2"

	"github.com/laburnumring/laburnumring/platform/soak"
)

func main() {
	app := kingpin.New("platformsoak", "Run routers as processes under random faults and check invariants.")
	program := app.Flag("program", "The laburnumring program.").Default("target/laburnumring").String()
	dir := app.Flag("dir", "Directory for logs, with one subdirectory per seed.").Default("out/platformsoak").String()
	seeds := app.Flag("seeds", "How many seeds to run.").Default("1").Uint64()
	seedStart := app.Flag("seed-start", "The first seed.").Default("1").Uint64()
	routers := app.Flag("routers", "How many routers run.").Default("3").Int()
	callers := app.Flag("callers", "How many callers send requests concurrently.").Default("8").Int()
	faulty := app.Flag("faulty", "How long faults are injected.").Default("6s").Duration()
	leaving := app.Flag("leaving", "Let servers leave one after the other while faults hit single routers.").Bool()
	lapsing := app.Flag("lapsing", "The same, with outages of the store during which entries expire.").Bool()
	flooding := app.Flag("flooding", "Let two teams flood one router each; one of the routers gets little processor time.").Bool()
	crashing := app.Flag("crashing", "Let a prompt part crash engines and servers name limits while faults hit single routers.").Bool()
	releasing := app.Flag("releasing", "Let engines start again at other software versions while all routers are killed at once.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	os.Exit(runSeeds(*dir, *seedStart, *seeds, soak.Options{
		Program: *program, Routers: *routers, Callers: *callers, FaultTime: *faulty, Leaving: *leaving, Expiring: *lapsing,
		Flooding: *flooding, Crashing: *crashing, Releasing: *releasing,
	}))
}

// runSeeds runs the seeds one after the other and returns the exit status.
func runSeeds(dir string, start, seeds uint64, o soak.Options) int {
	out := json.NewEncoder(os.Stdout)
	sum := soak.Counts{}
	for seed := start; seed < start+seeds; seed++ {
		logs := filepath.Join(dir, fmt.Sprint(seed))
		err := os.MkdirAll(logs, 0o700)
		var c soak.Counts
		if err == nil {
			o.Dir, o.Seed = logs, seed
			o.OnBroken = func(promise, detail string) {
				fmt.Fprintf(os.Stderr, "seed %d: %s: %s\n", seed, promise, detail)
			}
			c, err = soak.Run(o)
		}
		if err == nil {
			err = out.Encode(c)
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, "platformsoak:", err)
			return 1
		}
		sum.Faults += c.Faults
		sum.Requests += c.Requests
		sum.Whole += c.Whole
		sum.Refused += c.Refused
		sum.Failed += c.Failed
		sum.Checks += c.Checks
		sum.Broken += c.Broken
	}
	if err := out.Encode(sum); err != nil || sum.Broken > 0 {
		return 1
	}
	return 0
}
