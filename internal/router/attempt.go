package router

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/joomcode/errorx"

	"github.com/laburnumring/laburnumring/internal/admission"
	"github.com/laburnumring/laburnumring/internal/answer"
	"github.com/laburnumring/laburnumring/internal/dispatch"
	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/interval"
	"github.com/laburnumring/laburnumring/internal/peer"
	"github.com/laburnumring/laburnumring/internal/stream"
	"github.com/laburnumring/laburnumring/internal/suspect"
	"github.com/laburnumring/laburnumring/internal/ticket"
	"github.com/laburnumring/laburnumring/internal/transcript"
	"github.com/laburnumring/laburnumring/pkg/clock"
	"github.com/laburnumring/laburnumring/pkg/outcome"
)

const (
	maxIdlePerAgent = 64
	idleTimeout     = 60 * time.Second
	withdrawTimeout = 300 * time.Millisecond
	// reattachLimit is how long a broken stream is attached again; a repeatable request goes elsewhere sooner.
	reattachLimit           = 10 * clock.Second
	repeatableReattachLimit = 1 * clock.Second
	minReattachPause        = 20 * time.Millisecond
	maxReattachPause        = 500 * time.Millisecond
)

// newDataClient returns the client for answers. It must never send a request a second time by itself, which
// is why bodies are given without a way to rewind them.
func newDataClient(cfg *tls.Config) *http.Client {
	return &http.Client{Transport: &http.Transport{
		TLSClientConfig:     cfg,
		DialContext:         peer.Dialer(cfg, dialTimeout).DialContext,
		MaxIdleConnsPerHost: maxIdlePerAgent,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}
}

// attempt runs one attempt and says how it ended.
func (r *Router) attempt(caller context.Context, c *call, b dispatch.Bind) dispatch.Result {
	ctx, cancel := context.WithCancel(caller)
	defer cancel()
	res := r.runAttempt(ctx, cancel, c, b)
	if caller.Err() != nil && res.Outcome != outcome.Whole {
		res.Final = true
		res.Reason = "caller_gone"
	}
	return res
}

func (r *Router) runAttempt(ctx context.Context, cancel context.CancelFunc, c *call, b dispatch.Bind) dispatch.Result {
	address, ok := r.arm(c, b, cancel)
	if !ok {
		return dispatch.Result{Outcome: outcome.NotRun, Reason: "agent_gone"}
	}
	c.answering = false
	m := r.startMessage(c, b, c.begin())
	res, err := r.stream(ctx, c, b, address, peer.StartPath, m)
	if err == nil {
		return res
	}
	return r.reattach(ctx, c, b, address, err)
}

// reattach goes on with an attempt whose stream broke, until its agent answers or the time for it is over.
func (r *Router) reattach(ctx context.Context, c *call, b dispatch.Bind, address string, cause error) dispatch.Result {
	limit := r.o.Clock.Now() + reattachLimit
	if c.r.Repeatable {
		limit = r.o.Clock.Now() + repeatableReattachLimit
	}
	for pause := minReattachPause; ctx.Err() == nil && r.o.Clock.Now() < limit; pause = min(2*pause, maxReattachPause) {
		r.o.Logger.Log(event.AnswerBroken, "request", c.id, "server", b.Server, "error", cause)
		if !retryable(cause) {
			break
		}
		state, err := r.withdrawOffer(b)
		if err == nil && state != admission.Started && state != admission.Ended {
			return c.withdrawn(state)
		}
		if err == nil {
			res, err := r.stream(ctx, c, b, address, peer.ReattachPath, peer.ReattachMessage{
				Router: r.id, Offer: b.Offer, Request: c.id, Attempt: b.Attempt, From: c.position(),
			})
			if err == nil {
				return res
			}
			cause = err
		}
		interval.Sleep(ctx, pause)
	}
	return r.lost(ctx, c, b)
}

// lost is the end of an attempt whose stream is given up: only the agent's own word proves that it did not
// start.
func (r *Router) lost(ctx context.Context, c *call, b dispatch.Bind) dispatch.Result {
	state, _ := r.withdrawOffer(b)
	res := c.withdrawn(state)
	if ctx.Err() != nil {
		res.Reason = "deadline"
	}
	return res
}

// withdrawn is the end of an attempt that was stopped while its offer was in the given state. An attempt whose
// answer began has run, whatever became of the offer.
func (c *call) withdrawn(state admission.State) dispatch.Result {
	if state == admission.Withdrawn && !c.answering {
		return dispatch.Result{Outcome: outcome.NotRun, Reason: "withdrawn"}
	}
	return dispatch.Result{Outcome: outcome.Unknown, Reason: "connection_lost"}
}

// arm makes the attempt stoppable and returns its agent's address.
func (r *Router) arm(c *call, b dispatch.Bind, cancel context.CancelFunc) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c.abort = cancel
	c.server = b.Server
	p, ok := r.board.Peer(b.Server)
	return p.Address, ok
}

// cutStreams breaks the streams from a server's agent, so that they are attached again or given up; callers
// hold mu.
func (r *Router) cutStreams(server string) {
	for _, c := range r.calls {
		if c.server == server && c.cut != nil {
			c.cut()
		}
	}
}

// stream sends one message to an agent and copies the frames that it answers with. A nil error means that the
// attempt's end was received.
func (r *Router) stream(
	ctx context.Context, c *call, b dispatch.Bind, address, path string, message any,
) (dispatch.Result, error) {
	ctx, cut := context.WithCancel(ctx)
	defer cut()
	r.mu.Lock()
	c.cut = cut
	r.mu.Unlock()
	body, err := r.post(ctx, address, path, message)
	if err != nil {
		return dispatch.Result{}, err
	}
	return r.receive(c, b, body)
}

func (r *Router) startMessage(c *call, b dispatch.Bind, from int64) peer.StartMessage {
	return peer.StartMessage{
		Start: ticket.Start{
			Offer:       b.Offer,
			Router:      r.id,
			Request:     c.id,
			Attempt:     b.Attempt,
			Team:        c.r.Team,
			Remaining:   c.r.Deadline - r.o.Clock.Now(),
			Repeatable:  c.r.Repeatable,
			Key:         c.key,
			KeyTime:     clock.Millis(c.keyTime),
			Fingerprint: c.r.Fingerprint,
			ResumeFrom:  from,
			Method:      c.method,
			Path:        c.path,
			ContentType: c.contentType,
		},
		Body: c.body,
	}
}

// post sends one message to an agent, once, and returns the stream that it answers with.
func (r *Router) post(ctx context.Context, address, path string, message any) (io.ReadCloser, error) {
	data, err := cbor.Marshal(message)
	if err != nil {
		return nil, errorx.Decorate(err, "encode message to agent %s", address)
	}
	scheme := "http"
	if r.o.TLS != nil {
		scheme = "https"
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, scheme+"://"+address+path, nil)
	if err != nil {
		return nil, errorx.Decorate(err, "agent %s", address)
	}
	req.Body = io.NopCloser(bytes.NewReader(data))
	req.ContentLength = int64(len(data))
	resp, err := r.data.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, &agentStatusError{Address: address, Status: resp.StatusCode}
	}
	return resp.Body, nil
}

// receive copies one stream of frames to the caller. A nil error means that the attempt's end was received.
func (r *Router) receive(c *call, b dispatch.Bind, body io.ReadCloser) (dispatch.Result, error) {
	defer func() { _ = body.Close() }()
	in := answer.NewReader(body)
	asm := answer.NewAssembler(c.id, b.Attempt, c.position())
	for {
		f, err := in.Next()
		if err != nil {
			return dispatch.Result{}, err
		}
		frames, err := asm.Accept(f)
		for _, f := range frames {
			c.answering = c.answering || f.Head != nil
			if err := c.write(f); err != nil {
				return unwritten(err), nil
			}
		}
		if err != nil {
			return dispatch.Result{}, err
		}
		if end, ok := asm.Whole(); ok {
			stream.ReadToEOF(body)
			return r.ended(c, end), nil
		}
	}
}

// ended is the result of an attempt whose end was received.
func (r *Router) ended(c *call, end answer.End) dispatch.Result {
	if end.Suspect != nil {
		r.learn("", []suspect.Entry{*end.Suspect})
	}
	if end.Outcome != outcome.Whole {
		return resultOf(end)
	}
	if err := c.end(); err != nil {
		return unwritten(err)
	}
	r.invariants.Checkf(end.Length == c.position(), "whole_answer",
		"request %s is whole at length %d, delivered were %d", c.id, end.Length, c.position())
	return resultOf(end)
}

// unwritten is the result of an attempt whose answer cannot go to the caller.
func unwritten(err error) dispatch.Result {
	var differs *transcript.ContradictionError
	if errors.As(err, &differs) {
		return dispatch.Result{Outcome: outcome.Unknown, Reason: "answers_differ", Final: true}
	}
	return dispatch.Result{Outcome: outcome.Unknown, Reason: "caller_gone", Final: true}
}

func resultOf(end answer.End) dispatch.Result {
	return dispatch.Result{
		Outcome:    end.Outcome,
		Reason:     end.Reason,
		Final:      end.Final,
		RetryAfter: end.RetryAfter,
	}
}

// retryable reports whether the rest of an answer may still be fetched after err.
func retryable(err error) bool {
	var status *agentStatusError
	var frame *answer.FrameError
	return !errors.As(err, &status) && !errors.As(err, &frame)
}

// withdrawOffer asks the agent to stop an offer that has not started, on a connection of its own. The state is
// 0 when the agent does not know the offer. After an error nothing is known.
func (r *Router) withdrawOffer(b dispatch.Bind) (admission.State, error) {
	r.mu.Lock()
	p, ok := r.board.Peer(b.Server)
	r.mu.Unlock()
	if !ok {
		return 0, errAgentGone
	}
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	client, err := peer.Dial(ctx, p.Address, r.o.TLS, r.counter)
	if err != nil {
		return 0, err
	}
	defer func() { _ = client.Close() }()
	var reply peer.WithdrawReply
	err = invoke(ctx, client, "WithdrawOffer", peer.WithdrawArgs{Router: r.id, Offer: b.Offer}, &reply)
	return reply.State, err
}

// errAgentGone reports an agent that the configuration does not name any more.
var errAgentGone = errors.New("agent is not configured")

// agentStatusError reports an agent's answer that is no stream.
type agentStatusError struct {
	// Address is the agent's address.
	Address string
	// Status is the HTTP status.
	Status int
}

// Error implements error.
func (e *agentStatusError) Error() string {
	return fmt.Sprintf("agent %s answered status %d", e.Address, e.Status)
}
