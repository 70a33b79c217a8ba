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
	k := retainedRun{offer: offer, run: s, size: s.run.Size()}
	a.retained = append(a.retained, k)
	a.retainedBytes += k.size
}

// evictRetained drops completed answers, oldest first: those older than retainedRunTTL, and further ones until the
// rest takes at most maxRetainedBytes. An answer that is being delivered is dropped for its age only. a.mu must be
// held.
func (a *Agent) evictRetained(now clock.Millis) {
	for range len(a.retained) {
		k := a.retained[0]
		old := now-k.run.endedAt >= retainedRunTTL
		if !old && a.retainedBytes <= maxRetainedBytes {
			return
		}
		a.retained[0] = retainedRun{} // The backing array must not keep the answer reachable.
		a.retained = a.retained[1:]
		if !old && k.run.readers > 0 {
			a.retained = append(a.retained, k)
			continue
		}
		a.retainedBytes -= k.size
		delete(a.started, k.offer)
	}
}
