// Package claim decides which submission of an idempotency key may run, by the order of claims in a log.
//
// Before an agent starts a request with a key, it appends a claim on the key to the claim stream of the service and
// reads the stream until it finds its own claim there. The first claim on a key wins, and all later ones are refused
// unless the holder releases the key. Since every agent applies the same records in the same order, all of them come
// to the same result. An agent that cannot reach the log starts no request with a key.
package claim

import (
	"encoding/json"
	"slices"

	"github.com/laburnumring/laburnumring/internal/invariant"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// State tells whether keys can be claimed.
type State int

// The states of a Controller.
const (
	// Loading means that the stream has not been read to its end yet, that it has come back from an older copy, or that no
	// key window is configured.
	Loading State = iota + 1
	// Current means that the stream has been read to its end and the last read succeeded.
	Current
	// Down means that the last read failed.
	Down
)

// Options are the settings of a Controller.
type Options struct {
	// Agent is the agent's incarnation.
	Agent string
	// Retention is the minimum time that the log keeps records; an hour when zero.
	Retention clock.Millis
	// Skew is the maximum difference between two clocks of the fleet or of a caller; a minute when zero.
	Skew clock.Millis
	// MaxAge is the maximum time from the request of a claim to the start of its request; three seconds when zero.
	MaxAge clock.Millis
	// MinAppendInterval is the minimum time between two appends; ten milliseconds when zero.
	MinAppendInterval clock.Millis
	// Invariants reports violations; its zero value panics on one.
	Invariants invariant.Checker
	// SettleTime is the time in which agents that know claims which the log has lost append them again; four seconds
	// when zero. Until it has passed, no agent that has noticed or has just started claims a key.
	SettleTime clock.Millis
	// AppendsPerSecond is the maximum rate of appends to the stream by all agents together; 100 when zero.
	AppendsPerSecond int
}

// Defaults and limits.
const (
	defaultRetention         = 60 * clock.Minute
	defaultSkew              = 1 * clock.Minute
	defaultMaxAge            = 3 * clock.Second
	defaultMinAppendInterval = 10 * clock.Millis(1)
	defaultAppendsPerSecond  = 100
	// maxBackoff is the maximum time between two appends after failures.
	maxBackoff = 2 * clock.Second
	// activeTTL is how long after its last record an agent counts as one of those that share AppendsPerSecond.
	activeTTL = 10 * clock.Second
	// sweepsPerKeyWindow is how many times in a key window expired keys are removed.
	sweepsPerKeyWindow = 32
	// maxBatch is the maximum number of entries in one append.
	maxBatch = 512
)

// localEntry is an entry of this agent that has not been read back from the log yet.
type localEntry struct {
	entry Entry
	// sent is set once the entry was part of an append, which may have taken effect even if it failed.
	sent bool
	// confirmed is set once the entry was read back.
	confirmed bool
}

// pendingClaim is a claim of this agent that is not decided, since it was not read back.
type pendingClaim struct {
	local *localEntry
	// requestedAt is when the claim was requested.
	requestedAt clock.Millis
}

// Controller makes one agent's claims on the keys of one service. It must not be used concurrently.
type Controller struct {
	o Options
	// keyWindow is how long after its creation a key may be claimed; 0 until it is configured.
	keyWindow clock.Millis
	// keys is the state of all keys after the records below next.
	keys *index
	// next is the offset of the next record to apply. It decreases only when the stream is read again from its start.
	next int64
	// caughtUp is set once the stream has been read to its end.
	caughtUp bool
	// logDown reports whether the last read failed.
	logDown bool
	// pending holds this agent's claims by id until they are decided or released.
	pending map[string]*pendingClaim
	// queue holds the entries of the next appends, in order.
	queue []*localEntry
	// inFlight holds the entries of the append whose result is not known yet; there is at most one such append.
	inFlight []*localEntry
	// unconfirmed holds this agent's entries that were queued and not read back, by kind and id.
	unconfirmed map[entryKey]*localEntry
	// lastAppend is when the last append was started or failed.
	lastAppend clock.Millis
	// failures counts failed appends since the last success or the last record of this agent that was read back.
	failures int
	// lastRecordAt holds the time at which each agent's last record was read.
	lastRecordAt map[string]clock.Millis
	// recent holds the offset and time of each record that the log must still keep, oldest first.
	recent []recordTime
	// era is the era of the last page, once eraKnown is set. restored is the state after a change of it.
	era      int64
	eraKnown bool
	restored restoration
	// lastSweep is when expired keys were last removed.
	lastSweep clock.Millis
}

// entryKey identifies an entry of this agent.
type entryKey struct {
	kind Kind
	id   string
}

// recordTime is a record's offset and its time by the writer's clock.
type recordTime struct {
	offset int64
	at     clock.Millis
}

// New returns a controller that has read nothing.
func New(o Options) *Controller {
	o.Retention = orDefault(o.Retention, defaultRetention)
	o.Skew = orDefault(o.Skew, defaultSkew)
	o.MaxAge = orDefault(o.MaxAge, defaultMaxAge)
	o.MinAppendInterval = orDefault(o.MinAppendInterval, defaultMinAppendInterval)
	o.SettleTime = orDefault(o.SettleTime, defaultSettleTime)
	o.AppendsPerSecond = orDefault(o.AppendsPerSecond, defaultAppendsPerSecond)
	return &Controller{
		o:            o,
		keys:         newIndex(),
		pending:      make(map[string]*pendingClaim),
		unconfirmed:  make(map[entryKey]*localEntry),
		lastRecordAt: make(map[string]clock.Millis),
	}
}

func orDefault[T clock.Millis | int](v, def T) T {
	if v == 0 {
		return def
	}
	return v
}

// Configure sets how long keys are remembered. When the log's retention is too short for the window, Configure
// shortens the window accordingly and returns false.
func (c *Controller) Configure(window clock.Millis) bool {
	longest := max(0, c.o.Retention-2*c.o.Skew-c.o.MaxAge)
	covered := window <= longest
	window = min(window, longest)
	if c.keyWindow > 0 && window > c.keyWindow {
		c.rewind()
	}
	c.keyWindow = window
	return covered
}

// rewind makes the controller read the stream from its oldest record again, since keys that it has removed still
// count under a longer window.
func (c *Controller) rewind() {
	c.keys = newIndex()
	c.next = 0
	c.caughtUp = false
	c.recent = nil
}

// State tells whether keys can be claimed now.
func (c *Controller) State() State {
	switch {
	case c.logDown:
		return Down
	case !c.caughtUp || c.keyWindow == 0 || c.restored.until > 0:
		return Loading
	default:
		return Current
	}
}

// Next returns the offset from which to read the stream.
func (c *Controller) Next() int64 { return c.next }

// Pending returns the number of this agent's claims that are not decided.
func (c *Controller) Pending() int { return len(c.pending) }

// Unconfirmed returns the number of this agent's entries that were not read back.
func (c *Controller) Unconfirmed() int { return len(c.unconfirmed) }

// Keys returns the number of keys that are remembered.
func (c *Controller) Keys() int { return len(c.keys.states) }

// Request queues a claim on e's key, and returns a *RefusedError when the claim is refused at once. Otherwise the
// decision is returned by a later ApplyPage or Tick.
func (c *Controller) Request(now clock.Millis, e Entry) error {
	e.Kind = KindClaim
	if err := c.check(now, e); err != nil {
		return err
	}
	it := &localEntry{entry: e}
	c.pending[e.ID] = &pendingClaim{local: it, requestedAt: now}
	c.enqueue(it)
	return nil
}

// check returns a *RefusedError for a claim that cannot win.
func (c *Controller) check(now clock.Millis, e Entry) error {
	if h, ok := c.keys.holder(e.Key); ok && !e.supersedes(h) {
		return heldError(e, h)
	}
	if c.keyWindow == 0 {
		return &RefusedError{ID: e.ID, Reason: ReasonUnavailable}
	}
	if c.expired(now, e) {
		return &RefusedError{ID: e.ID, Reason: ReasonExpired}
	}
	if e.KeyTime > now+c.o.Skew {
		return &RefusedError{ID: e.ID, Reason: ReasonAhead}
	}
	if c.State() != Current {
		return &RefusedError{ID: e.ID, Reason: ReasonUnavailable}
	}
	return nil
}

// heldError returns the refusal of e when h holds its key.
func heldError(e, h Entry) error {
	if e.Fingerprint != h.Fingerprint {
		return &RefusedError{ID: e.ID, Reason: ReasonReused}
	}
	return &RefusedError{ID: e.ID, Reason: ReasonClaimed}
}

func (c *Controller) expired(now clock.Millis, e Entry) bool {
	return e.KeyTime < now-c.keyWindow
}

// Release releases the key of e. The caller guarantees that e's request has not run and will not run under e.
func (c *Controller) Release(e Entry) {
	p, ok := c.pending[e.ID]
	delete(c.pending, e.ID)
	if ok {
		c.dequeue(p.local)
		if !p.local.sent {
			return
		}
	}
	if _, ok := c.unconfirmed[entryKey{KindRelease, e.ID}]; ok {
		return
	}
	c.enqueue(&localEntry{entry: Entry{Kind: KindRelease, ID: e.ID, Key: e.Key, KeyTime: e.KeyTime}})
}

func (c *Controller) enqueue(it *localEntry) {
	c.queue = append(c.queue, it)
	c.unconfirmed[entryKey{it.entry.Kind, it.entry.ID}] = it
}

// dequeue removes it from later appends. An append in flight may still take effect.
func (c *Controller) dequeue(it *localEntry) {
	c.queue = slices.DeleteFunc(c.queue, func(v *localEntry) bool { return v == it })
	delete(c.unconfirmed, entryKey{it.entry.Kind, it.entry.ID})
}

// Batch returns the data of the next append, or false when nothing is to be appended now. The result of the append
// must be passed to Appended before another batch is returned.
func (c *Controller) Batch(now clock.Millis) ([]byte, bool) {
	c.queue = slices.DeleteFunc(c.queue, func(it *localEntry) bool { return it.confirmed })
	if c.inFlight != nil || len(c.queue) == 0 || now < c.lastAppend+c.appendInterval() {
		return nil, false
	}
	n := min(len(c.queue), maxBatch)
	r := Record{Agent: c.o.Agent, At: now}
	for _, it := range c.queue[:n] {
		it.sent = true
		r.Entries = append(r.Entries, it.entry)
	}
	data, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	c.inFlight = slices.Clone(c.queue[:n])
	c.queue = slices.Delete(c.queue, 0, n)
	c.lastAppend = now
	return data, true
}

// appendInterval returns the time between two appends, which gives each active agent an equal share of
// AppendsPerSecond. It is longer after failures.
func (c *Controller) appendInterval() clock.Millis {
	share := clock.Millis(len(c.lastRecordAt)) * clock.Second / clock.Millis(c.o.AppendsPerSecond)
	return max(c.o.MinAppendInterval, share, c.backoff())
}

// Appended records whether the append of the last batch succeeded. After a failure its entries may be in the log or
// not, and are appended again until they are read back.
func (c *Controller) Appended(now clock.Millis, ok bool) {
	batch := c.inFlight
	c.inFlight = nil
	if ok {
		c.failures = 0
		return
	}
	c.failures++
	c.lastAppend = now
	batch = slices.DeleteFunc(batch, func(it *localEntry) bool {
		return it.confirmed || c.unconfirmed[entryKey{it.entry.Kind, it.entry.ID}] != it
	})
	c.queue = append(batch, c.queue...)
}

// backoff returns the time to wait after failures, which grows exponentially up to maxBackoff.
func (c *Controller) backoff() clock.Millis {
	d := c.o.MinAppendInterval
	for range c.failures {
		d = min(2*d, maxBackoff)
	}
	return d
}
