// Command platformsoak runs routers as processes on loopback under random faults and prints one JSON object a seed. It
// exits with status 1 when a promise was broken.
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
	app := kingpin.New("platformsoak", "Runs routers as processes under random faults and checks what they promise.")
	program := app.Flag("program", "The laburnumring program.").Default("target/laburnumring").String()
	dir := app.Flag("dir", "Where logs go, a folder a seed.").Default("out/platformsoak").String()
	seeds := app.Flag("seeds", "How many seeds to play.").Default("1").Uint64()
	start := app.Flag("seed-start", "The first seed.").Default("1").Uint64()
	routers := app.Flag("routers", "How many routers run.").Default("3").Int()
	callers := app.Flag("callers", "How many callers send at a time.").Default("8").Int()
	faulty := app.Flag("faulty", "How long faults are made.").Default("6s").Duration()
	leaving := app.Flag("leaving", "Let servers leave one after the other while single routers are disturbed.").Bool()
	lapsing := app.Flag("lapsing", "The same, with outages of the store in which entries lapse.").Bool()
	flooding := app.Flag("flooding", "Let two teams flood one router each, of which one gets little processor time.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	os.Exit(play(*dir, *start, *seeds, soak.Options{
		Program: *program, Routers: *routers, Callers: *callers, FaultTime: *faulty, Leaving: *leaving, Expiring: *lapsing,
		Flooding: *flooding,
	}))
}

// play plays the seeds and returns the exit status.
func play(dir string, start, seeds uint64, o soak.Options) int {
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
