package router

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/joomcode/errorx"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/answer"
	"github.com/laburnumring/laburnumring/internal/dispatch"
	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/httpserve"
	"github.com/laburnumring/laburnumring/pkg/clock"
	"github.com/laburnumring/laburnumring/pkg/header"
	"github.com/laburnumring/laburnumring/pkg/outcome"
)

// refusalBody is the JSON body of a response without a complete answer.
type refusalBody struct {
	Request string          `json:"request,omitempty"`
	Outcome outcome.Outcome `json:"outcome"`
	Reason  string          `json:"reason"`
	Detail  string          `json:"detail,omitempty"`
	// RetryAfterMs is the time after which the caller may retry.
	RetryAfterMs clock.Millis `json:"retry_after_ms,omitempty"`
}

// writeFrame writes the part of a frame that the caller does not have yet. The frames of a plain service are
// only buffered. Its errors are of type *transcript.ContradictionError or *transcript.VersionError, or
// write errors.
func (c *call) writeFrame(f answer.Frame) error {
	if c.plain {
		c.bufferFrame(f)
		return nil
	}
	if f.Head != nil {
		first, err := c.transcript.Head(*f.Head)
		if err != nil {
			return err
		}
		if first {
			c.writeHead(*f.Head)
		}
	}
	unsent, err := c.transcript.Data(f.Data)
	if err != nil || len(unsent) == 0 {
		return err
	}
	if _, err := c.w.Write(unsent); err != nil {
		return errorx.Decorate(err, "write to caller")
	}
	return http.NewResponseController(c.w).Flush()
}

// beginAttempt prepares for an attempt and returns the offset from which the attempt must send the answer.
func (c *call) beginAttempt() int64 {
	if c.plain {
		c.buffer = nil
		return 0
	}
	return c.transcript.StartAttempt(c.resumesExactly)
}

// checkEnd checks that an attempt that ended as complete covers all that the caller has received. Its errors are
// of type *transcript.ContradictionError.
func (c *call) checkEnd() error {
	if c.plain {
		return nil
	}
	return c.transcript.End()
}

// nextOffset returns the offset of the next byte of the running attempt's answer.
func (c *call) nextOffset() int64 {
	if c.plain {
		return int64(len(c.buffer))
	}
	return c.transcript.Offset()
}

// bufferFrame stores a frame of a plain service's answer.
func (c *call) bufferFrame(f answer.Frame) {
	if f.Head != nil {
		c.status, c.unmarked = f.Head.Status, f.Head.Unmarked
		c.w.Header().Set("Content-Type", f.Head.ContentType)
	}
	c.buffer = append(c.buffer, f.Data...)
}

// sendPlain writes the answer of a plain service. ctx is the context of the caller's request.
func (c *call) sendPlain(ctx context.Context) {
	c.w.Header().Set(header.Request, c.id)
	if !c.unmarked {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(c.buffer)))
		c.w.WriteHeader(c.status)
		_, _ = c.w.Write(c.buffer)
		return
	}
	httpserve.EndWithConnection(c.w.Header())
	httpserve.ResetOnExit(ctx, true)
	c.w.WriteHeader(c.status)
	if _, err := c.w.Write(c.buffer); err != nil || http.NewResponseController(c.w).Flush() != nil {
		httpserve.Abort(c.w, false)
		return
	}
	httpserve.ResetOnExit(ctx, false)
}

// writeHead writes the status and announces the trailers that follow a complete answer.
func (c *call) writeHead(h laburnumring.AnswerHead) {
	c.headSent = true
	hd := c.w.Header()
	hd.Set("Content-Type", h.ContentType)
	hd.Set(header.Request, c.id)
	hd.Set("Trailer", header.Outcome+", "+header.Length)
	c.w.WriteHeader(h.Status)
}

// finish writes the end of the response. A response that has started but has no complete answer is aborted, so
// that the caller cannot mistake it for a complete one.
func (c *call) finish(ctx context.Context, f dispatch.Finish, l *event.Logger) {
	if f.Outcome == outcome.Whole || f.Outcome == outcome.Unmarked {
		c.w.Header().Set(header.Outcome, string(f.Outcome))
		if c.plain {
			c.sendPlain(ctx)
			return
		}
		c.w.Header().Set(header.Length, strconv.FormatInt(c.transcript.Length(), 10))
		return
	}
	l.Log(event.RequestIncomplete, "request", c.id, "team", c.request.Team, "service", c.request.Service,
		"outcome", f.Outcome, "reason", f.Reason)
	if c.headSent {
		httpserve.Abort(c.w, c.framed)
		return
	}
	c.w.Header().Set(header.Request, c.id)
	c.w.Header().Set(header.Outcome, string(f.Outcome))
	c.w.Header().Set(header.Reason, f.Reason)
	setRetryAfter(c.w, f.RetryAfter)
	writeRefusal(c.w, statusOf(f), refusalBody{
		Request: c.id, Outcome: f.Outcome, Reason: f.Reason, RetryAfterMs: f.RetryAfter,
	})
}

// statusOf returns the HTTP status of a request that ended without a complete answer.
func statusOf(f dispatch.Finish) int {
	if status, ok := idempotencyKeyStatus(f.Reason); ok {
		return status
	}
	switch f.Outcome {
	case outcome.NotRun:
		if f.Reason == "queue_full" {
			return http.StatusTooManyRequests
		}
		return http.StatusServiceUnavailable
	case outcome.Failed:
		return http.StatusBadGateway
	default:
		return http.StatusGatewayTimeout
	}
}

func setRetryAfter(w http.ResponseWriter, m clock.Millis) {
	w.Header().Set("Retry-After", strconv.FormatInt(max(1, m.Seconds()), 10))
	w.Header().Set(header.RetryAfterMs, strconv.FormatInt(int64(m), 10))
}

func writeRefusal(w http.ResponseWriter, status int, body refusalBody) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
