package serverspeed

import (
	"math"
	"slices"

	"github.com/laburnumring/laburnumring/pkg/clock"
)

// refresh computes the estimates of all servers, which compare each with the median one.
func (t *Table) refresh(now clock.Millis) {
	if t.refreshedAt > 0 && now-t.refreshedAt < refreshInterval {
		return
	}
	t.refreshedAt = now
	median := t.median(now)
	for key, s := range t.servers {
		t.compare(now, s, median)
		s.joint = t.combine(now, key, s)
		t.recordChange(now, key, s)
	}
}

// relativeTime returns the mean relative time of running requests at a server, drawn to what the server states, and the
// weight behind it.
func (t *Table) relativeTime(now clock.Millis, s *server) (mean, weight float64) {
	prior, priorWeight := t.prior(now, s)
	w := s.work.weight(now)
	return (w*s.work.line.Mean() + priorWeight*prior) / (w + priorWeight), w + priorWeight
}

// median returns the lower median of the relative times of the servers about which enough is known; 1 if there are fewer
// than two.
func (t *Table) median(now clock.Millis) float64 {
	var means []float64
	for _, s := range t.servers {
		if mean, weight := t.relativeTime(now, s); weight >= 2*priorWeight {
			means = append(means, mean)
		}
	}
	if len(means) < 2 {
		return 1
	}
	slices.Sort(means)
	return max(1/maxRatio, means[(len(means)-1)/2])
}

// compare compares the times at a server with those at the median one.
func (t *Table) compare(now clock.Millis, s *server, median float64) {
	deviation := max(minDeviation, t.deviation)
	mean, weight := t.relativeTime(now, s)
	w := s.work.weight(now)
	// What the server states has no error of sampling.
	atLeast := mean - confidence*deviation*math.Sqrt(w)/weight
	s.ratio, s.differs = mean/median, atLeast/median > slownessThreshold
	if s.ratio <= slopeThreshold || w <= 0 {
		return
	}
	decay := s.work.decay(now)
	slope, _ := s.work.line.Slope(slopeRidge / decay)
	slope = (slope - confidence*deviation/math.Sqrt(decay*s.work.line.Spread()+slopeRidge)) / median
	if slope > 1 {
		// Times grow by slope with each unit of load, so that 1/slope of the slots do as much work in a time as any
		// higher number.
		s.differs = true
		s.lowerCap(now, 1/slope)
	}
}

// combine returns a server's estimate by what this router and the others found out. A server whose work takes s times as
// long as at the median one handles 1/s of its slots well. All routers take the same mean, so that together they hold the
// server to one limit, and one router's outlier is of little effect.
func (t *Table) combine(now clock.Millis, key Key, s *server) Estimate {
	if s.replaced {
		s.replaced, s.peersFrom = false, now+replacedTime
	}
	var p peerSum
	if now >= s.peersFrom {
		p = t.reports.sums[key]
	}
	switch {
	case p.n == 0 && !s.differs:
		p = sumOf(Estimate{Slowness: 1, Fraction: s.currentCap(now)})
	case t.observed(now, s):
		p = p.plus(sumOf(s.report(now)))
	}
	e := p.estimate()
	switch {
	case e.Slowness <= 1:
		s.slowSince = 0
	case s.slowSince == 0:
		s.slowSince = now
	}
	if e.Slowness > 1 && now-s.slowSince >= settleTime {
		s.lowerCap(now, 1/e.Slowness)
		e.Fraction = min(e.Fraction, s.currentCap(now))
	} else {
		e.Slowness = 1
	}
	return e
}

// report returns what this router found out about a server by itself.
func (s *server) report(now clock.Millis) Estimate {
	return Estimate{Slowness: s.ratio, Fraction: s.currentCap(now)}
}

// lowerCap records that a server was found overloaded above a fraction of its slots.
func (s *server) lowerCap(now clock.Millis, fraction float64) {
	if fraction <= s.currentCap(now) {
		s.cap, s.capAt = max(minFraction, fraction), now
	}
}

// currentCap returns the fraction of its slots to which a server is held because it was overloaded above. It grows
// slowly at first and then ever faster until the server is found overloaded again.
func (s *server) currentCap(now clock.Millis) float64 {
	if s.cap >= 1 {
		return 1
	}
	seconds := (now - s.capAt).Duration().Seconds()
	return min(1, s.cap*math.Exp(capGrowth*seconds*seconds))
}

// Change is a change of a server's estimate that is worth a line in the log.
type Change struct {
	Server   Key
	Estimate Estimate
}

const (
	// changeRatio is the ratio by which an estimate must change between two changes of a server, and changeInterval the
	// time between them.
	changeRatio    = 1.5
	changeInterval = 2 * clock.Second
	// maxChanges limits the changes that TakeChanges returns at once.
	maxChanges = 16
)

// recordChange records a change of a server's estimate unless it is small or the last one was recent.
func (t *Table) recordChange(now clock.Millis, key Key, s *server) {
	old, e := s.logged, s.joint
	moved := old.Differs() != e.Differs() || max(old.Slowness/e.Slowness, e.Slowness/old.Slowness,
		old.Fraction/e.Fraction, e.Fraction/old.Fraction) >= changeRatio
	if !moved || s.loggedAt > 0 && now-s.loggedAt < changeInterval || len(t.changes) >= maxChanges {
		return
	}
	s.logged, s.loggedAt = e, now
	t.changes = append(t.changes, Change{Server: key, Estimate: e})
}

// TakeChanges returns the changes since the last call, at most maxChanges. It updates the estimates before.
func (t *Table) TakeChanges(now clock.Millis) []Change {
	t.refresh(now)
	out := t.changes
	t.changes = nil
	return out
}
