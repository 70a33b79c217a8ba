package agent

import (
	"context"
	"errors"
	"time"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/answer"
	"github.com/laburnumring/laburnumring/internal/claim"
	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/invariant"
	"github.com/laburnumring/laburnumring/internal/peer"
	"github.com/laburnumring/laburnumring/pkg/clock"
	"github.com/laburnumring/laburnumring/pkg/outcome"
)

// Timing of the claim loops.
const (
	// claimReadWait is the maximum time that the log waits for records before it answers a read.
	claimReadWait = 1 * clock.Second
	// claimPollInterval is the time between two reads while one of this agent's entries has not been read back, or
	// the end of the stream has not been reached.
	claimPollInterval = 2 * time.Millisecond
	// claimIdlePollInterval is the time between two reads otherwise.
	claimIdlePollInterval = 1 * time.Second
	// claimFlushTimeout is the maximum time that a shutdown waits for releases to reach the log.
	claimFlushTimeout = 2 * time.Second
	// claimedRetryAfter is when a caller should retry a request whose claim was refused.
	claimedRetryAfter = 1 * clock.Second
	// lastKeyedAttempt is the first attempt at which a keyed request ends when the log is unavailable. Before it, the
	// router may try another agent.
	lastKeyedAttempt = 2
)

// claims is the agent's state for keyed requests. The agent's mu guards all fields except the channels.
type claims struct {
	c *claim.Controller
	// waiters holds the requests whose claim is not decided, by offer.
	waiters map[string]*claimWaiter
	// offerByKey holds the offer under which a key's request was started here, by the key's digest.
	offerByKey map[string]string
	// version is the configuration version that c was configured for.
	version int64
	// state is the last state of c that was reported.
	state claim.State
	// appendSignal and readSignal wake the loops that append to and read the claim stream. Each holds up to one signal.
	appendSignal chan struct{}
	readSignal   chan struct{}
	invariants   invariant.Checker
	metrics      *claimMetrics
}

// claimWaiter is a request whose claim is not decided.
type claimWaiter struct {
	m peer.StartMessage
	// requestedAt is when the claim was requested.
	requestedAt clock.Millis
	// result receives one result and never blocks the sender.
	result chan claimResult
}

// claimResult is the run whose answer is to be delivered, or the reason why there is none.
type claimResult struct {
	run *startedRun
	err error
}

func newClaims(o Options, m *metrics) *claims {
	invariants := o.Logger.Invariants(m.violations.Inc)
	return &claims{
		c: claim.New(claim.Options{
			Agent: o.Incarnation, Retention: o.LogRetention, Invariants: invariants,
		}),
		waiters:      make(map[string]*claimWaiter),
		offerByKey:   make(map[string]string),
		state:        claim.Loading,
		appendSignal: make(chan struct{}, 1),
		readSignal:   make(chan struct{}, 1),
		invariants:   invariants,
		metrics:      newClaimMetrics(m.registry),
	}
}

// entryOf returns the claim of a keyed request. Its id is that of the offer.
func entryOf(m peer.StartMessage) claim.Entry {
	return claim.Entry{
		ID:          m.Start.Offer,
		Key:         claim.Digest(m.Start.Key),
		KeyTime:     m.Start.KeyTime,
		Request:     m.Start.Request,
		Attempt:     m.Start.Attempt,
		Fingerprint: m.Start.Fingerprint,
	}
}

// startRequest starts the request of an offer. A keyed request starts only after its claim has won; when it lost to
// an earlier submission whose answer is still here, the result is that run.
func (a *Agent) startRequest(ctx context.Context, m peer.StartMessage) (*startedRun, error) {
	if m.Start.Key == "" {
		return a.startOffer(m)
	}
	w, err := a.requestClaim(m)
	if err != nil {
		return nil, err
	}
	select {
	case r := <-w.result:
		return r.run, r.err
	case <-ctx.Done():
		return a.abandonClaim(w)
	}
}

// requestClaim accepts the offer of a keyed request and requests a claim on its key.
func (a *Agent) requestClaim(m peer.StartMessage) (*claimWaiter, error) {
	now := a.o.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.admission.Accept(now, m.Start); err != nil {
		return nil, err
	}
	w := &claimWaiter{m: m, requestedAt: now, result: make(chan claimResult, 1)}
	if err := a.claims.c.Request(now, entryOf(m)); err != nil {
		w.result <- a.claimRefused(now, m, err)
		return w, nil
	}
	a.claims.waiters[m.Start.Offer] = w
	signal(a.claims.appendSignal)
	signal(a.claims.readSignal)
	return w, nil
}

// abandonClaim releases the claim of a request whose router has disconnected, unless the claim has been decided.
func (a *Agent) abandonClaim(w *claimWaiter) (*startedRun, error) {
	now := a.o.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case r := <-w.result:
		return r.run, r.err
	default:
	}
	id := w.m.Start.Offer
	delete(a.claims.waiters, id)
	a.claims.c.Release(entryOf(w.m))
	a.admission.WithdrawOffer(now, id)
	a.offerFreeSlots(now)
	return nil, &claim.RefusedError{ID: id, Reason: claim.ReasonUnavailable}
}

// applyDecisions starts or refuses the requests whose claims were decided. a.mu must be held.
func (a *Agent) applyDecisions(now clock.Millis, decisions []claim.Decision) {
	for _, d := range decisions {
		w, ok := a.claims.waiters[d.ID]
		if !ok {
			continue
		}
		delete(a.claims.waiters, d.ID)
		a.claims.metrics.observeDecision(a.o.Server.Service(), w.m.Start.Team, now-w.requestedAt)
		if d.Err != nil {
			w.result <- a.claimRefused(now, w.m, d.Err)
			continue
		}
		w.result <- a.claimWon(now, w.m)
	}
}

// claimWon starts the request of a claim that won, unless the offer has been withdrawn by then. a.mu must be held.
func (a *Agent) claimWon(now clock.Millis, m peer.StartMessage) claimResult {
	key := claim.Digest(m.Start.Key)
	if first, ok := a.claims.offerByKey[key]; ok {
		a.claims.invariants.Checkf(false, "key_starts_once", "offer %s after offer %s", m.Start.Offer, first)
		a.admission.WithdrawOffer(now, m.Start.Offer)
		return claimResult{err: &claim.RefusedError{ID: m.Start.Offer, Reason: claim.ReasonClaimed}}
	}
	if err := a.admission.Start(now, m.Start.Offer); err != nil {
		a.claims.c.Release(entryOf(m))
		return claimResult{err: err}
	}
	a.claims.offerByKey[key] = m.Start.Offer
	return claimResult{run: a.launch(m)}
}

// claimRefused withdraws the offer of a claim that was refused. When another submission holds the key and its answer
// is still at this agent, the result is that run. a.mu must be held.
func (a *Agent) claimRefused(now clock.Millis, m peer.StartMessage, err error) claimResult {
	a.admission.WithdrawOffer(now, m.Start.Offer)
	a.offerFreeSlots(now)
	var refused *claim.RefusedError
	if !errors.As(err, &refused) {
		return claimResult{err: err}
	}
	a.claims.metrics.countRefusal(a.o.Server.Service(), m.Start.Team, refused.Reason)
	if refused.Reason != claim.ReasonClaimed {
		return claimResult{err: err}
	}
	s, ok := a.started[a.claims.offerByKey[claim.Digest(m.Start.Key)]]
	if !ok || !s.run.Holds(m.Start.ResumeFrom) {
		return claimResult{err: err}
	}
	s.readers++
	return claimResult{run: s}
}

// releaseClaim releases the claim of a keyed request that was started but never reached the backend server, so that
// the key can be claimed again. a.mu must be held.
func (a *Agent) releaseClaim(m peer.StartMessage) {
	if m.Start.Key == "" {
		return
	}
	a.claims.c.Release(entryOf(m))
	delete(a.claims.offerByKey, claim.Digest(m.Start.Key))
	signal(a.claims.appendSignal)
}

// tickClaims applies a new configuration, refuses claims that were not decided in time, and drops offers from
// offerByKey whose runs are no longer retained. a.mu must be held.
func (a *Agent) tickClaims(now clock.Millis) {
	if v := a.board.Version(); v != a.claims.version {
		a.claims.version = v
		a.configureClaims()
	}
	a.applyDecisions(now, a.claims.c.Tick(now))
	for key, offer := range a.claims.offerByKey {
		if _, ok := a.started[offer]; !ok {
			delete(a.claims.offerByKey, key)
		}
	}
	a.updateClaimState()
}

// configureClaims applies the key window of the configuration in force.
func (a *Agent) configureClaims() {
	s, ok := a.board.Site().Service(a.o.Server.Service())
	if !ok {
		return
	}
	if !a.claims.c.Configure(s.KeyWindow()) {
		a.o.Logger.Log(event.ClaimRetentionShort, "service", s.Name(), "key_window_ms", int64(s.KeyWindow()),
			"log_retention_ms", int64(a.o.LogRetention))
	}
	signal(a.claims.readSignal)
}

// updateClaimState makes admission skip the tickets of keyed requests while the claims are being loaded, and logs a
// change of state. While the log is down they are offered, and their requests refused when they start. a.mu must be
// held.
func (a *Agent) updateClaimState() {
	state := a.claims.c.State()
	a.admission.HoldKeyed(state == claim.Loading)
	if state == a.claims.state {
		return
	}
	a.claims.state = state
	switch state {
	case claim.Current:
		a.o.Logger.Log(event.ClaimsCurrent, "keys", a.claims.c.Keys())
	case claim.Down:
		a.o.Logger.Log(event.ClaimLogUnavailable)
	case claim.Loading:
		a.o.Logger.Log(event.ClaimsLoading)
	}
}

// claimAppendLoop appends claims in batches, one append at a time.
func (a *Agent) claimAppendLoop(ctx context.Context) {
	stream := claim.Stream(a.o.Server.Service())
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.claims.appendSignal:
		case <-t.C:
		}
		data, ok := a.claimBatch()
		if !ok {
			continue
		}
		_, err := a.o.Log.Append(ctx, stream, data)
		a.claimAppended(err == nil)
	}
}

// claimBatch returns the next batch of claims to append, if there is one.
func (a *Agent) claimBatch() ([]byte, bool) {
	now := a.o.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.claims.c.Batch(now)
}

// claimAppended records the result of the last append.
func (a *Agent) claimAppended(ok bool) {
	now := a.o.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.claims.c.Appended(now, ok)
	signal(a.claims.readSignal)
}

// claimReadLoop reads the claim stream.
func (a *Agent) claimReadLoop(ctx context.Context) {
	stream := claim.Stream(a.o.Server.Service())
	for ctx.Err() == nil {
		next, wait := a.claimReadPosition()
		page, err := a.o.Log.Read(ctx, stream, next, wait)
		pause := a.applyClaimPage(page, err)
		a.pauseClaimReads(ctx, pause)
	}
}

// claimReadPosition returns the offset of the next read and how long the log may wait for records.
func (a *Agent) claimReadPosition() (int64, clock.Millis) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.claims.c.State() != claim.Current {
		return a.claims.c.Next(), 0
	}
	return a.claims.c.Next(), claimReadWait
}

// applyClaimPage applies the result of a read and returns the time until the next one. It reads the clock only after
// the records were read, as the controller requires.
func (a *Agent) applyClaimPage(page laburnumring.Page, err error) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.o.Clock.Now()
	if err != nil {
		a.claims.c.ReadFailed()
		a.updateClaimState()
		return claimIdlePollInterval
	}
	u := a.claims.c.ApplyPage(now, page)
	a.logClaims(u)
	a.applyDecisions(now, u.Decisions)
	a.updateClaimState()
	a.offerFreeSlots(now)
	if a.claims.c.Unconfirmed() > 0 || a.claims.c.Next() < page.Next {
		return claimPollInterval
	}
	return claimIdlePollInterval
}

func (a *Agent) logClaims(u claim.Update) {
	for _, err := range u.Bad {
		a.o.Logger.Log(event.ClaimRecordBad, "error", err)
	}
	if u.Restored {
		a.o.Logger.Log(event.ClaimsRestored, "keys", a.claims.c.Keys())
	}
	if u.Gap {
		a.o.Logger.Log(event.ClaimGap)
	}
	if u.RetentionShort {
		a.o.Logger.Log(event.ClaimRetentionShort, "service", a.o.Server.Service())
	}
}

// pauseClaimReads waits until d has passed or a claim is requested or appended.
func (a *Agent) pauseClaimReads(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-a.claims.readSignal:
	case <-t.C:
	}
}

// flushClaims waits until all releases are in the log, at most claimFlushTimeout, so that after a shutdown no key
// stays claimed by a request that did not run.
func (a *Agent) flushClaims() {
	deadline := time.Now().Add(claimFlushTimeout)
	for a.unconfirmedClaims() > 0 && time.Now().Before(deadline) {
		time.Sleep(tickInterval)
	}
}

func (a *Agent) unconfirmedClaims() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.claims.c.Unconfirmed()
}

// signal sends on a channel with a buffer of one, unless the buffer is full.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// startRefusal returns the end of an attempt that was not started. The end of a refused claim is final, except that
// the router may try one other agent when this one cannot reach the log.
func startRefusal(m peer.StartMessage, err error) answer.End {
	var refused *claim.RefusedError
	if !errors.As(err, &refused) {
		return refusedEnd(err)
	}
	e := answer.End{Outcome: outcome.Unknown, Reason: refused.Reason, RetryAfter: claimedRetryAfter, Final: true}
	if refused.NeverStarted() {
		e.Outcome = outcome.NotRun
	}
	if refused.Reason == claim.ReasonUnavailable {
		e.Final = m.Start.Attempt >= lastKeyedAttempt
	}
	return e
}
