// Command experiment plays a drawn load against the policies of placement and admission and prints one JSON object a
// line.
package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/laburnumring/laburnumring/internal/experiment"
)

func main() {
	app := kingpin.New("experiment", "Plays a drawn load against policies, with modelled engines.")
	seeds := app.Flag("seeds", "How many seeds to play.").Default("1").Uint64()
	start := app.Flag("seed-start", "The first seed.").Default("1").Uint64()
	policies := app.Flag("policy", "A policy; several may be given; all when none is.").
		Enums(experiment.Policies()...)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if len(*policies) == 0 {
		*policies = experiment.Policies()
	}
	out := json.NewEncoder(os.Stdout)
	for seed := *start; seed < *start+*seeds; seed++ {
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
