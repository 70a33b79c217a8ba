package router

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/joomcode/errorx"

	"github.com/laburnumring/laburnumring/internal/answer"
	"github.com/laburnumring/laburnumring/internal/dispatch"
	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/pkg/clock"
	"github.com/laburnumring/laburnumring/pkg/header"
	"github.com/laburnumring/laburnumring/pkg/outcome"
)

// refusalBody is the JSON body of an answer that is not whole.
type refusalBody struct {
	Request string          `json:"request,omitempty"`
	Outcome outcome.Outcome `json:"outcome"`
	Reason  string          `json:"reason"`
	Detail  string          `json:"detail,omitempty"`
	// RetryAfterMs is when to come back.
	RetryAfterMs clock.Millis `json:"retry_after_ms,omitempty"`
}

// write passes one frame on to the caller, as far as the caller does not have it. Its errors are of type
// *transcript.ContradictionError or of writing.
func (c *call) write(f answer.Frame) error {
	if c.plain {
		c.keep(f)
		return nil
	}
	if f.Head != nil {
		first, err := c.transcript.Head(*f.Head)
		if err != nil {
			return err
		}
		if first {
			c.head(*f.Head)
		}
	}
	fresh, err := c.transcript.Data(f.Data)
	if err != nil || len(fresh) == 0 {
		return err
	}
	if _, err := c.w.Write(fresh); err != nil {
		return errorx.Decorate(err, "write to caller")
	}
	return http.NewResponseController(c.w).Flush()
}

// begin prepares for an attempt and returns the offset from which its answer must come.
func (c *call) begin() int64 {
	if c.plain {
		c.buffer = nil
		return 0
	}
	return c.transcript.StartAttempt(c.resumesExactly)
}

// end checks that a whole attempt's answer covers what the caller has. Its errors are of type
// *transcript.ContradictionError.
func (c *call) end() error {
	if c.plain {
		return nil
	}
	return c.transcript.End()
}

// position is the offset of the next byte of the attempt's answer.
func (c *call) position() int64 {
	if c.plain {
		return int64(len(c.buffer))
	}
	return c.transcript.Offset()
}

// keep stores a frame of a plain answer.
func (c *call) keep(f answer.Frame) {
	if f.Head != nil {
		c.status = f.Head.Status
		c.w.Header().Set("Content-Type", f.Head.ContentType)
	}
	c.buffer = append(c.buffer, f.Data...)
}

// sendPlain sends a whole plain answer.
func (c *call) sendPlain() {
	c.w.Header().Set(header.Request, c.id)
	c.w.Header().Set("Content-Length", strconv.Itoa(len(c.buffer)))
	c.w.WriteHeader(c.status)
	_, _ = c.w.Write(c.buffer)
}

// head sends the status and the names of the trailers that close a whole answer.
func (c *call) head(h answer.Head) {
	c.headSent = true
	hd := c.w.Header()
	hd.Set("Content-Type", h.ContentType)
	hd.Set(header.Request, c.id)
	hd.Set("Trailer", header.Outcome+", "+header.Length)
	c.w.WriteHeader(h.Status)
}

// close sends the end of the request. An answer that was begun and is not whole is cut off, so that no caller
// takes it for a whole one.
func (c *call) close(f dispatch.Finish, l *event.Logger) {
	if f.Outcome == outcome.Whole {
		c.w.Header().Set(header.Outcome, string(f.Outcome))
		if c.plain {
			c.sendPlain()
			return
		}
		c.w.Header().Set(header.Length, strconv.FormatInt(c.transcript.Length(), 10))
		return
	}
	l.Log(event.RequestNotWhole, "request", c.id, "team", c.r.Team, "service", c.r.Service,
		"outcome", f.Outcome, "reason", f.Reason)
	if c.headSent {
		panic(http.ErrAbortHandler)
	}
	c.w.Header().Set(header.Request, c.id)
	c.w.Header().Set(header.Outcome, string(f.Outcome))
	c.w.Header().Set(header.Reason, f.Reason)
	setRetryAfter(c.w, f.RetryAfter)
	writeBody(c.w, statusOf(f), refusalBody{
		Request: c.id, Outcome: f.Outcome, Reason: f.Reason, RetryAfterMs: f.RetryAfter,
	})
}

// statusOf returns the HTTP status of an outcome that is not whole.
func statusOf(f dispatch.Finish) int {
	if status, ok := keyStatus(f.Reason); ok {
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

func writeBody(w http.ResponseWriter, status int, body refusalBody) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
