// Package plots draws the course of measured runs.
package plots

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/joomcode/errorx"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/measure"
)

const (
	width  = 16 * vg.Centimeter
	height = 7 * vg.Centimeter
	// stride is how many points of a series make one of a plot.
	stride = 5
)

// Drawer draws the runs of one measurement.
type Drawer struct {
	// from is the directory of the measurement and to that of the plots.
	from string
	to   string
}

// New returns a drawer of the measurement in from that writes SVG files to to.
func New(from, to string) *Drawer { return &Drawer{from: from, to: to} }

// Draw draws gap and utilisation of every policy of a site's scenario. Policies that were not run are left out.
func (d *Drawer) Draw(site, scenario string) error {
	gap := newPlot(site+", "+scenario, "gap over 1 s (weighted units)")
	busy := newPlot(site+", "+scenario, "share of slots busy")
	found := false
	for i, p := range laburnumring.Policies() {
		s, err := read(filepath.Join(d.from, site, scenario, string(p), "series.json"))
		if os.IsNotExist(err) {
			continue
		}
		if err != nil {
			return err
		}
		found = true
		if err := addLine(gap, i, string(p), s.AtMs, s.Gap); err != nil {
			return err
		}
		if err := addLine(busy, i, string(p), s.AtMs, s.Utilisation); err != nil {
			return err
		}
	}
	if !found {
		return nil
	}
	name := filepath.Join(d.to, site+"-"+scenario)
	if err := gap.Save(width, height, name+"-gap.svg"); err != nil {
		return errorx.Decorate(err, "save plot")
	}
	return busy.Save(width, height, name+"-utilisation.svg")
}

func newPlot(title, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = y
	p.Y.Min = 0
	p.Legend.Top = true
	return p
}

func addLine(p *plot.Plot, i int, name string, atMs []int64, values []float64) error {
	var points plotter.XYs
	for k := 0; k < len(values); k += stride {
		points = append(points, plotter.XY{X: float64(atMs[k]) / 1000, Y: values[k]})
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return errorx.Decorate(err, "draw %s", name)
	}
	line.Color = plotutil.Color(i)
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}

func read(file string) (measure.Series, error) {
	var s measure.Series
	data, err := os.ReadFile(file)
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal(data, &s)
}
