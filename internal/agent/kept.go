package agent

import "github.com/laburnumring/laburnumring/pkg/clock"

// retainedRun is a run that has ended and whose answer can still be fetched.
type retainedRun struct {
	offer string
	run   *startedRun
	// size is the size of the retained answer in bytes.
	size int
}

// retain moves a run that ended from a.running to a.retained. a.mu must be held.
func (a *Agent) retain(offer string, s *startedRun) {
	delete(a.running, offer)
	r := retainedRun{offer: offer, run: s, size: s.run.Size()}
	a.retained = append(a.retained, r)
	a.retainedBytes += r.size
}

// evictRetained drops the answers of runs that have ended, oldest first: those older than retainedRunTTL, and further
// ones until the rest takes at most maxRetainedBytes. An answer that is being delivered is dropped for its age only.
// a.mu must be held.
func (a *Agent) evictRetained(now clock.Millis) {
	for range len(a.retained) {
		r := a.retained[0]
		old := now-r.run.endedAt >= retainedRunTTL
		if !old && a.retainedBytes <= maxRetainedBytes {
			return
		}
		a.retained[0] = retainedRun{} // The backing array must not keep the answer reachable.
		a.retained = a.retained[1:]
		if !old && r.run.readers > 0 {
			a.retained = append(a.retained, r)
			continue
		}
		a.retainedBytes -= r.size
		delete(a.started, r.offer)
	}
}
