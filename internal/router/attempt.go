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
	// reattachTimeout limits how long the router tries to reattach to a broken stream. It is shorter for a
	// repeatable request, which can be sent to another server instead.
	reattachTimeout           = 10 * clock.Second
	repeatableReattachTimeout = 1 * clock.Second
	minReattachBackoff        = 20 * time.Millisecond
	maxReattachBackoff        = 500 * time.Millisecond
)

// newDataClient returns the HTTP client for requests to agents. The client must never resend a request by
// itself, so post gives it bodies that cannot be rewound.
func newDataClient(cfg *tls.Config) *http.Client {
	return &http.Client{Transport: &http.Transport{
		TLSClientConfig:     cfg,
		DialContext:         peer.Dialer(cfg, dialTimeout).DialContext,
		MaxIdleConnsPerHost: maxIdlePerAgent,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}
}

// runAttempt runs one attempt and returns its result. An attempt without a complete answer is final when the caller
// has disconnected.
func (r *Router) runAttempt(callerCtx context.Context, c *call, b dispatch.Bind) dispatch.Result {
	ctx, cancel := context.WithCancel(callerCtx)
	defer cancel()
	res := r.streamAttempt(ctx, cancel, c, b)
	if callerCtx.Err() != nil && res.Outcome != outcome.Whole {
		res.Final = true
		res.Reason = "caller_gone"
	}
	return res
}

func (r *Router) streamAttempt(ctx context.Context, cancel context.CancelFunc, c *call, b dispatch.Bind) dispatch.Result {
	address, ok := r.setCancel(c, b, cancel)
	if !ok {
		return dispatch.Result{Outcome: outcome.NotRun, Reason: "agent_gone"}
	}
	c.answerStarted = false
	m := r.startMessage(c, b, c.beginAttempt())
	res, err := r.stream(ctx, c, b, address, peer.StartPath, m)
	if err == nil {
		return res
	}
	return r.reattach(ctx, c, b, address, err)
}

// reattach resumes an attempt whose stream broke. Each round first tries to withdraw the offer, which ends an
// attempt that has not started, and then to reattach to the stream. After the timeout the attempt is abandoned.
func (r *Router) reattach(ctx context.Context, c *call, b dispatch.Bind, address string, cause error) dispatch.Result {
	deadline := r.o.Clock.Now() + reattachTimeout
	if c.request.Repeatable {
		deadline = r.o.Clock.Now() + repeatableReattachTimeout
	}
	for backoff := minReattachBackoff; ctx.Err() == nil && r.o.Clock.Now() < deadline; backoff = min(2*backoff, maxReattachBackoff) {
		r.o.Logger.Log(event.AnswerBroken, "request", c.id, "server", b.Server, "error", cause)
		if !canReattach(cause) {
			break
		}
		state, err := r.withdrawOffer(b)
		if err == nil && state != admission.Started && state != admission.Ended {
			return c.withdrawalResult(state)
		}
		if err == nil {
			res, err := r.stream(ctx, c, b, address, peer.ReattachPath, peer.ReattachMessage{
				Router: r.id, Offer: b.Offer, Request: c.id, Attempt: b.Attempt, From: c.nextOffset(),
			})
			if err == nil {
				return res
			}
			cause = err
		}
		interval.Sleep(ctx, backoff)
	}
	return r.abandon(ctx, c, b)
}

// abandon withdraws the offer of an attempt whose stream could not be resumed and returns the attempt's result.
// Only the agent's reply to the withdrawal proves that the attempt did not start.
func (r *Router) abandon(ctx context.Context, c *call, b dispatch.Bind) dispatch.Result {
	state, _ := r.withdrawOffer(b)
	res := c.withdrawalResult(state)
	if ctx.Err() != nil {
		res.Reason = "deadline"
	}
	return res
}

// withdrawalResult returns the result of an attempt that was stopped while its offer was in the given state. An
// attempt whose answer has started has run, whatever the state of the offer.
func (c *call) withdrawalResult(state admission.State) dispatch.Result {
	if state == admission.Withdrawn && !c.answerStarted {
		return dispatch.Result{Outcome: outcome.NotRun, Reason: "withdrawn"}
	}
	return dispatch.Result{Outcome: outcome.Unknown, Reason: "connection_lost"}
}

// setCancel stores the function that cancels the attempt and returns the address of the attempt's agent. It
// reports false when the agent is no longer configured.
func (r *Router) setCancel(c *call, b dispatch.Bind, cancel context.CancelFunc) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c.cancelAttempt = cancel
	c.server = b.Server
	p, ok := r.board.Peer(b.Server)
	return p.Address, ok
}

// cancelStreams cancels the streams from a server's agent, so that their attempts are reattached or abandoned.
// It must be called with mu held.
func (r *Router) cancelStreams(server string) {
	for _, c := range r.calls {
		if c.server == server && c.cancelStream != nil {
			c.cancelStream()
		}
	}
}

// stream sends one message to an agent and copies the frames of the reply to the caller. A nil error means that
// the end of the attempt was received.
func (r *Router) stream(
	ctx context.Context, c *call, b dispatch.Bind, address, path string, message any,
) (dispatch.Result, error) {
	ctx, cancelStream := context.WithCancel(ctx)
	defer cancelStream()
	r.mu.Lock()
	c.cancelStream = cancelStream
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
			Team:        c.request.Team,
			Remaining:   c.request.Deadline - r.o.Clock.Now(),
			Repeatable:  c.request.Repeatable,
			Key:         c.key,
			KeyTime:     clock.Millis(c.keyTime),
			Fingerprint: c.request.Fingerprint,
			ResumeFrom:  from,
			Method:      c.method,
			Path:        c.path,
			ContentType: c.contentType,
		},
		Body: c.body,
	}
}

// post sends one message to an agent exactly once and returns the body of the response, a stream of frames.
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
	resp, err := r.dataClient.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, &agentStatusError{Address: address, Status: resp.StatusCode}
	}
	return resp.Body, nil
}

// receive copies the frames in body to the caller. A nil error means that the end of the attempt was received.
func (r *Router) receive(c *call, b dispatch.Bind, body io.ReadCloser) (dispatch.Result, error) {
	defer func() { _ = body.Close() }()
	reader := answer.NewReader(body)
	asm := answer.NewAssembler(c.id, b.Attempt, c.nextOffset())
	for {
		f, err := reader.Next()
		if err != nil {
			return dispatch.Result{}, err
		}
		frames, err := asm.Accept(f)
		for _, f := range frames {
			c.answerStarted = c.answerStarted || f.Head != nil
			if err := c.writeFrame(f); err != nil {
				return c.writeErrorResult(err), nil
			}
		}
		if err != nil {
			return dispatch.Result{}, err
		}
		if end, ok := asm.Whole(); ok {
			stream.ReadToEOF(body)
			return r.finishAttempt(c, end), nil
		}
	}
}

// finishAttempt returns the result of an attempt whose end frame was received.
func (r *Router) finishAttempt(c *call, end answer.End) dispatch.Result {
	if end.Suspect != nil {
		r.mergeSuspects("", []suspect.Entry{*end.Suspect})
	}
	if end.Outcome != outcome.Whole {
		return resultOf(end)
	}
	if err := c.checkEnd(); err != nil {
		return c.writeErrorResult(err)
	}
	r.invariants.Checkf(end.Length == c.nextOffset(), "whole_answer",
		"request %s: the end frame gives length %d, but %d bytes were delivered", c.id, end.Length, c.nextOffset())
	return resultOf(end)
}

// writeErrorResult returns the result of an attempt whose answer could not be written to the caller.
func (c *call) writeErrorResult(err error) dispatch.Result {
	var differs *transcript.ContradictionError
	if errors.As(err, &differs) {
		return dispatch.Result{Outcome: outcome.Unknown, Reason: "answers_differ", Final: true}
	}
	var version *transcript.VersionError
	if errors.As(err, &version) {
		// Further attempts send the answer from the start.
		c.resumesExactly = false
		return dispatch.Result{Outcome: outcome.Unknown, Reason: "versions_differ"}
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

// canReattach reports whether the rest of the answer may still be available after err.
func canReattach(err error) bool {
	var status *agentStatusError
	var frame *answer.FrameError
	return !errors.As(err, &status) && !errors.As(err, &frame)
}

// withdrawOffer asks the agent to withdraw an offer that has not started. It uses a connection of its own. The
// returned state is the offer's state afterwards, or 0 when the agent does not know the offer. After an error
// the state is unknown.
func (r *Router) withdrawOffer(b dispatch.Bind) (admission.State, error) {
	r.mu.Lock()
	p, ok := r.board.Peer(b.Server)
	r.mu.Unlock()
	if !ok {
		return 0, errAgentRemoved
	}
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	client, err := peer.Dial(ctx, p.Address, r.o.TLS, r.peerTraffic)
	if err != nil {
		return 0, err
	}
	defer func() { _ = client.Close() }()
	var reply peer.WithdrawReply
	err = callAgent(ctx, client, "WithdrawOffer", peer.WithdrawArgs{Router: r.id, Offer: b.Offer}, &reply)
	return reply.State, err
}

// errAgentRemoved reports an agent that is no longer in the configuration.
var errAgentRemoved = errors.New("agent is not configured")

// agentStatusError reports an agent's response with a status other than 200.
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
