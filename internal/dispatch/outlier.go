package dispatch

import (
	"slices"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/board"
	"github.com/laburnumring/laburnumring/pkg/clock"
	"github.com/laburnumring/laburnumring/pkg/outcome"
)

// Bounds of the ejection of servers that fail one request after another.
const (
	// maxStreak is how many attempts in a row may fail before a server is ejected.
	maxStreak   = 5
	minEjection = 2 * clock.Second
	maxEjection = 30 * clock.Second
)

// outlier is the record of a server whose last attempts failed.
type outlier struct {
	// streak counts the failures since the last whole answer.
	streak int
	// ejection is the length of the last ejection, which ends at until.
	ejection clock.Millis
	until    clock.Millis
}

// judge notes how an attempt on a server ended. A whole answer clears the server.
func (c *Controller) judge(now clock.Millis, server string, res Result, aborted bool) {
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
	v.streak++
	if v.streak >= maxStreak && now >= v.until {
		v.ejection = min(maxEjection, max(minEjection, 2*v.ejection))
		v.until = now + v.ejection
	}
}

func (c *Controller) ejected(now clock.Millis, server string) bool {
	v, ok := c.outliers[server]
	return ok && now < v.until
}

// withoutOutliers drops the ejected targets, unless that would drop more than half of them: then the requests
// are to blame, and capacity would idle.
func (c *Controller) withoutOutliers(now clock.Millis, targets []laburnumring.Target) []laburnumring.Target {
	rest := slices.DeleteFunc(slices.Clone(targets), func(t laburnumring.Target) bool {
		return c.ejected(now, t.Server)
	})
	if 2*len(rest) < len(targets) {
		return targets
	}
	return rest
}

// usable reports whether an idle agent may ask for work: an outlier that fails at once is idle most of the time.
func (c *Controller) usable(now clock.Millis, p board.Peer) bool {
	if !c.ejected(now, p.Server) {
		return true
	}
	return slices.ContainsFunc(c.withoutOutliers(now, c.ready(p.Service)), func(t laburnumring.Target) bool {
		return t.Server == p.Server
	})
}
