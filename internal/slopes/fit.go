package slopes

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement.
type Point struct {
	// X is the size of what was grown and Y what was measured.
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Fit is a straight line through points.
type Fit struct {
	// Base is the value at zero and Slope the growth for each unit of X.
	Base  float64 `json:"base"`
	Slope float64 `json:"slope"`
	// R2 is the share of the spread that the line explains, 0 to 1.
	R2 float64 `json:"r2"`
	// Spread is the standard deviation of the points from the line.
	Spread float64 `json:"spread"`
}

// NewFit fits a line by least squares. There must be at least two different X.
func NewFit(points []Point) Fit {
	xs := make([]float64, len(points))
	ys := make([]float64, len(points))
	for i, p := range points {
		xs[i] = p.X
		ys[i] = p.Y
	}
	base, slope := stat.LinearRegression(xs, ys, nil, false)
	f := Fit{Base: base, Slope: slope, R2: stat.RSquared(xs, ys, nil, base, slope)}
	if math.IsNaN(f.R2) {
		f.R2 = 1 // All values are the same, and the line meets them.
	}
	sum := 0.0
	for i := range xs {
		d := ys[i] - base - slope*xs[i]
		sum += d * d
	}
	f.Spread = math.Sqrt(sum / float64(len(xs)))
	return f
}

// At returns the line's value at x.
func (f Fit) At(x float64) float64 {
	return f.Base + f.Slope*x
}
