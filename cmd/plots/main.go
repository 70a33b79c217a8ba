// Command plots draws the time series written by the command measure. It is a test tool.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/laburnumring/laburnumring/internal/measure"
	"github.com/laburnumring/laburnumring/internal/measure/plots"
)

func main() {
	app := kingpin.New("plots", "Draw the fairness gap and the utilisation of measured runs.")
	from := app.Flag("from", "Directory with the results of measure.").Default("out/measure").String()
	to := app.Flag("to", "Directory for the plots.").Default("docs/plots").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := draw(*from, *to); err != nil {
		fmt.Fprintln(os.Stderr, "plots:", err)
		os.Exit(1)
	}
}

func draw(from, to string) error {
	if err := os.MkdirAll(to, 0o750); err != nil {
		return err
	}
	d := plots.New(from, to)
	for _, s := range measure.Sites() {
		for _, sc := range measure.Scenarios(time.Second) {
			if err := d.Draw(s.Name(), sc.Name); err != nil {
				return err
			}
		}
	}
	return nil
}
