package direct

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/eventstream"
	"github.com/laburnumring/laburnumring/internal/httpserve"
	"github.com/laburnumring/laburnumring/internal/ingress"
	"github.com/laburnumring/laburnumring/internal/intake"
	"github.com/laburnumring/laburnumring/internal/upstream"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Limits of answers that are buffered until they are complete.
const (
	maxBufferedAnswer = 1 << 20
	// freeAnswer are buffered of each answer, and maxBufferedAnswer while the account has memory for answers.
	freeAnswer       = 4 << 10
	streamBufferSize = 4 << 10
	// maxEvent limits the bytes of a stream that are buffered until their event ends.
	maxEvent = 64 << 10
)

// AnswerTooLongError reports that a server's error response, or one event of its stream, was longer than the limit.
type AnswerTooLongError struct {
	Server string
	// Limit is in bytes.
	Limit int64
}

// Error implements error.
func (e *AnswerTooLongError) Error() string {
	return fmt.Sprintf("answer of backend server %s is longer than %d bytes", e.Server, e.Limit)
}

// answer is a server's complete answer.
type answer struct {
	resp *http.Response
	body ingress.Buffer
	// transfer holds the memory of the body.
	transfer *ingress.Transfer
}

// read reads the body up to its end or the limit, as far as there is memory. It reports whether it is complete.
func (a *answer) read() (complete bool, err error) {
	err = a.body.Read(io.LimitReader(a.resp.Body, freeAnswer), -1, nil)
	if err != nil || a.body.Len() < freeAnswer {
		return err == nil, err
	}
	err = a.body.Read(io.LimitReader(a.resp.Body, maxBufferedAnswer-freeAnswer), -1, a.transfer)
	var full *ingress.FullError
	if errors.As(err, &full) {
		return false, nil
	}
	return err == nil && a.body.Len() < maxBufferedAnswer, err
}

// send sends the body to the caller. An answer that holds memory may be evicted while its caller does not read it.
func (a *answer) send(c *call) error {
	if a.body.Len() > freeAnswer {
		a.transfer.Start(a.body.Len(), func() { _ = http.NewResponseController(c.w).SetWriteDeadline(time.Unix(1, 0)) })
	}
	if err := a.body.Send(c.w, a.transfer); err != nil {
		return err
	}
	return a.transfer.Settle()
}

// release drops the body.
func (a *answer) release() {
	a.body.Release()
	a.transfer.Release()
}

// write sends the answer to the caller.
func (a *answer) write(c *call) {
	c.commit(a.resp)
	if c.framed && c.req.Method != http.MethodHead && a.resp.StatusCode != http.StatusNoContent {
		c.w.Header().Set("Content-Length", strconv.FormatInt(a.body.Len(), 10))
	}
	c.w.WriteHeader(a.resp.StatusCode)
	if err := a.send(c); err != nil && c.req.Method != http.MethodHead {
		c.result = resultCallerGone
	}
}

// forwardBuffered reads an answer to its end before it sends it to the caller, so that the request can be repeated if
// the answer breaks off.
func (r *Router) forwardBuffered(
	ctx context.Context, c *call, d intake.Decision, conn *upstream.Conn, resp *http.Response,
) attemptEnd {
	if c.committed {
		// The caller's answer is a stream, which nothing but its events continues.
		r.pool.Drain(conn, resp)
		return attemptEnd{
			result: intake.Failed, err: fmt.Errorf("backend server answered a resumed stream with status %d", resp.StatusCode),
		}
	}
	a := &answer{resp: resp, transfer: r.o.Account.Open(ingress.Answer)}
	c.replaceAnswer(a)
	complete, err := a.read()
	if err != nil {
		return r.connectionLost(ctx, c, d, conn, err)
	}
	if !complete {
		if resp.StatusCode >= http.StatusInternalServerError {
			return r.connectionLost(ctx, c, d, conn, &AnswerTooLongError{Server: d.Server.ID, Limit: a.body.Len()})
		}
		return r.forwardLong(ctx, c, d, conn, a)
	}
	r.pool.Release(conn, resp)
	if resp.StatusCode < http.StatusInternalServerError {
		if err := r.checkEnd(ctx, c, d, resp); err != nil {
			return r.connectionLost(ctx, c, d, conn, err)
		}
	}
	r.recordStart(c)
	if resp.StatusCode >= http.StatusInternalServerError {
		return attemptEnd{
			result: intake.Failed, answer: a, err: fmt.Errorf("backend server failed the request: status %d", resp.StatusCode),
		}
	}
	c.result = resultComplete
	a.write(c)
	return attemptEnd{result: intake.Whole, final: true}
}

// replaceAnswer releases the answer of an earlier attempt and keeps a until the request ends.
func (c *call) replaceAnswer(a *answer) {
	if c.buffered != nil {
		c.buffered.release()
	}
	c.buffered = a
}

// forwardLong forwards an answer that is too long to be buffered, or for which there is no memory. a holds what has been
// read of it.
func (r *Router) forwardLong(ctx context.Context, c *call, d intake.Decision, conn *upstream.Conn, a *answer) attemptEnd {
	resp := a.resp
	r.recordStart(c)
	c.commit(resp)
	c.w.WriteHeader(resp.StatusCode)
	if err := a.send(c); err != nil {
		_ = conn.Close()
		return c.callerGone(err)
	}
	a.release()
	_, err := io.Copy(c.w, resp.Body)
	if err == nil {
		err = r.checkEnd(ctx, c, d, resp)
	}
	if err != nil {
		e := r.connectionLost(ctx, c, d, conn, err)
		c.result = resultFailed
		e.final = true
		return e
	}
	r.pool.Release(conn, resp)
	c.result = resultComplete
	return attemptEnd{result: intake.Whole, final: true}
}

// callerGone ends an attempt whose caller has gone.
func (c *call) callerGone(err error) attemptEnd {
	c.result = resultCallerGone
	c.committed = true
	return attemptEnd{result: intake.Abandoned, final: true, err: err}
}

// streamBuffers holds the read buffers of streams that have ended.
var streamBuffers = sync.Pool{New: func() any { return new([streamBufferSize]byte) }}

// forwardStream forwards the complete events of a stream as they arrive.
func (r *Router) forwardStream(
	ctx context.Context, c *call, d intake.Decision, conn *upstream.Conn, resp *http.Response,
) attemptEnd {
	buf, _ := streamBuffers.Get().(*[streamBufferSize]byte)
	defer streamBuffers.Put(buf)
	out := http.NewResponseController(c.w)
	c.events.Restart()
	var last clock.Millis
	for {
		n, err := resp.Body.Read(buf[:])
		if err != nil {
			c.brokenAt = r.o.Clock.Now()
		}
		complete := c.events.Feed(buf[:n])
		if len(c.events.Rest()) > maxEvent {
			return r.connectionLost(ctx, c, d, conn, &AnswerTooLongError{Server: d.Server.ID, Limit: maxEvent})
		}
		if errors.Is(err, io.EOF) {
			if cut := c.cutStream(d.Server.ID, resp, len(complete)); cut != nil {
				err = cut
			} else {
				complete = append(complete, c.events.Rest()...)
			}
		}
		if len(complete) > 0 || errors.Is(err, io.EOF) {
			r.recordOrigin(c, d, conn, complete)
			last = r.recordProgress(c, complete, last)
			if werr := c.writeEvents(out, resp, complete); werr != nil {
				_ = conn.Close()
				return c.callerGone(werr)
			}
		}
		if errors.Is(err, io.EOF) {
			err = r.checkEnd(ctx, c, d, resp)
			if err == nil {
				r.pool.Release(conn, resp)
				c.result = resultComplete
				return attemptEnd{result: intake.Whole, final: true}
			}
		}
		if err != nil {
			return r.connectionLost(ctx, c, d, conn, err)
		}
	}
}

// StreamCutError reports that a stream ended with its connection, inside an event or before the first one.
type StreamCutError struct {
	Server string
	// Rest is the number of bytes after the last complete event.
	Rest int
}

// Error implements error.
func (e *StreamCutError) Error() string {
	return fmt.Sprintf("backend server %s ended its stream %d bytes into an event", e.Server, e.Rest)
}

// cutStream returns an error if a stream that has ended was cut: inside an event, or, where nothing but the end of the
// connection marks its end, before the first event. A stream that goes on may have no further events. last is the number
// of bytes of events in the last read.
func (c *call) cutStream(server string, resp *http.Response, last int) error {
	rest := len(bytes.TrimSpace(c.events.Rest()))
	if rest > 0 || upstream.EndsWithConnection(resp) && !c.begun && last == 0 && c.lastEvent() == "" {
		return &StreamCutError{Server: server, Rest: rest}
	}
	return nil
}

// writeEvents sends events to the caller, preceded by the response's header if the caller has none yet.
func (c *call) writeEvents(out *http.ResponseController, resp *http.Response, events []byte) error {
	if !c.committed {
		c.commit(resp)
		c.w.Header().Del("Content-Length")
		c.w.WriteHeader(resp.StatusCode)
	}
	if _, err := c.w.Write(events); err != nil {
		return err
	}
	return out.Flush()
}

// commit copies a response's status and header to the answer to the caller.
func (c *call) commit(resp *http.Response) {
	c.committed = true
	c.status = resp.StatusCode
	h := c.w.Header()
	closing := h.Get("Connection")
	dropHopHeaders(resp.Header)
	for name, values := range resp.Header {
		h[name] = values
	}
	if upstream.EndsWithConnection(resp) {
		httpserve.EndWithConnection(h)
	}
	c.framed = httpserve.Framed(c.req, h)
	if !c.framed {
		httpserve.ResetOnExit(c.req.Context(), true)
	}
	for _, name := range []string{"Content-Type", "Date"} {
		if _, ok := h[name]; !ok {
			// A nil value keeps net/http from adding a header of its own.
			h[name] = nil
		}
	}
	if closing != "" {
		h.Set("Connection", closing)
	}
}

// recordOrigin records which server begins the caller's stream, before the caller gets its first events.
func (r *Router) recordOrigin(c *call, d intake.Decision, conn *upstream.Conn, events []byte) {
	if len(events) == 0 || c.origin.Software != 0 || !c.route.Resumable() {
		return
	}
	c.origin = laburnumring.NewStreamOrigin(c.head.ID, d.Server)
	now := r.o.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lineage.Begin(now, c.origin, d.Server.Service)
	// The process at the other end has not changed since it answered first on the connection.
	r.lineage.VerifyLater(conn.AnsweredAt(), c.origin.Stream, d.Server)
	r.verifyOrigins(now)
}

// verifyOrigins verifies the origins of streams by the newest list. The caller holds mu.
func (r *Router) verifyOrigins(now clock.Millis) {
	r.lineage.ListRead(r.listReads.NewestAt())
	r.lineage.Verify(now, r.roster.Entry)
}

// recordProgress records events of a stream. last is when the events before them arrived, 0 for the first. It returns
// the current time.
func (r *Router) recordProgress(c *call, events []byte, last clock.Millis) clock.Millis {
	if last == 0 {
		r.recordStart(c)
		c.begunEvents = eventstream.Count(events)
		return r.o.Clock.Now()
	}
	now := r.o.Clock.Now()
	c.maxGap = max(c.maxGap, now-last)
	n := eventstream.Count(events)
	c.begunEvents += n
	r.mu.Lock()
	defer r.mu.Unlock()
	r.intake.Progress(c.seq, n, now-last)
	return now
}

// recordStart records that the answer's first bytes have arrived.
func (r *Router) recordStart(c *call) {
	now := r.o.Clock.Now()
	if !c.begun {
		c.begun, c.begunAt = true, now
	}
	if c.firstByte == 0 {
		c.firstByte = now
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.intake.Started(now, c.seq)
}

const (
	// progressTime is how long after its first bytes an answer has made progress, and progressEvents the number of events of
	// a stream from which on it has.
	progressTime   = 200 * clock.Millis(1)
	progressEvents = 2
)

// progressed reports whether the answer that broke off at the given time had made progress. Many sound requests at a
// server that crashes have, so it takes more crashes to tell the one responsible.
func (c *call) progressed(brokenAt clock.Millis) bool {
	return c.begun && (c.begunEvents >= progressEvents || brokenAt-c.begunAt >= progressTime)
}
