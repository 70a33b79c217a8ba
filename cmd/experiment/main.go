// Command experiment simulates a random load on modelled engines under each policy of placement and admission. It
// prints one JSON object per line.
package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/laburnumring/laburnumring/internal/experiment"
)

func main() {
	app := kingpin.New("experiment", "Simulate a random load on modelled engines under several policies.")
	seeds := app.Flag("seeds", "How many seeds to simulate.").Default("1").Uint64()
	seedStart := app.Flag("seed-start", "The first seed.").Default("1").Uint64()
	policies := app.Flag("policy", "A policy; may be repeated; all policies when not given.").
		Enums(experiment.Policies()...)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if len(*policies) == 0 {
		*policies = experiment.Policies()
	}
	out := json.NewEncoder(os.Stdout)
	for seed := *seedStart; seed < *seedStart+*seeds; seed++ {
		site, load := experiment.Crowded(seed)
		for _, name := range *policies {
			r, err := experiment.Run(site, load, name)
			if err == nil {
				err = out.Encode(r)
			}
			if err != nil {
				fmt.Fprintln(os.Stderr, "experiment:", err)
				os.Exit(1)
			}
		}
	}
}
