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

	"github.com/laburnumring/laburnumring/internal/admission"
	"github.com/laburnumring/laburnumring/internal/answer"
	"github.com/laburnumring/laburnumring/internal/dispatch"
	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/peer"
	"github.com/laburnumring/laburnumring/internal/ticket"
	"github.com/laburnumring/laburnumring/pkg/clock"
	"github.com/laburnumring/laburnumring/pkg/outcome"
)

const (
	maxIdlePerAgent = 64
	idleTimeout     = 60 * time.Second
	withdrawTimeout = 300 * time.Millisecond
	maxReattaches   = 3
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
	body, err := r.post(ctx, address, peer.StartPath, r.startMessage(c, b))
	if err != nil {
		return r.lost(ctx, c, b, err)
	}
	c.buffer = nil
	res, err := r.receive(c, b, body)
	for n := 0; err != nil && n < maxReattaches && ctx.Err() == nil && retryable(err); n++ {
		r.o.Logger.Log(event.AnswerBroken, "request", c.id, "server", b.Server, "error", err)
		body, err = r.post(ctx, address, peer.ReattachPath, peer.ReattachMessage{
			Router: r.id, Offer: b.Offer, Request: c.id, Attempt: b.Attempt, From: c.position(),
		})
		if err == nil {
			res, err = r.receive(c, b, body)
		}
	}
	if err != nil {
		return r.lost(ctx, c, b, err)
	}
	return res
}

// arm makes the attempt stoppable and returns its agent's address.
func (r *Router) arm(c *call, b dispatch.Bind, cancel context.CancelFunc) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c.abort = cancel
	p, ok := r.board.Peer(b.Server)
	return p.Address, ok
}

func (r *Router) startMessage(c *call, b dispatch.Bind) peer.StartMessage {
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
			ResumeFrom:  b.ResumeFrom,
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
		return nil, fmt.Errorf("encode message to agent %s: %w", address, err)
	}
	scheme := "http"
	if r.o.TLS != nil {
		scheme = "https"
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, scheme+"://"+address+path, nil)
	if err != nil {
		return nil, fmt.Errorf("agent %s: %w", address, err)
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
			if err := c.write(f); err != nil {
				return dispatch.Result{Outcome: outcome.Unknown, Reason: "caller_gone", Final: true}, nil
			}
		}
		if err != nil {
			return dispatch.Result{}, err
		}
		if end, ok := asm.Whole(); ok {
			return resultOf(end), nil
		}
	}
}

func resultOf(end answer.End) dispatch.Result {
	return dispatch.Result{
		Outcome:    end.Outcome,
		Reason:     end.Reason,
		Final:      end.Final,
		ServerDied: end.Reason == "server_died",
		RetryAfter: end.RetryAfter,
	}
}

// retryable reports whether the rest of an answer may still be fetched after err.
func retryable(err error) bool {
	var status *agentStatusError
	var frame *answer.FrameError
	return !errors.As(err, &status) && !errors.As(err, &frame)
}

// lost finds out what can be said of an attempt whose stream broke: only the agent's own word proves that it
// did not start.
func (r *Router) lost(ctx context.Context, c *call, b dispatch.Bind, cause error) dispatch.Result {
	res := dispatch.Result{Outcome: outcome.Unknown, Reason: "connection_lost"}
	if ctx.Err() != nil {
		res.Reason = "deadline"
	}
	if r.withdrawOffer(b) == admission.Withdrawn {
		res.Outcome = outcome.NotRun
	}
	r.o.Logger.Log(event.AnswerBroken, "request", c.id, "server", b.Server, "error", cause)
	return res
}

// withdrawOffer asks the agent to stop an offer that has not started, on a connection of its own.
func (r *Router) withdrawOffer(b dispatch.Bind) admission.State {
	r.mu.Lock()
	p, ok := r.board.Peer(b.Server)
	r.mu.Unlock()
	if !ok {
		return 0
	}
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	client, err := peer.Dial(ctx, p.Address, r.o.TLS, r.counter)
	if err != nil {
		return 0
	}
	defer func() { _ = client.Close() }()
	var reply peer.WithdrawReply
	if err := invoke(ctx, client, "WithdrawOffer", peer.WithdrawArgs{Router: r.id, Offer: b.Offer}, &reply); err != nil {
		return 0
	}
	return reply.State
}

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
