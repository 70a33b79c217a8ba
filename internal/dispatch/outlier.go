package dispatch

import (
	"slices"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/board"
	"github.com/laburnumring/laburnumring/pkg/clock"
	"github.com/laburnumring/laburnumring/pkg/outcome"
)

// Limits for the ejection of servers that fail consecutive requests.
const (
	// maxFailuresInRow is the number of consecutive failed attempts after which a server is ejected.
	maxFailuresInRow = 5
	minEjection      = 2 * clock.Second
	maxEjection      = 30 * clock.Second
)

// outlier is the state of a server whose last attempts failed.
type outlier struct {
	// failuresInRow is the number of failures since the last complete answer.
	failuresInRow int
	// ejection is the length of the last ejection, which ends at ejectedUntil.
	ejection     clock.Millis
	ejectedUntil clock.Millis
}

// recordResult updates a server's failures after an attempt. A complete answer clears them. Attempts that did not
// start, were aborted or could not succeed on any server do not count.
func (c *Controller) recordResult(now clock.Millis, server string, res Result, aborted bool) {
	if res.Outcome == outcome.Whole {
		delete(c.outliers, server)
		return
	}
	if res.Outcome == outcome.NotRun || res.Final || aborted {
		return
	}
	v, ok := c.outliers[server]
	if !ok {
		v = &outlier{}
		c.outliers[server] = v
	}
	v.failuresInRow++
	if v.failuresInRow >= maxFailuresInRow && now >= v.ejectedUntil {
		v.ejection = min(maxEjection, max(minEjection, 2*v.ejection))
		v.ejectedUntil = now + v.ejection
	}
}

func (c *Controller) ejected(now clock.Millis, server string) bool {
	v, ok := c.outliers[server]
	return ok && now < v.ejectedUntil
}

// withoutOutliers returns the targets that are not ejected, or all targets if more than half of them are ejected. In
// that case the requests are the likely cause, and ejecting the servers would leave capacity unused.
func (c *Controller) withoutOutliers(now clock.Millis, targets []laburnumring.Target) []laburnumring.Target {
	rest := slices.DeleteFunc(slices.Clone(targets), func(t laburnumring.Target) bool {
		return c.ejected(now, t.Server)
	})
	if 2*len(rest) < len(targets) {
		return targets
	}
	return rest
}

// usable reports whether an agent with free slots may receive tickets. An ejected server may not, unless too many are
// ejected: a server that fails at once is idle most of the time and would attract many requests.
func (c *Controller) usable(now clock.Millis, p board.Peer) bool {
	if !c.ejected(now, p.Server) {
		return true
	}
	return slices.ContainsFunc(c.withoutOutliers(now, c.ready(p.Service)), func(t laburnumring.Target) bool {
		return t.Server == p.Server
	})
}
