// Package serverspeed estimates how fast each server of a service works, compared with the others, and how many requests
// it handles well. It learns from the times of requests, from refusals and from what servers state in responses, and
// takes in what other routers found out. It does no I/O and reads no clock: callers pass the time.
package serverspeed

import (
	"math"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/linefit"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Key stands for a server.
type Key = uint32

// Work is one observation of how long a unit of work took at a server.
type Work struct {
	// Kind is the kind of work; only times of the same kind are compared. Kinds beyond the first maxKinds are not
	// observed.
	Kind int64
	// Took is the observed time, in any unit.
	Took float64
	// Load is the number of requests at the server as a fraction of its slots.
	Load float64
	// Weight is the weight of the observation; 1 for one request.
	Weight float64
}

// Table holds the estimates for the servers of one service. It is not safe for concurrent use.
type Table struct {
	servers map[Key]*server
	// expected holds the time of each kind of work by load, of all servers together.
	expected map[int64]*evidence
	// deviation is the exponentially decayed mean distance of a relative time from the mean of its server.
	deviation float64
	// usualPercent is the exponentially decayed mean of the slowness that the servers state, in percent; 0 if none has
	// stated one.
	usualPercent float64
	refreshedAt  clock.Millis
	reports      *Reports
	// changes holds the changes that TakeChanges has not returned yet; at most maxChanges.
	changes []Change
}

// server holds the observations of one server and the estimates from them.
type server struct {
	// work holds the relative times of work by load.
	work evidence
	// percent is the exponentially decayed slowness that the server states, in percent.
	percent   float64
	percentAt clock.Millis
	// ratio is the time that work takes compared with the median server, by this router's observations. differs is set if
	// they suffice to tell that it is longer.
	ratio   float64
	differs bool
	// cap is the fraction of its slots above which the server has been found overloaded at capAt; 1 or more if it has
	// not been.
	cap   float64
	capAt clock.Millis
	// joint is the estimate by the observations of all routers. slowSince is when the server was first found slow, 0 while
	// it is not.
	joint     Estimate
	slowSince clock.Millis
	// replaced is set until the first estimate after another server had the key. Until peersFrom, what other routers
	// report is ignored.
	replaced  bool
	peersFrom clock.Millis
	// logged is the estimate in the last change, which was at loggedAt.
	logged   Estimate
	loggedAt clock.Millis
}

// Estimate is what is known of a server's speed.
type Estimate struct {
	// Slowness is how many times as long as at a typical server of the service work takes, at least 1. It is 1 unless the
	// server is measurably slower.
	Slowness float64
	// Fraction is the fraction of its slots up to which the server handles requests well, above 0 and at most 1.
	Fraction float64
}

// usual returns the estimate of a server that does not differ from the others.
func usual() Estimate { return Estimate{Slowness: 1, Fraction: 1} }

// Differs reports whether the server gets less work than the others.
func (e Estimate) Differs() bool { return e.Slowness > 1 || e.Fraction < 1 }

// Parameters of the estimates.
const (
	// maxKinds limits the kinds of work.
	maxKinds = 32
	// minMemory is the time constant with which observations are forgotten where they add up to the weight enoughWeight;
	// where they are fewer, it is up to maxMemory.
	minMemory    = 500 * clock.Millis(1)
	maxMemory    = 3 * clock.Second
	enoughWeight = 24.0
	// staleTime is the time without observations after which the earlier ones are forgotten.
	staleTime = 4 * clock.Second
	// usualMemory is the time constant of the times expected of all servers.
	usualMemory = 20 * clock.Second
	// priorWeight is the weight of the assumption that a server is as fast as the others. If the server states its
	// slowness, that counts statedWeight instead.
	priorWeight  = 2.0
	statedWeight = 4.0
	// maxRatio limits a relative time, and maxUsualRatio one that changes the times expected of all servers.
	maxRatio      = 8.0
	maxUsualRatio = 2.0
	// refusedRatio is the relative time for which a refusal below the server's slots counts, with refusedWeight.
	refusedRatio  = 3.0
	refusedWeight = 0.5
	// initialDeviation is the deviation before observations; minDeviation keeps a few alike ones from counting as
	// certain. deviationWeight is the weight of one observation.
	initialDeviation = 0.5
	minDeviation     = 0.05
	deviationWeight  = 0.01
	// confidence is the number of standard errors by which a server must differ.
	confidence = 4.0
	// slownessThreshold is the relative time up to which a server counts as typical.
	slownessThreshold = 1.3
	// slopeThreshold is the relative time from which on its growth with load counts.
	slopeThreshold = 1.15
	// slopeRidge draws the growth of times with load to 0, as two observations with loads half of the slots apart do.
	slopeRidge = 0.125
	// settleTime is how long a server must have been found slow before that takes effect: until the other routers have
	// reported what they observed, a single outlier would count.
	settleTime = 300 * clock.Millis(1)
	// replacedTime is how long other routers may report about the server that had a key before: until all have read the
	// list of servers and observed the new one.
	replacedTime = 2 * clock.Second
	// percentTime is the time constant of stated slownesses, which change many times a second. percentTTL is how long
	// the last one holds.
	percentTime = 300 * clock.Millis(1)
	percentTTL  = 3 * clock.Second
	// minPercent and maxPercent limit the effect of a stated slowness.
	minPercent, maxPercent = 50, 100 * maxRatio
	// usualPercentWeight is the weight of one response in usualPercent.
	usualPercentWeight = 0.002
	// refreshInterval limits how often estimates are computed.
	refreshInterval = 50 * clock.Millis(1)
	// capGrowth is how fast a cap is raised to find out whether the server has recovered, in 1/s²: by a third in the
	// first second and to three times in the second.
	capGrowth = 0.3
	// A slow server gets only probeFraction of what it handles by its slowness for the first part of each probePeriod:
	// work that becomes faster then shows that the load is the cause. Under a steady load the two cannot be told apart.
	probePeriod   = 1500 * clock.Millis(1)
	probeTime     = 600 * clock.Millis(1)
	probeFraction = 0.6
	// minFraction limits how small a fraction can become.
	minFraction = 1.0 / 255
)

// New returns a table without servers that takes in what other routers report.
func New(reports *Reports) *Table {
	return &Table{
		servers: make(map[Key]*server), expected: make(map[int64]*evidence), deviation: initialDeviation,
		reports: reports,
	}
}

func (t *Table) server(key Key) *server {
	s, ok := t.servers[key]
	if !ok {
		s = &server{cap: 1, ratio: 1, joint: usual(), logged: usual()}
		t.servers[key] = s
	}
	return s
}

// ObserveWork records how long work took.
func (t *Table) ObserveWork(now clock.Millis, key Key, w Work) {
	if !(w.Took >= 0 && w.Load >= 0 && w.Weight > 0) {
		return
	}
	usualTime, ok := t.expected[w.Kind]
	if !ok {
		if len(t.expected) >= maxKinds {
			return
		}
		usualTime = &evidence{}
		t.expected[w.Kind] = usualTime
	}
	expected := t.expectedWork(w.Kind, w.Load)
	if expected <= 0 {
		expected = w.Took
	}
	usualTime.add(now, usualMemory, w.Load, min(w.Took, maxUsualRatio*expected), w.Weight)
	ratio := 1.0
	if expected > 0 {
		ratio = min(w.Took/expected, maxRatio)
	}
	s := t.server(key)
	if s.work.weight(now) > priorWeight {
		distance := min(math.Abs(ratio-s.work.line.Mean()), maxUsualRatio)
		t.deviation += deviationWeight * min(1, w.Weight) * (distance - t.deviation)
	}
	s.work.observe(now, w.Load, ratio, w.Weight)
}

// expectedWork returns how long work of a kind takes at a typical server under a load; 0 if unknown.
func (t *Table) expectedWork(kind int64, load float64) float64 {
	usualTime, ok := t.expected[kind]
	if !ok || usualTime.line.Weight() == 0 {
		return 0
	}
	line := &usualTime.line
	slope, _ := line.Slope(slopeRidge)
	slope = max(0, slope)
	return max(line.Mean()/maxRatio, line.Base(slope)+slope*load)
}

// ObserveRefusal records that a server refused a request under a load. Servers refuse requests when they are full, so
// only refusals below their slots say something about their speed.
func (t *Table) ObserveRefusal(now clock.Millis, key Key, load float64) {
	if load < 1 {
		t.server(key).work.observe(now, load, refusedRatio, refusedWeight)
	}
}

// ObserveLoad records what a server states about its load.
func (t *Table) ObserveLoad(now clock.Millis, key Key, l laburnumring.ServerLoad) {
	if !l.Known {
		return
	}
	s := t.server(key)
	if l.Waiting > 0 && l.Running < l.Slots {
		s.lowerCap(now, float64(max(1, l.Running))/float64(l.Slots))
	}
	if l.Slowness <= 0 {
		return
	}
	percent := min(maxPercent, max(minPercent, float64(l.Slowness)))
	if t.usualPercent == 0 {
		t.usualPercent = 100
	}
	t.usualPercent += usualPercentWeight * (percent - t.usualPercent)
	if s.percentAt == 0 || now-s.percentAt > percentTTL {
		s.percent = t.usualPercent
		s.percentAt = now - percentTime
	}
	s.percent += (1 - math.Exp(-float64(max(0, now-s.percentAt))/float64(percentTime))) * (percent - s.percent)
	s.percentAt = max(s.percentAt, now)
}

// Forget drops what is known of a server: another one has its key. For a while, reports of other routers may still be
// about the earlier one.
func (t *Table) Forget(key Key) {
	delete(t.servers, key)
	t.server(key).replaced = true
}

// Drop drops all that is known of a server that has left the list.
func (t *Table) Drop(key Key) { delete(t.servers, key) }

// evidence holds times by load.
type evidence struct {
	line linefit.Line
	// at is the time of the last observation.
	at clock.Millis
}

func (e *evidence) add(now, memory clock.Millis, load, y, weight float64) {
	e.line.Add(load, y, weight, math.Exp(-float64(max(0, now-e.at))/float64(memory)))
	e.at = max(e.at, now)
}

// observe adds the relative time of work at one server.
func (e *evidence) observe(now clock.Millis, load, ratio, weight float64) {
	e.add(now, e.memory(), load, ratio, weight)
}

// memory returns the time constant with which the observations at one server are forgotten.
func (e *evidence) memory() clock.Millis {
	return maxMemory - clock.Millis(float64(maxMemory-minMemory)*min(1, e.line.Weight()/enoughWeight))
}

// decay returns the fraction of its weight that an observation at one server has left.
func (e *evidence) decay(now clock.Millis) float64 {
	if now-e.at > staleTime {
		return 0
	}
	return math.Exp(-float64(max(0, now-e.at)) / float64(e.memory()))
}

// weight returns the weight of the observations at one server.
func (e *evidence) weight(now clock.Millis) float64 { return e.line.Weight() * e.decay(now) }

// prior returns the relative time that a server has by its own statement, and the statement's weight.
func (t *Table) prior(now clock.Millis, s *server) (ratio, weight float64) {
	if s.percentAt > 0 && now-s.percentAt <= percentTTL {
		return s.percent / t.usualPercent, statedWeight
	}
	return 1, priorWeight
}

// Estimate returns the estimate for a server.
func (t *Table) Estimate(now clock.Millis, key Key) Estimate {
	t.refresh(now)
	if s, ok := t.servers[key]; ok {
		return s.joint
	}
	return t.reports.sums[key].estimate()
}

// Limit returns how many requests a server with the given slots handles well, at least 1; false if that is not known to
// be less than its slots.
func (e Estimate) Limit(now clock.Millis, slots int) (int, bool) {
	if e.Fraction >= 1 {
		return slots, false
	}
	fraction := e.Fraction
	if e.Slowness > 1 && now%probePeriod < probeTime {
		fraction *= probeFraction
	}
	return max(1, int(math.Round(fraction*float64(slots)))), true
}
