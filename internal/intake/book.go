package intake

import (
	"github.com/laburnumring/laburnumring/internal/account"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// TakeBook returns what teams asked of engines and got since the last call.
func (c *Controller) TakeBook() map[string]*account.Entry { return c.book.Take() }

// BookRefusal books the refusal of a request to an engine.
func (c *Controller) BookRefusal(r Request, reason string) {
	if !c.engine(r.Service) {
		return
	}
	c.book.Team(r.Team).Refuse(cause(reason), r.tokens())
}

// BookRejection books a request to an engine that is refused before any decision.
func (c *Controller) BookRejection(r Request) {
	e := c.book.Team(r.Team)
	e.Asked += r.tokens()
	e.Refuse(account.Other, r.tokens())
}

func cause(reason string) account.Cause {
	switch reason {
	case reasonShare:
		return account.Share
	case reasonBusy:
		return account.Processor
	case reasonEngines, reasonNoServer:
		return account.Engines
	}
	return account.Other
}

// bookBegin books a request's first event, unless another server gave one before.
func (c *Controller) bookBegin(now clock.Millis, r Request) {
	if r.Begun {
		return
	}
	e := c.book.Team(r.Team)
	e.Begun += r.tokens()
	if now-r.asked > r.Goal {
		e.Unserved++
	}
}

func (c *Controller) bookBasis(team string, b Basis) {
	e := c.book.Team(team)
	e.Served, e.Recent, e.Level = b.Served, b.Recent, b.Level
}
