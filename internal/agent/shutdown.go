package agent

import (
	"errors"

	"github.com/laburnumring/laburnumring/pkg/clock"
)

// errEnded answers routers whose calls reach an agent after its shutdown.
var errEnded = errors.New("the agent has stopped")

// reattachWait is how long a shutdown waits for a router to come back for an answer whose stream was cut.
const reattachWait = 5 * clock.Second

// owesAnswer reports whether the answer of a run that ended is being delivered, or was cut off and may still be fetched.
func (s *startedRun) owesAnswer(now clock.Millis) bool {
	return s.readers > 0 || !s.delivered && now-s.idleSince < reattachWait
}

// hasEnded reports whether Run has returned.
func (a *Agent) hasEnded() bool {
	select {
	case <-a.ended:
		return true
	default:
		return false
	}
}
