package router

import (
	"context"
	"net/http"
	"slices"

	"github.com/laburnumring/laburnumring/internal/dispatch"
	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/transcript"
	"github.com/laburnumring/laburnumring/pkg/outcome"
)

// call is the state of one caller's request while its handler runs. The fields after server are used only by the
// handler.
type call struct {
	id      string
	request dispatch.Request
	// body is the request's body.
	body []byte
	// reservedBytes is how many bytes of the router's bodyQuota are reserved for body.
	reservedBytes int64
	// method, path and contentType are those of the caller's request; plain services receive them.
	method      string
	path        string
	contentType string
	// key is the idempotency key, or empty, and keyTime is when the caller created it, in Unix milliseconds.
	key     string
	keyTime int64
	// events carries Bind and Finish actions from the dispatch controller. Its buffer has room for one of each.
	events chan dispatch.Action
	// cancelAttempt cancels the running attempt, and cancelStream only its current stream from the agent of
	// server. All three are guarded by the router's mu; the two functions are nil while no attempt runs.
	cancelAttempt context.CancelFunc
	cancelStream  context.CancelFunc
	server        string

	w http.ResponseWriter
	// framed is set if chunks mark the end of an answer that is streamed.
	framed bool
	// answerStarted is set once the running attempt's answer has started.
	answerStarted bool
	// transcript checks that later attempts repeat what was already written to the caller.
	transcript *transcript.Transcript
	// resumesExactly reports whether a server of the service can continue an answer that another one started.
	resumesExactly bool
	// headSent is set once the status of the response has been written.
	headSent bool
	// plain reports whether the service is a plain one: its answer is collected in buffer and sent in one piece
	// with its length.
	plain  bool
	buffer []byte
	// unmarked is set if nothing marks the end of a plain answer but that of the server's connection.
	unmarked bool
	// status is the HTTP status of a plain answer.
	status int
}

// execute carries out the dispatch controller's actions. It must be called with mu held.
func (r *Router) execute(actions []dispatch.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.SendTicket:
			r.sendToAgent(a.Server, a)
		case dispatch.WithdrawTicket:
			r.sendToAgent(a.Server, a)
		case dispatch.DeclineOffer:
			r.sendToAgent(a.Server, a)
		case dispatch.Bind:
			r.deliver(a.Request, a)
		case dispatch.Finish:
			r.deliver(a.Request, a)
		case dispatch.Abort:
			if c, ok := r.calls[a.Request]; ok && c.cancelAttempt != nil {
				c.cancelAttempt()
			}
		}
	}
}

func (r *Router) sendToAgent(server string, a dispatch.Action) {
	if l, ok := r.links[server]; ok {
		l.send(a)
	}
}

// deliver passes an action to the request's handler. The send does not block: a request is bound at most once
// before the end of the attempt is reported, and finished once.
func (r *Router) deliver(id string, a dispatch.Action) {
	if c, ok := r.calls[id]; ok {
		c.events <- a
	}
}

// runAttempts runs the attempts to which the request is bound, until the dispatch controller finishes the
// request. It returns how the request ended.
func (r *Router) runAttempts(ctx context.Context, c *call) dispatch.Finish {
	done := ctx.Done()
	for {
		select {
		case a := <-c.events:
			switch a := a.(type) {
			case dispatch.Finish:
				return a
			case dispatch.Bind:
				r.attemptEnded(c, a, r.runAttempt(ctx, c, a))
			}
		case <-done:
			done = nil
			r.cancel(c.id)
		}
	}
}

func (r *Router) attemptEnded(c *call, b dispatch.Bind, res dispatch.Result) {
	now := r.o.Clock.Now()
	res.Delivered = c.transcript.Length()
	r.mu.Lock()
	defer r.mu.Unlock()
	c.cancelAttempt = nil
	c.cancelStream = nil
	actions := r.dispatch.AttemptEnded(now, c.id, b.Attempt, res)
	if !finished(actions, c.id) {
		r.o.Logger.Log(event.AttemptRetried, "request", c.id, "server", b.Server, "attempt", b.Attempt,
			"outcome", res.Outcome, "reason", res.Reason)
	}
	r.execute(actions)
}

// finished reports whether the actions include the end of the request.
func finished(actions []dispatch.Action, id string) bool {
	return slices.ContainsFunc(actions, func(a dispatch.Action) bool {
		f, ok := a.(dispatch.Finish)
		return ok && f.Request == id
	})
}

func (r *Router) cancel(id string) {
	now := r.o.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.execute(r.dispatch.Cancel(now, id))
}

// notRunFinish returns the end of a request that was refused before it was queued.
func notRunFinish(reason string, e *dispatch.NotRunError) dispatch.Finish {
	return dispatch.Finish{Outcome: outcome.NotRun, Reason: reason, RetryAfter: e.RetryAfter}
}
