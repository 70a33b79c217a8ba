// Package linefit fits a straight line to weighted observations that lose weight over time.
package linefit

// Line holds the sums of a least-squares fit of y = base + slope*x. The zero value has no observations.
type Line struct {
	n, x, y, xx, xy float64
}

// Add multiplies the weight of all earlier observations by decay and adds one.
func (l *Line) Add(x, y, weight, decay float64) {
	l.n = decay*l.n + weight
	l.x = decay*l.x + weight*x
	l.y = decay*l.y + weight*y
	l.xx = decay*l.xx + weight*x*x
	l.xy = decay*l.xy + weight*x*y
}

// Weight returns the sum of the observations' weights.
func (l *Line) Weight() float64 { return l.n }

// Mean returns the mean y; 0 without observations.
func (l *Line) Mean() float64 {
	if l.n <= 0 {
		return 0
	}
	return l.y / l.n
}

// Spread returns the weighted sum of the squared distances of the x from their mean.
func (l *Line) Spread() float64 {
	if l.n <= 0 {
		return 0
	}
	return max(0, l.xx-l.x*l.x/l.n)
}

// Slope returns the slope of the line. A ridge above 0 draws it to 0 as if the observations' spread were larger by that
// much. It returns false if the x do not differ and ridge is 0.
func (l *Line) Slope(ridge float64) (float64, bool) {
	spread := l.n*l.xx - l.x*l.x + l.n*ridge
	if spread <= 0 {
		return 0, false
	}
	return (l.n*l.xy - l.x*l.y) / spread, true
}

// Base returns the value at 0 of the line with the given slope through the mean of the observations. There must be some.
func (l *Line) Base(slope float64) float64 { return (l.y - slope*l.x) / l.n }
