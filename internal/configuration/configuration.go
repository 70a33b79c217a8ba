// Package configuration decides which published configuration is in force.
//
// The state at an offset of the stream is a function of the records before it: a change takes effect when it
// was made from the version in force at its offset, and is valid. Snapshots and peers hand over states with
// their offsets, so a reader never applies a change without knowing the state at the change's own offset.
package configuration

import (
	"errors"

	"github.com/laburnumring/laburnumring/internal/board"
	"github.com/laburnumring/laburnumring/pkg/clock"
	"github.com/laburnumring/laburnumring/pkg/site"
)

// Options are the settings of a Controller.
type Options struct {
	// Board takes the configuration in force.
	Board *board.Board
	// SnapshotInterval is the shortest time from one snapshot to the next, as long as the log keeps it.
	SnapshotInterval clock.Millis
	// SnapshotSpread is the time over which readers spread their snapshots when the log has lost the last; it
	// grows with the site when zero.
	SnapshotSpread clock.Millis
	// StartWindow is how many records a reader without a state looks at first, from the end of the stream; 64
	// when zero.
	StartWindow int64
	// Random returns numbers in [0, 1).
	Random func() float64
}

// Defaults of Options.
const (
	defaultSnapshotInterval = 10 * clock.Minute
	minSnapshotSpread       = 1 * clock.Second
	maxSnapshotSpread       = 20 * clock.Second
	// spreadPerServer is the part of the spread for each backend server of the site.
	spreadPerServer = 20 * clock.Millis(1)

	defaultStartWindow = 64
	// startWindowGrowth is by how much the window grows when it holds no snapshot.
	startWindowGrowth = 4
)

// Verdict is what became of a record.
type Verdict int

// The verdicts.
const (
	// Accepted means that the record made the version in force at its offset.
	Accepted Verdict = iota + 1
	// Superseded means that another change from the same version came first.
	Superseded
	// Invalid means that no reader applies the record.
	Invalid
)

// Decision tells what became of one change or restore.
type Decision struct {
	// Offset, ID and Version are those of the record.
	Offset  int64
	ID      string
	Version int64
	Verdict Verdict
	// Err is set for Invalid and of type *BadRecordError or *ConflictError.
	Err error
}

// Controller keeps the state of the stream. It is used by one goroutine at a time.
type Controller struct {
	o Options
	// state's version and offset only grow.
	state State
	// following means that every record from state.Through on was or can be read: next is state.Through.
	following bool
	// next is the offset to read from.
	next int64
	// first is the oldest offset that the log was seen to keep.
	first int64
	// end is the offset that the stream's next record had at the last read.
	end int64
	// read says that a batch was taken.
	read bool
	// window is how many records from the end of the stream were looked at; 0 for a reader that began at 0.
	window int64
	// start is where that look began.
	start int64
	// snapshots schedules this reader's snapshots.
	snapshots schedule
}

// New returns a controller at the beginning of the stream.
func New(o Options) *Controller {
	if o.SnapshotInterval == 0 {
		o.SnapshotInterval = defaultSnapshotInterval
	}
	if o.StartWindow == 0 {
		o.StartWindow = defaultStartWindow
	}
	return &Controller{o: o, following: true, snapshots: schedule{o: o, carrier: -1}}
}

// Next returns the offset to read from.
func (c *Controller) Next() int64 { return c.next }

// State returns the newest state that is known.
func (c *Controller) State() State { return c.state }

// Site returns the configuration in force, or nil.
func (c *Controller) Site() *site.Site { return c.o.Board.Site() }

// Following reports whether no record after the state's offset was missed.
func (c *Controller) Following() bool { return c.following }

// CaughtUp reports whether the stream was read to its end.
func (c *Controller) CaughtUp() bool { return c.read && c.next >= c.end }

// Begin lets a reader that knows nothing start near the end of a stream that holds the records from first to
// before next. The snapshots there tell the state; the reader goes back as far as it must to find one.
func (c *Controller) Begin(first, next int64) {
	if c.read || c.state.Through > 0 {
		return
	}
	c.first = first
	c.end = next
	c.window = c.o.StartWindow
	c.goBack()
}

// goBack begins to read a window from the end of the stream.
func (c *Controller) goBack() {
	c.start = max(c.first, c.end-c.window)
	c.next = c.start
	c.following = c.next == c.state.Through
}

// widen goes further back when the window that was read did not tell the state.
func (c *Controller) widen() {
	for !c.following && c.window > 0 && c.next >= c.end && c.start > c.first {
		c.window *= startWindowGrowth
		c.goBack()
	}
}

// Take applies a batch that was read from an offset that Next returned, and returns what was decided.
func (c *Controller) Take(now clock.Millis, b Batch) []Decision {
	c.first = max(c.first, b.first)
	c.end = max(c.end, b.next)
	c.read = true
	if c.first > c.next {
		c.next = c.first
		c.following = false
	}
	var out []Decision
	for _, e := range b.entries {
		if e.offset < c.next {
			continue
		}
		if e.offset > c.next {
			break
		}
		c.next++
		out = append(out, c.take(now, e)...)
	}
	c.snapshots.observe(now, c.first)
	c.widen()
	return out
}

// Adopt takes the state of a peer or a snapshot and reports whether it put a new version in force. Its errors
// are of type *ConflictError or *document.FieldError.
func (c *Controller) Adopt(s State) (bool, error) {
	if err := c.compare(s); err != nil {
		return false, err
	}
	if s.Through <= c.state.Through {
		return false, nil
	}
	if err := s.Parse(); err != nil {
		return false, err
	}
	newer := s.Version > c.state.Version
	c.set(s)
	if s.Through >= c.first {
		c.following = true
		c.next = s.Through
	}
	return newer, nil
}

// compare fails when s and the state held cannot both be states of one stream.
func (c *Controller) compare(s State) error {
	sameVersion := s.Version == c.state.Version && s.ID != c.state.ID
	fell := s.Through >= c.state.Through && s.Version < c.state.Version
	rose := s.Through <= c.state.Through && s.Version > c.state.Version
	if !sameVersion && !fell && !rose {
		return nil
	}
	return &ConflictError{
		Held: c.state.Version, HeldID: c.state.ID, HeldThrough: c.state.Through,
		Got: s.Version, GotID: s.ID, GotThrough: s.Through,
	}
}

// set replaces the state; a new version comes into force.
func (c *Controller) set(s State) {
	newer := s.Version > c.state.Version
	c.state = s
	if newer {
		c.o.Board.SetSite(s.site, s.Version)
	}
}

// take applies the record at the offset before next.
func (c *Controller) take(now clock.Millis, e entry) []Decision {
	if c.following {
		c.state.Through = c.next
	}
	if e.err != nil {
		return []Decision{e.decision(Invalid, e.err)}
	}
	switch e.record.Type {
	case Snapshot:
		return c.takeSnapshot(now, e)
	case Restore:
		return c.takeRestore(now, e)
	default:
		return c.takeChange(e)
	}
}

func (c *Controller) takeChange(e entry) []Decision {
	if !c.following {
		return nil
	}
	if e.record.From != c.state.Version {
		return []Decision{e.decision(Superseded, nil)}
	}
	c.set(e.state(c.next))
	return []Decision{e.decision(Accepted, nil)}
}

// takeSnapshot uses a snapshot when it tells more than is known.
func (c *Controller) takeSnapshot(now clock.Millis, e entry) []Decision {
	c.snapshots.seen(now, e.record.Through)
	_, err := c.Adopt(e.state(e.record.Through))
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		return []Decision{e.decision(Invalid, err)}
	}
	return nil
}

// takeRestore applies a record that needs no knowledge of what came before it.
func (c *Controller) takeRestore(now clock.Millis, e entry) []Decision {
	if e.record.Version <= c.state.Version {
		return []Decision{e.decision(Superseded, nil)}
	}
	c.snapshots.seen(now, e.offset)
	c.set(e.state(c.next))
	c.following = true
	return []Decision{e.decision(Accepted, nil)}
}

// state is the state that the entry gives at offset through.
func (e entry) state(through int64) State {
	return State{Version: e.record.Version, ID: e.record.ID, Text: e.record.Text, Through: through, site: e.site}
}

func (e entry) decision(v Verdict, err error) Decision {
	return Decision{Offset: e.offset, ID: e.record.ID, Version: e.record.Version, Verdict: v, Err: err}
}
