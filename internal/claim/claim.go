// Package claim decides which submission of an idempotency key may run, by the order of claims in a log.
package claim

import (
	"encoding/json"
	"slices"

	"github.com/laburnumring/laburnumring/internal/invariant"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// State says whether keyed requests can be claimed.
type State int

// The states of a Controller.
const (
	// Loading means that the stream has not been read to its end yet.
	Loading State = iota + 1
	// Current means that the stream was read to its end and the log answers.
	Current
	// Down means that the log does not answer.
	Down
)

// Options are the settings of a Controller.
type Options struct {
	// Agent is the agent's incarnation.
	Agent string
	// Retention is the least time that the log keeps records; an hour when zero.
	Retention clock.Millis
	// Skew is the most by which two clocks of the fleet or a caller differ; a minute when zero.
	Skew clock.Millis
	// MaxAge is the oldest claim under which a request may start; three seconds when zero.
	MaxAge clock.Millis
	// MinFlush is the least time between two appends; ten milliseconds when zero.
	MinFlush clock.Millis
	// Invariants takes violations; the zero value panics.
	Invariants invariant.Checker
	// AppendsPerSecond is the budget of all agents of the stream together; 100 when zero.
	AppendsPerSecond int
}

// Defaults and bounds.
const (
	defaultRetention        = 60 * clock.Minute
	defaultSkew             = 1 * clock.Minute
	defaultMaxAge           = 3 * clock.Second
	defaultMinFlush         = 10 * clock.Millis(1)
	defaultAppendsPerSecond = 100
	// maxBackoff bounds the time between two appends that fail.
	maxBackoff = 2 * clock.Second
	// activePeriod is how long an agent that appended counts as one of those that share the budget.
	activePeriod = 10 * clock.Second
	// sweepsPerWindow is how often within a key's window keys to forget are searched for.
	sweepsPerWindow = 32
	// maxBatch is the most entries of one append.
	maxBatch = 512
)

// item is one own entry on its way into the log.
type item struct {
	e Entry
	// sent says that an append that may have taken effect held the entry.
	sent bool
	// seen says that the entry was read back.
	seen bool
}

// pending is one own claim whose place in the log is not known.
type pending struct {
	it *item
	// since is when the claim was requested.
	since clock.Millis
}

// Controller keeps one agent's claims on one service's keys. It is used by one goroutine at a time.
type Controller struct {
	o Options
	// window is how long after its making a key may be claimed; 0 until it is configured.
	window clock.Millis
	// x holds what the stream's records below next say.
	x *index
	// next is the offset of the next record to apply; it falls only when the stream is read again from its start.
	next int64
	// current says that x has held every record up to an end of the stream.
	current bool
	// down says that the last read failed.
	down bool
	// pending holds own claims by id until they are decided or given up.
	pending map[string]*pending
	// queue holds the entries that go into the next appends, in order.
	queue []*item
	// inFlight holds the entries of the one append that has no result yet.
	inFlight []*item
	// unseen holds own entries that were sent or queued and not read back, by kind and id.
	unseen map[itemKey]*item
	// flushed is when the last append began or failed.
	flushed clock.Millis
	// failures counts the appends that failed since one succeeded or was read back.
	failures int
	// active holds when each agent's last record was read.
	active map[string]clock.Millis
	// recent holds the place and time of each record that retention must not have taken, oldest first.
	recent []stamp
	// swept is when forgotten keys were last searched for.
	swept clock.Millis
}

// itemKey names an own entry.
type itemKey struct {
	kind Kind
	id   string
}

// stamp is a record's place and its writer's time.
type stamp struct {
	offset int64
	at     clock.Millis
}

// New returns a controller that has read nothing.
func New(o Options) *Controller {
	o.Retention = orDefault(o.Retention, defaultRetention)
	o.Skew = orDefault(o.Skew, defaultSkew)
	o.MaxAge = orDefault(o.MaxAge, defaultMaxAge)
	o.MinFlush = orDefault(o.MinFlush, defaultMinFlush)
	o.AppendsPerSecond = orDefault(o.AppendsPerSecond, defaultAppendsPerSecond)
	return &Controller{
		o:       o,
		x:       newIndex(),
		pending: make(map[string]*pending),
		unseen:  make(map[itemKey]*item),
		active:  make(map[string]clock.Millis),
	}
}

func orDefault[T clock.Millis | int](v, def T) T {
	if v == 0 {
		return def
	}
	return v
}

// Configure sets how long keys are remembered. A window that the log's retention does not cover is cut, and
// Configure reports false.
func (c *Controller) Configure(window clock.Millis) bool {
	longest := max(0, c.o.Retention-2*c.o.Skew-c.o.MaxAge)
	covered := window <= longest
	window = min(window, longest)
	if c.window > 0 && window > c.window {
		c.rewind()
	}
	c.window = window
	return covered
}

// rewind makes the controller read the stream from its oldest record again, since it has forgotten keys that
// count under a longer window.
func (c *Controller) rewind() {
	c.x = newIndex()
	c.next = 0
	c.current = false
	c.recent = nil
}

// State returns whether keyed requests can be claimed.
func (c *Controller) State() State {
	switch {
	case c.down:
		return Down
	case !c.current || c.window == 0:
		return Loading
	default:
		return Current
	}
}

// Next returns the offset from which to read the stream.
func (c *Controller) Next() int64 { return c.next }

// Pending returns how many own claims are not decided.
func (c *Controller) Pending() int { return len(c.pending) }

// Unsettled returns how many own entries were not read back.
func (c *Controller) Unsettled() int { return len(c.unseen) }

// Keys returns how many keys are remembered.
func (c *Controller) Keys() int { return len(c.x.keys) }

// Request asks for the right to run e's key. The decision comes from Page or Tick. Its errors are of type
// *RefusedError.
func (c *Controller) Request(now clock.Millis, e Entry) error {
	e.Kind = KindClaim
	if err := c.check(now, e); err != nil {
		return err
	}
	it := &item{e: e}
	c.pending[e.ID] = &pending{it: it, since: now}
	c.enqueue(it)
	return nil
}

// check refuses a claim that cannot win.
func (c *Controller) check(now clock.Millis, e Entry) error {
	if h, ok := c.x.holder(e.Key); ok && !e.succeeds(h) {
		return refuseHeld(e, h)
	}
	if c.window == 0 {
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

// refuseHeld refuses e because h holds its key.
func refuseHeld(e, h Entry) error {
	if e.Fingerprint != h.Fingerprint {
		return &RefusedError{ID: e.ID, Reason: ReasonReused}
	}
	return &RefusedError{ID: e.ID, Reason: ReasonClaimed}
}

func (c *Controller) expired(now clock.Millis, e Entry) bool {
	return e.KeyTime < now-c.window
}

// Release gives the key of e back. The caller vouches that e's request has not run and never will under e.
func (c *Controller) Release(e Entry) {
	p, ok := c.pending[e.ID]
	delete(c.pending, e.ID)
	if ok {
		c.dequeue(p.it)
		if !p.it.sent {
			return
		}
	}
	if _, ok := c.unseen[itemKey{KindRelease, e.ID}]; ok {
		return
	}
	c.enqueue(&item{e: Entry{Kind: KindRelease, ID: e.ID, Key: e.Key, KeyTime: e.KeyTime}})
}

func (c *Controller) enqueue(it *item) {
	c.queue = append(c.queue, it)
	c.unseen[itemKey{it.e.Kind, it.e.ID}] = it
}

// dequeue keeps it out of later appends; one that is under way may still take effect.
func (c *Controller) dequeue(it *item) {
	c.queue = slices.DeleteFunc(c.queue, func(v *item) bool { return v == it })
	delete(c.unseen, itemKey{it.e.Kind, it.e.ID})
}

// Batch returns the bytes of the next append and false when there is nothing to append now. Each batch must be
// answered by Appended before the next.
func (c *Controller) Batch(now clock.Millis) ([]byte, bool) {
	c.queue = slices.DeleteFunc(c.queue, func(it *item) bool { return it.seen })
	if c.inFlight != nil || len(c.queue) == 0 || now < c.flushed+c.interval() {
		return nil, false
	}
	n := min(len(c.queue), maxBatch)
	r := Record{Agent: c.o.Agent, At: now}
	for _, it := range c.queue[:n] {
		it.sent = true
		r.Entries = append(r.Entries, it.e)
	}
	data, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	c.inFlight = slices.Clone(c.queue[:n])
	c.queue = slices.Delete(c.queue, 0, n)
	c.flushed = now
	return data, true
}

// interval is the time between two appends: this agent's part of the stream's budget, or longer after failures.
func (c *Controller) interval() clock.Millis {
	share := clock.Millis(len(c.active)) * clock.Second / clock.Millis(c.o.AppendsPerSecond)
	return max(c.o.MinFlush, share, c.backoff())
}

// Appended tells how the append of the last batch ended. After a failure its entries may be in the log or not,
// and are appended again until they are read back.
func (c *Controller) Appended(now clock.Millis, ok bool) {
	batch := c.inFlight
	c.inFlight = nil
	if ok {
		c.failures = 0
		return
	}
	c.failures++
	c.flushed = now
	batch = slices.DeleteFunc(batch, func(it *item) bool {
		return it.seen || c.unseen[itemKey{it.e.Kind, it.e.ID}] != it
	})
	c.queue = append(batch, c.queue...)
}

// backoff is the capped exponential time to wait after failures.
func (c *Controller) backoff() clock.Millis {
	d := c.o.MinFlush
	for range c.failures {
		d = min(2*d, maxBackoff)
	}
	return d
}
