package intake

import (
	"slices"

	"github.com/laburnumring/laburnumring/pkg/clock"
)

const (
	// reasonVersionGone is the reason of refusals of requests that go on with a stream whose software version no server
	// has any more.
	reasonVersionGone = "version_gone"
	// reasonNotAdmitted is the reason of refusals while no software version is known to be recorded.
	reasonNotAdmitted = "version_not_recorded"
	// maxAdmissionWait limits how long a new stream waits until a software version is recorded.
	maxAdmissionWait = 300 * clock.Millis(1)
)

// SetAdmitted sets the keys of the software versions that may begin streams.
func (c *Controller) SetAdmitted(keys map[uint64]bool) { c.admitted = keys }

// eligible returns the servers of a pool that may get a request because of their software version. A stream goes on at
// the version that began it, and begins at one that is admitted.
func (c *Controller) eligible(pool []*server, r Request) []*server {
	if !r.Stream {
		return pool
	}
	excluded := func(s *server) bool {
		if r.Software != 0 {
			return s.software != r.Software
		}
		return !c.admitted[s.software]
	}
	if !slices.ContainsFunc(pool, excluded) {
		return pool
	}
	return slices.DeleteFunc(slices.Clone(pool), excluded)
}
