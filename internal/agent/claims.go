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
	// claimWait is the longest that a read waits for records.
	claimWait = 1 * clock.Second
	// claimBusyPause is the time between two reads while an own claim is not decided.
	claimBusyPause = 2 * time.Millisecond
	// claimIdlePause is the time between two reads otherwise.
	claimIdlePause = 1 * time.Second
	// claimSettleLimit is the longest that a shutdown waits for releases to reach the log.
	claimSettleLimit = 2 * time.Second
	// claimedRetryAfter is when a caller should ask again for a key that another submission holds.
	claimedRetryAfter = 1 * clock.Second
	// lastKeyedAttempt is the attempt at which the lack of the log ends a keyed request.
	lastKeyedAttempt = 2
)

// claims is what an agent keeps for keyed requests. All is guarded by the agent's mu but the channels.
type claims struct {
	c *claim.Controller
	// waiters holds the requests whose claim is not decided, by offer.
	waiters map[string]*claimant
	// runs names the offer under which a key's request was started here, by the key's digest.
	runs map[string]string
	// version is the configuration version that c was configured for.
	version int64
	// state is the controller's state when it was last looked at.
	state claim.State
	// toAppend and toRead have room for one signal that a claim was requested.
	toAppend chan struct{}
	toRead   chan struct{}
	// invariants takes violations.
	invariants invariant.Checker
	metrics    *claimMetrics
}

// claimant is a request that waits for its claim.
type claimant struct {
	m peer.StartMessage
	// since is when the claim was requested.
	since clock.Millis
	// result has room for the one result.
	result chan claimResult
}

// claimResult is a run whose answer may be delivered, or why there is none.
type claimResult struct {
	s   *startedRun
	err error
}

func newClaims(o Options, m *metrics) *claims {
	invariants := o.Logger.Invariants(m.violations.Inc)
	return &claims{
		c: claim.New(claim.Options{
			Agent: o.Incarnation, Retention: o.LogRetention, Invariants: invariants,
		}),
		waiters:    make(map[string]*claimant),
		runs:       make(map[string]string),
		state:      claim.Loading,
		toAppend:   make(chan struct{}, 1),
		toRead:     make(chan struct{}, 1),
		invariants: invariants,
		metrics:    newClaimMetrics(m.registry),
	}
}

// entryOf returns the claim of a keyed request. The offer's id names it.
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

// begin starts the request of an offer. A keyed one waits for its claim first.
func (a *Agent) begin(ctx context.Context, m peer.StartMessage) (*startedRun, error) {
	if m.Start.Key == "" {
		return a.start(m)
	}
	w, err := a.requestClaim(m)
	if err != nil {
		return nil, err
	}
	select {
	case r := <-w.result:
		return r.s, r.err
	case <-ctx.Done():
		return a.abandonClaim(w)
	}
}

// requestClaim accepts a keyed request and asks for its key.
func (a *Agent) requestClaim(m peer.StartMessage) (*claimant, error) {
	now := a.o.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.admission.Accept(now, m.Start); err != nil {
		return nil, err
	}
	w := &claimant{m: m, since: now, result: make(chan claimResult, 1)}
	if err := a.claims.c.Request(now, entryOf(m)); err != nil {
		w.result <- a.claimRefused(now, m, err)
		return w, nil
	}
	a.claims.waiters[m.Start.Offer] = w
	signal(a.claims.toAppend)
	signal(a.claims.toRead)
	return w, nil
}

// abandonClaim gives up a claim whose router went away, unless it has been decided.
func (a *Agent) abandonClaim(w *claimant) (*startedRun, error) {
	now := a.o.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case r := <-w.result:
		return r.s, r.err
	default:
	}
	id := w.m.Start.Offer
	delete(a.claims.waiters, id)
	a.claims.c.Release(entryOf(w.m))
	a.admission.WithdrawOffer(now, id)
	a.fill(now)
	return nil, &claim.RefusedError{ID: id, Reason: claim.ReasonUnavailable}
}

// settle carries out decisions on claims; callers hold mu.
func (a *Agent) settle(now clock.Millis, decisions []claim.Decision) {
	for _, d := range decisions {
		w, ok := a.claims.waiters[d.ID]
		if !ok {
			continue
		}
		delete(a.claims.waiters, d.ID)
		a.claims.metrics.decided(a.o.Server.Service(), w.m.Start.Team, now-w.since)
		if d.Err != nil {
			w.result <- a.claimRefused(now, w.m, d.Err)
			continue
		}
		w.result <- a.claimWon(now, w.m)
	}
}

// claimWon starts the request of a claim that won, unless it was withdrawn meanwhile; callers hold mu.
func (a *Agent) claimWon(now clock.Millis, m peer.StartMessage) claimResult {
	key := claim.Digest(m.Start.Key)
	if first, ok := a.claims.runs[key]; ok {
		a.claims.invariants.Checkf(false, "key_starts_once", "offer %s after offer %s", m.Start.Offer, first)
		a.admission.WithdrawOffer(now, m.Start.Offer)
		return claimResult{err: &claim.RefusedError{ID: m.Start.Offer, Reason: claim.ReasonClaimed}}
	}
	if err := a.admission.Start(now, m.Start.Offer); err != nil {
		a.claims.c.Release(entryOf(m))
		return claimResult{err: err}
	}
	a.claims.runs[key] = m.Start.Offer
	return claimResult{s: a.launch(m)}
}

// claimRefused withdraws the offer of a claim that was refused. The answer of the key's run is delivered
// instead when this agent still has it; callers hold mu.
func (a *Agent) claimRefused(now clock.Millis, m peer.StartMessage, err error) claimResult {
	a.admission.WithdrawOffer(now, m.Start.Offer)
	a.fill(now)
	var refused *claim.RefusedError
	if !errors.As(err, &refused) {
		return claimResult{err: err}
	}
	a.claims.metrics.refused(a.o.Server.Service(), m.Start.Team, refused.Reason)
	if refused.Reason != claim.ReasonClaimed {
		return claimResult{err: err}
	}
	s, ok := a.started[a.claims.runs[claim.Digest(m.Start.Key)]]
	if !ok || !s.run.Holds(m.Start.ResumeFrom) {
		return claimResult{err: err}
	}
	s.readers++
	return claimResult{s: s}
}

// releaseClaim gives back the key of a request that was started and never reached its server; callers hold mu.
func (a *Agent) releaseClaim(m peer.StartMessage) {
	if m.Start.Key == "" {
		return
	}
	a.claims.c.Release(entryOf(m))
	delete(a.claims.runs, claim.Digest(m.Start.Key))
	signal(a.claims.toAppend)
}

// tickClaims gives up claims that took too long and follows the configuration; callers hold mu.
func (a *Agent) tickClaims(now clock.Millis) {
	if v := a.board.Version(); v != a.claims.version {
		a.claims.version = v
		a.configureClaims()
	}
	a.settle(now, a.claims.c.Tick(now))
	for key, offer := range a.claims.runs {
		if _, ok := a.started[offer]; !ok {
			delete(a.claims.runs, key)
		}
	}
	a.claimsChanged()
}

func (a *Agent) configureClaims() {
	s, ok := a.board.Site().Service(a.o.Server.Service())
	if !ok {
		return
	}
	if !a.claims.c.Configure(s.KeyWindow()) {
		a.o.Logger.Log(event.ClaimRetentionShort, "service", s.Name(), "key_window_ms", int64(s.KeyWindow()),
			"log_retention_ms", int64(a.o.LogRetention))
	}
	signal(a.claims.toRead)
}

// claimsChanged passes keyed tickets over while claims cannot be decided and logs a change; callers hold mu.
func (a *Agent) claimsChanged() {
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
		case <-a.claims.toAppend:
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

func (a *Agent) claimBatch() ([]byte, bool) {
	now := a.o.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.claims.c.Batch(now)
}

func (a *Agent) claimAppended(ok bool) {
	now := a.o.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.claims.c.Appended(now, ok)
	signal(a.claims.toRead)
}

// claimReadLoop reads the claim stream.
func (a *Agent) claimReadLoop(ctx context.Context) {
	stream := claim.Stream(a.o.Server.Service())
	for ctx.Err() == nil {
		next, wait := a.claimPosition()
		page, err := a.o.Log.Read(ctx, stream, next, wait)
		pause := a.claimPage(page, err)
		a.awaitClaim(ctx, pause)
	}
}

// claimPosition returns from where to read and how long to wait for records.
func (a *Agent) claimPosition() (int64, clock.Millis) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.claims.c.State() != claim.Current {
		return a.claims.c.Next(), 0
	}
	return a.claims.c.Next(), claimWait
}

// claimPage takes the result of a read and returns how long to pause. The clock is read after the records.
func (a *Agent) claimPage(page laburnumring.Page, err error) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.o.Clock.Now()
	if err != nil {
		a.claims.c.Unreachable()
		a.claimsChanged()
		return claimIdlePause
	}
	u := a.claims.c.Page(now, page)
	a.logClaims(u)
	a.settle(now, u.Decisions)
	a.claimsChanged()
	a.fill(now)
	if a.claims.c.Unsettled() > 0 || a.claims.c.Next() < page.Next {
		return claimBusyPause
	}
	return claimIdlePause
}

func (a *Agent) logClaims(u claim.Update) {
	for _, err := range u.Bad {
		a.o.Logger.Log(event.ClaimRecordBad, "error", err)
	}
	if u.Gap {
		a.o.Logger.Log(event.ClaimGap)
	}
	if u.RetentionShort {
		a.o.Logger.Log(event.ClaimRetentionShort, "service", a.o.Server.Service())
	}
}

// awaitClaim waits for d to pass or a claim to be requested.
func (a *Agent) awaitClaim(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-a.claims.toRead:
	case <-t.C:
	}
}

// settleClaims waits for releases to reach the log, so that a shutdown leaves no key held without a run.
func (a *Agent) settleClaims() {
	deadline := time.Now().Add(claimSettleLimit)
	for a.unsettledClaims() > 0 && time.Now().Before(deadline) {
		time.Sleep(tickInterval)
	}
}

func (a *Agent) unsettledClaims() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.claims.c.Unsettled()
}

// signal puts a signal into a channel that has room for one.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// startRefusal is the end of an attempt that was not started. The router may turn to another agent once when
// only this one lacks the log.
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
