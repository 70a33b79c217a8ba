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

// call is one caller that waits for its answer. Its fields after events are used by its handler only.
type call struct {
	id string
	r  dispatch.Request
	// body is the caller's request body.
	body []byte
	// held is how many bytes are reserved for body.
	held int64
	// method, path and contentType are the caller's, for plain services.
	method      string
	path        string
	contentType string
	// key and keyTime name an idempotent request; key is empty without one.
	key     string
	keyTime int64
	// events carries Bind and Finish actions from the controller; it has room for one of each.
	events chan dispatch.Action
	// abort ends the running attempt and cut its present stream, which server's agent sends; they are set
	// under the router's mu while an attempt runs.
	abort  context.CancelFunc
	cut    context.CancelFunc
	server string

	w http.ResponseWriter
	// answering says that the running attempt's answer has begun.
	answering bool
	// transcript holds attempts to what was written to the caller.
	transcript *transcript.Transcript
	// resumesExactly says that the service's servers go on with each other's answers.
	resumesExactly bool
	// headSent says that the response's status was written.
	headSent bool
	// plain says that the answer is kept in buffer and sent in one piece with its length.
	plain  bool
	buffer []byte
	// status is the status of a plain answer.
	status int
}

// do carries out a controller's actions; callers hold mu.
func (r *Router) do(actions []dispatch.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.SendTicket:
			r.send(a.Server, a)
		case dispatch.WithdrawTicket:
			r.send(a.Server, a)
		case dispatch.DeclineOffer:
			r.send(a.Server, a)
		case dispatch.Bind:
			r.deliver(a.Request, a)
		case dispatch.Finish:
			r.deliver(a.Request, a)
		case dispatch.Abort:
			if c, ok := r.calls[a.Request]; ok && c.abort != nil {
				c.abort()
			}
		}
	}
}

func (r *Router) send(server string, a dispatch.Action) {
	if l, ok := r.links[server]; ok {
		l.send(a)
	}
}

// deliver hands an action to the caller's handler. The channel has room: a request is bound once before its
// attempt's end is reported and finished once.
func (r *Router) deliver(id string, a dispatch.Action) {
	if c, ok := r.calls[id]; ok {
		c.events <- a
	}
}

// serve waits for the request to be bound, runs its attempts and returns how it ended.
func (r *Router) serve(ctx context.Context, c *call) dispatch.Finish {
	gone := ctx.Done()
	for {
		select {
		case a := <-c.events:
			switch a := a.(type) {
			case dispatch.Finish:
				return a
			case dispatch.Bind:
				r.attemptEnded(c, a, r.attempt(ctx, c, a))
			}
		case <-gone:
			gone = nil
			r.cancel(c.id)
		}
	}
}

func (r *Router) attemptEnded(c *call, b dispatch.Bind, res dispatch.Result) {
	now := r.o.Clock.Now()
	res.Delivered = c.transcript.Length()
	r.mu.Lock()
	defer r.mu.Unlock()
	c.abort = nil
	c.cut = nil
	actions := r.dispatch.AttemptEnded(now, c.id, b.Attempt, res)
	if !finished(actions, c.id) {
		r.o.Logger.Log(event.AttemptRetried, "request", c.id, "server", b.Server, "attempt", b.Attempt,
			"outcome", res.Outcome, "reason", res.Reason)
	}
	r.do(actions)
}

// finished reports whether actions end the request.
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
	r.do(r.dispatch.Cancel(now, id))
}

// notRun is the end of a request that was refused before it was queued.
func notRun(reason string, e *dispatch.NotRunError) dispatch.Finish {
	return dispatch.Finish{Outcome: outcome.NotRun, Reason: reason, RetryAfter: e.RetryAfter}
}
