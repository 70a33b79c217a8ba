package agent

import (
	"errors"

	"github.com/laburnumring/laburnumring/pkg/clock"
)

// errStopped is returned to routers that call Offers after the agent's shutdown.
var errStopped = errors.New("the agent has stopped")

// reattachWait is how long a shutdown waits for a router to reattach to an answer whose stream broke.
const reattachWait = 5 * clock.Second

// deliveryPending reports whether the answer of a run that ended is being delivered, or its stream broke and the
// router may still reattach.
func (s *startedRun) deliveryPending(now clock.Millis) bool {
	return s.readers > 0 || !s.delivered && now-s.idleSince < reattachWait
}

// hasStopped reports whether Run has returned.
func (a *Agent) hasStopped() bool {
	select {
	case <-a.stopped:
		return true
	default:
		return false
	}
}
