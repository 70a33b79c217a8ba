package agent

import "github.com/laburnumring/laburnumring/pkg/clock"

// keptRun is a run that ended and whose answer can still be fetched.
type keptRun struct {
	offer string
	s     *startedRun
	// size is what the answer takes, in bytes.
	size int
}

// keep remembers a run that ended; callers hold mu.
func (a *Agent) keep(offer string, s *startedRun) {
	delete(a.running, offer)
	k := keptRun{offer: offer, s: s, size: s.run.Size()}
	a.kept = append(a.kept, k)
	a.keptBytes += k.size
}

// boundKept forgets finished answers, oldest first: those past keepRuns, and more until the rest takes at most
// keepBytes. An answer that is being delivered is only forgotten by its age; callers hold mu.
func (a *Agent) boundKept(now clock.Millis) {
	for range len(a.kept) {
		k := a.kept[0]
		old := now-k.s.endedAt >= keepRuns
		if !old && a.keptBytes <= keepBytes {
			return
		}
		a.kept[0] = keptRun{} // The array behind the slice must not hold on to the answer.
		a.kept = a.kept[1:]
		if !old && k.s.readers > 0 {
			a.kept = append(a.kept, k)
			continue
		}
		a.keptBytes -= k.size
		delete(a.started, k.offer)
	}
}
