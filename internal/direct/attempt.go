package direct

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/gossip"
	"github.com/laburnumring/laburnumring/internal/httpserve"
	"github.com/laburnumring/laburnumring/internal/intake"
	"github.com/laburnumring/laburnumring/internal/quarantine"
	"github.com/laburnumring/laburnumring/internal/roster"
	"github.com/laburnumring/laburnumring/internal/upstream"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// attemptEnd is how an attempt at one server ended.
type attemptEnd struct {
	// result is the attempt's result as package intake records it.
	result intake.Result
	// final is set if nothing more is to be done: the caller has its answer, or has gone.
	final bool
	// err is what failed, for the log.
	err error
	// answer is a server's error response that may still be passed on; nil if there is none.
	answer *answer
	// addressReassigned is set if another server has the address.
	addressReassigned bool
	// retryAfter and reason go to a caller whose request is refused.
	retryAfter clock.Millis
	reason     string
}

// connect returns a connection to the server once the list that names it is recent enough. If the connection is nil,
// the attempt has ended.
func (r *Router) connect(ctx context.Context, c *call, d intake.Decision) (*upstream.Conn, attemptEnd) {
	for {
		if !r.awaitList(ctx) {
			if ctx.Err() != nil {
				return nil, attemptEnd{result: intake.Abandoned, err: ctx.Err()}
			}
			r.refuseAssigned(c, d, &intake.RefusedError{Reason: "list_old", RetryAfter: rejectRetryAfter})
			return nil, attemptEnd{result: intake.NotRun, final: true}
		}
		conn, err := r.pool.Get(ctx, d.Server.Address)
		if err != nil {
			if ctx.Err() == nil {
				r.o.Logger.Log(event.ServerUnreachable, "id", c.head.ID, "server", d.Server.ID,
					"address", d.Server.Address, "error", err)
				return nil, attemptEnd{result: intake.Unreachable, err: err}
			}
			return nil, attemptEnd{result: intake.Abandoned, err: err}
		}
		if httpserve.CallerGone(c.req.Context()) {
			r.pool.Return(conn)
			return nil, c.callerGone(errors.New("caller closed its connection before the request was sent"))
		}
		if r.listUsable() {
			return conn, attemptEnd{}
		}
		// The list became too old while the connection was made.
		r.pool.Return(conn)
	}
}

// attempt sends the request to one server and forwards its answer.
func (r *Router) attempt(ctx context.Context, c *call, d intake.Decision) attemptEnd {
	conn, end := r.connect(ctx, c, d)
	if conn == nil {
		return end
	}
	if end, ok := r.confirmVersion(ctx, c, d, conn); ok {
		return end
	}
	now := r.o.Clock.Now()
	if end, ok := r.checkDecision(now, c, d); ok {
		r.pool.Return(conn)
		return end
	}
	// A server stops working on a request when its connection is closed, so close it when the caller leaves.
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	c.sentAt = now
	r.logAttempt(now, c, d)
	out := r.serverRequest(now, c, d)
	c.attempts++
	c.resumed = c.lastEvent() != ""
	c.begun, c.begunEvents, c.brokenAt = false, 0, 0
	r.metrics.attempts.WithLabelValues(c.service, attemptOrder(c.attempts)).Inc()
	if c.attempts == 1 {
		r.mu.Lock()
		r.retryCap(c.service).CountRequest(now)
		r.mu.Unlock()
	}
	resp, err := conn.Exchange(out, func(resp *http.Response) bool {
		// An invalid header of a response to this request is reported below.
		reply, _ := r.o.Dialect.Reply(resp.StatusCode, resp.Header)
		if reply.ID == "" {
			// On a reused connection it may be a late copy of an earlier response.
			return !conn.Reused()
		}
		return reply.ID == c.head.ID
	})
	if err != nil {
		return r.connectionLost(ctx, c, d, conn, err)
	}
	reply, err := r.o.Dialect.Reply(resp.StatusCode, resp.Header)
	if err != nil {
		r.o.Logger.Log(event.ReplyHeaderInvalid, "id", c.head.ID, "server", d.Server.ID, "error", err)
	}
	r.observeReply(c, d, reply)
	if reply.NotRun {
		return r.serverRefused(conn, resp, d)
	}
	c.mayHaveRun = true
	c.framing = upstream.Framing(resp)
	r.metrics.framings.WithLabelValues(c.service, c.framing).Inc()
	if resp.StatusCode/100 == 2 && !reply.Sealed {
		_ = conn.Close()
		return attemptEnd{result: intake.Failed, err: errors.New("successful response without the server's seal header")}
	}
	if c.route.Stream() && resp.StatusCode == http.StatusOK {
		return r.forwardStream(ctx, c, d, conn, resp)
	}
	return r.forwardBuffered(ctx, c, d, conn, resp)
}

// observeReply records what a server says of itself in its response: that it leaves, wants no requests for a while, or
// takes only so many a second.
func (r *Router) observeReply(c *call, d intake.Decision, reply laburnumring.ReplyHeader) {
	now := r.o.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.intake.ObserveLimit(now, c.sentAt, d.Server.ID, reply.Limit) {
		r.o.Logger.Log(event.ServerLimitChanged, "server", d.Server.ID, "id", c.head.ID, "limited", reply.Limit.Limited,
			"per_second", reply.Limit.PerSecond)
	}
	if reply.Leaving && r.roster.RecordDeparture(roster.Departure{Server: d.Server.ID, Born: d.Server.Born, Address: d.Server.Address, At: now}) {
		r.o.Logger.Log(event.ServerLeaves, "server", d.Server.ID, "address", d.Server.Address, "born", d.Server.Born,
			"id", c.head.ID, "source", "server")
		r.serversChanged("server")
	}
	if reply.Pause > 0 {
		r.o.Logger.Log(event.ServerPauses, "server", d.Server.ID, "id", c.head.ID, "pause_ms", int64(reply.Pause))
		r.intake.Pause(d.Server.ID, now+reply.Pause)
	}
}

// refuseAssigned refuses a request for which a server had been chosen.
func (r *Router) refuseAssigned(c *call, d intake.Decision, refusal *intake.RefusedError) {
	r.mu.Lock()
	r.intake.RecordRefusal(c.request(), refusal.Reason)
	r.mu.Unlock()
	d.Refusal = refusal
	r.refuse(c, d)
}

// checkDecision reports whether a decision no longer holds because there was no processor time to carry it out earlier.
// It then returns how the attempt ended.
func (r *Router) checkDecision(now clock.Millis, c *call, d intake.Decision) (attemptEnd, bool) {
	r.mu.Lock()
	accepts, admitted := r.intake.Accepts(now, d.Server.ID), r.admits(now, c)
	r.mu.Unlock()
	if !admitted {
		r.refuseAssigned(c, d, stoppingError())
		return attemptEnd{result: intake.NotRun, final: true}, true
	}
	if !accepts {
		return attemptEnd{
			result: intake.NotRun, err: fmt.Errorf("backend server %s left or asked for a pause meanwhile", d.Server.ID),
		}, true
	}
	if r.busy.Load() && !d.Underserved && c.attempts == 0 && c.route.Stream() && now-c.arrived > maxBusyWait {
		r.refuseAssigned(c, d, intake.RouterBusyError())
		return attemptEnd{result: intake.NotRun, final: true}, true
	}
	if refusal := r.crashRefusal(now, c, true); refusal != nil {
		r.refuseAssigned(c, d, refusal)
		return attemptEnd{result: intake.NotRun, final: true}, true
	}
	return attemptEnd{}, false
}

func (r *Router) logAttempt(now clock.Millis, c *call, d intake.Decision) {
	r.mu.Lock()
	revision, age, source, retained := r.roster.Revision(), r.listAge(now), r.listSource, r.roster.Retained(d.Server.ID)
	r.mu.Unlock()
	if age != gossip.UnknownAge {
		r.metrics.listAge.Observe(age.Duration().Seconds())
	}
	r.o.Logger.Log(event.RequestSent, "id", c.head.ID, "team", c.team, "route", c.route.Name(),
		"server", d.Server.ID, "version", d.Server.Version, "resumes", c.head.Resumes, "after", c.lastEvent(),
		"waited_ms", int64(now-c.arrived), "expected_ms", d.Basis.Expected,
		"queued", d.Basis.Queued, "fresh", d.Basis.Uncached, "reread", d.Basis.Reread,
		"home", d.Basis.Home, "pause_ms", d.Basis.Pause, "pause_cost_ms", d.Basis.PauseCost, "running", d.Basis.Running, "served", d.Basis.Served, "recent", d.Basis.Recent,
		"share", d.Basis.FairRate, "peer_age_ms", int64(d.Basis.PeerAge), "send", c.attempts+1,
		"configuration", r.configurationVersion(), "list", revision, "list_age_ms", int64(age), "list_source", source, "kept", retained)
}

// serverRequest returns the request to send to a server.
func (r *Router) serverRequest(now clock.Millis, c *call, d intake.Decision) *http.Request {
	h := c.req.Header.Clone()
	dropHopHeaders(h)
	s := laburnumring.SendHeader{
		Server: d.Server.ID, Team: c.team, Timeout: max(1, c.deadline-now), LastEvent: c.lastEvent(),
	}
	r.o.Dialect.Send(h, s)
	if _, ok := h["User-Agent"]; !ok {
		// An empty value keeps net/http from adding a header of its own.
		h["User-Agent"] = []string{""}
	}
	u := &url.URL{Opaque: c.req.RequestURI}
	if !strings.HasPrefix(c.req.RequestURI, "/") || strings.HasPrefix(c.req.RequestURI, "//") {
		u = c.req.URL
	}
	out := &http.Request{
		Method: c.req.Method, URL: u, Host: c.req.Host, Header: h, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: int64(len(c.body)),
	}
	if len(c.body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(c.body))
	}
	return out
}

// serverRefused ends an attempt whose request the server refused without running it.
func (r *Router) serverRefused(conn *upstream.Conn, resp *http.Response, d intake.Decision) attemptEnd {
	r.pool.Drain(conn, resp)
	return attemptEnd{
		result: intake.NotRun, addressReassigned: resp.StatusCode == http.StatusMisdirectedRequest,
		err: fmt.Errorf("backend server %s refused the request: status %d", d.Server.ID, resp.StatusCode),
	}
}

// connectionLost ends an attempt that got no complete answer.
func (r *Router) connectionLost(ctx context.Context, c *call, d intake.Decision, conn *upstream.Conn, err error) attemptEnd {
	_ = conn.Close()
	c.mayHaveRun = true
	if ctx.Err() != nil {
		return attemptEnd{result: intake.Abandoned, err: err}
	}
	r.o.Logger.Log(event.RequestBroken, "id", c.head.ID, "server", d.Server.ID, "born", d.Server.Born, "begun", c.begun,
		"parts", strings.Join(c.sharedParts(), ","), "fingerprint", c.fingerprint, "error", err)
	r.metrics.broken.WithLabelValues(c.service, strconv.FormatBool(c.begun)).Inc()
	r.recordDisconnect(c, d)
	return attemptEnd{result: intake.Failed, err: err}
}

// disconnectWindow is the maximum time between a disconnect and the check that finds the server unreachable for both to
// count as one crash of the server.
const disconnectWindow = 1500 * clock.Millis(1)

// checkInterval is the least time between two checks whether a server is still reachable.
const checkInterval = 150 * clock.Millis(1)

// recordDisconnect records that a server broke the connection of a request, and checks whether the server is still
// reachable.
func (r *Router) recordDisconnect(c *call, d intake.Decision) {
	now := r.o.Clock.Now()
	address := d.Server.Address
	brokenAt := now
	if c.brokenAt > 0 {
		// Whether the server is gone may have been checked since.
		brokenAt = c.brokenAt
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	b := c.brokenOff(brokenAt, d.Server.ID, d.Server.Born)
	if !c.begun {
		r.quarantine.RecordBreaks(now, b)
	}
	b.Gone = true
	recent := slices.DeleteFunc(r.disconnects[address], func(o disconnect) bool { return now-o.at > disconnectWindow })
	r.disconnects[address] = append(recent, disconnect{server: d.Server.ID, evidence: b, at: now})
	if len(recent) > 0 && now-recent[len(recent)-1].at < checkInterval {
		return
	}
	r.background.Go(func() {
		if err := r.pool.Check(context.Background(), address); err != nil {
			r.serverUnreachable(address, err)
		}
	})
}

// serverUnreachable records that no connection to a server can be made. The requests that it broke off shortly before
// may be the cause.
func (r *Router) serverUnreachable(address string, err error) {
	now := r.o.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var breaks []quarantine.Break
	for _, b := range r.disconnects[address] {
		if now-b.at > disconnectWindow {
			continue
		}
		r.intake.Unreachable(now, b.server)
		breaks = append(breaks, b.evidence)
		r.o.Logger.Log(event.RequestSuspected, "server", b.server, "fingerprint", b.evidence.Request, "late", b.evidence.Late,
			"error", err)
	}
	r.quarantine.RecordBreaks(now, breaks...)
	delete(r.disconnects, address)
}

// dropHopHeaders removes the hop-by-hop headers.
func dropHopHeaders(h http.Header) {
	for _, v := range h.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			if name = strings.TrimSpace(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range []string{
		"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Expect",
	} {
		h.Del(name)
	}
}
