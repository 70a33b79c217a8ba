package serverspeed

import (
	"math"

	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Speed is what a router found out about a server, in a report: the relative time of work in the upper byte, as 32nds of
// an octave above a quarter, and the fraction of its slots in the lower, as 255ths. It takes at most three bytes on the
// wire.
type Speed uint16

const (
	speedSteps    = 32.0
	speedOffset   = 2 * speedSteps
	speedFraction = 255.0
	// minReportWeight is the weight of observations from which on a router reports a server.
	minReportWeight = 2.0
)

// speedOf returns an estimate in the form of reports.
func speedOf(e Estimate) Speed {
	slowness := min(255, max(0, math.Round(speedOffset+speedSteps*math.Log2(e.Slowness))))
	fraction := min(speedFraction, max(1, math.Round(speedFraction*e.Fraction)))
	return Speed(slowness)<<8 | Speed(fraction)
}

// peerSum sums what routers found out about a server, in the units of Speed, so that adding and subtracting leaves no
// rounding error.
type peerSum struct {
	n, slowness, fraction int
}

func sumOf(e Estimate) peerSum { return speedOf(e).sum() }

// sum returns the sum of one Speed. Any value is valid.
func (v Speed) sum() peerSum {
	return peerSum{n: 1, slowness: int(v >> 8), fraction: int(max(1, v&0xff))}
}

func (p peerSum) plus(o peerSum) peerSum {
	return peerSum{n: p.n + o.n, slowness: p.slowness + o.slowness, fraction: p.fraction + o.fraction}
}

// estimate returns the mean; slownesses up to slownessThreshold count as none.
func (p peerSum) estimate() Estimate {
	e := usual()
	if p.n <= 0 {
		return e
	}
	n := float64(p.n)
	if v := math.Exp2((float64(p.slowness)/n - speedOffset) / speedSteps); v > slownessThreshold {
		e.Slowness = v
	}
	e.Fraction = min(1, max(minFraction, float64(p.fraction)/n/speedFraction))
	return e
}

// Report adds to out, which may be nil, the servers that differ by this router's own observations. It also adds those that differ by
// what others report, if this router has observed them: the mean of all then stands for the evidence of all.
func (t *Table) Report(now clock.Millis, out map[Key]Speed) map[Key]Speed {
	t.refresh(now)
	for key, s := range t.servers {
		if s.differs || t.reports.sums[key].estimate().Differs() && t.observed(now, s) {
			if out == nil {
				out = make(map[Key]Speed)
			}
			out[key] = speedOf(s.report(now))
		}
	}
	return out
}

// observed reports whether this router has observations of its own of a server.
func (t *Table) observed(now clock.Millis, s *server) bool {
	return s.work.weight(now) >= minReportWeight || s.percentAt > 0 && now-s.percentAt <= percentTTL
}

// Reports sums what the other routers report. The tables of all services of a router share it.
type Reports struct {
	sums map[Key]peerSum
}

// NewReports returns sums of no reports.
func NewReports() *Reports { return &Reports{sums: make(map[Key]peerSum)} }

// Add adds what a router reports.
func (r *Reports) Add(speeds map[Key]Speed) {
	for key, v := range speeds {
		r.sums[key] = r.sums[key].plus(v.sum())
	}
}

// Remove removes what was added.
func (r *Reports) Remove(speeds map[Key]Speed) {
	for key, v := range speeds {
		p, sum := r.sums[key], v.sum()
		if p.n <= 1 {
			delete(r.sums, key)
			continue
		}
		r.sums[key] = peerSum{n: p.n - 1, slowness: p.slowness - sum.slowness, fraction: p.fraction - sum.fraction}
	}
}
