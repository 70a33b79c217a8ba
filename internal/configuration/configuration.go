// Package configuration determines which published configuration is in force.
//
// The state at an offset of the stream is a function of the records before it: a change takes effect when it is valid
// and was made from the version in force at its offset. Snapshots and peers pass on states together with their
// offsets, so a reader never applies a change without knowing the state at the change's own offset.
package configuration

import (
	"errors"

	"github.com/laburnumring/laburnumring/internal/board"
	"github.com/laburnumring/laburnumring/pkg/clock"
	"github.com/laburnumring/laburnumring/pkg/site"
)

// Options are the settings of a Controller.
type Options struct {
	// Board receives the configuration in force.
	Board *board.Board
	// SnapshotInterval is the minimum time from one snapshot to the next while the log retains the former; 10 minutes
	// when zero.
	SnapshotInterval clock.Millis
	// SnapshotSpread is the time over which readers spread their snapshots when the log no longer retains the last
	// one. When zero, it grows with the number of servers of the site.
	SnapshotSpread clock.Millis
	// StartWindow is how many records from the end of the stream a reader without a state reads first; 64 when zero.
	StartWindow int64
	// Random returns random numbers in [0, 1).
	Random func() float64
}

// Defaults of Options.
const (
	defaultSnapshotInterval = 10 * clock.Minute
	minSnapshotSpread       = 1 * clock.Second
	maxSnapshotSpread       = 20 * clock.Second
	// spreadPerServer is the time by which each backend server of the site lengthens the spread.
	spreadPerServer = 20 * clock.Millis(1)

	defaultStartWindow = 64
	// startWindowGrowth is the factor by which the window grows when it holds no snapshot.
	startWindowGrowth = 4
)

// Verdict is the outcome of a record.
type Verdict int

// The verdicts.
const (
	// Accepted means that the record created the version in force at its offset.
	Accepted Verdict = iota + 1
	// Superseded means that another change from the same version came first, or that a restore names no newer
	// version.
	Superseded
	// Invalid means that no reader applies the record.
	Invalid
)

// Decision is the outcome of one record. A snapshot has one only when it is rejected, and a change only when it is
// invalid or the reader knows the state at its offset.
type Decision struct {
	// Offset, ID and Version are those of the record.
	Offset  int64
	ID      string
	Version int64
	Verdict Verdict
	// Err is set for Invalid and is of type *BadRecordError or *ConflictError.
	Err error
}

// Controller tracks the state of the stream. It is not safe for concurrent use.
type Controller struct {
	o Options
	// state is the newest state known. Its version and offset never decrease.
	state State
	// following is set while every record from state.Through on was or can be read; next is then state.Through.
	following bool
	// next is the offset to read from.
	next int64
	// first is the oldest offset that the log is known to retain.
	first int64
	// end is the offset after the stream's last record at the last read.
	end int64
	// hasRead is set once a batch was applied.
	hasRead bool
	// window is the number of records from the end of the stream that are read to find the state; 0 for a reader that
	// began at offset 0.
	window int64
	// windowStart is the offset at which the window begins.
	windowStart int64
	// snapshots schedules this reader's snapshots.
	snapshots schedule
}

// New returns a controller that reads the stream from offset 0.
func New(o Options) *Controller {
	if o.SnapshotInterval == 0 {
		o.SnapshotInterval = defaultSnapshotInterval
	}
	if o.StartWindow == 0 {
		o.StartWindow = defaultStartWindow
	}
	return &Controller{o: o, following: true, snapshots: schedule{o: o, recoverableFrom: -1}}
}

// Next returns the offset to read from.
func (c *Controller) Next() int64 { return c.next }

// State returns the newest known state.
func (c *Controller) State() State { return c.state }

// Site returns the configuration in force, or nil without one.
func (c *Controller) Site() *site.Site { return c.o.Board.Site() }

// Following reports whether no record after the state's offset was missed.
func (c *Controller) Following() bool { return c.following }

// CaughtUp reports whether the stream was read to its end.
func (c *Controller) CaughtUp() bool { return c.hasRead && c.next >= c.end }

// StartNearEnd lets a reader without a state start near the end of a stream that holds the offsets from first to before
// next. Snapshots there contain the state; the reader goes back as far as necessary to find one. StartNearEnd does
// nothing once a batch was applied or a state is known.
func (c *Controller) StartNearEnd(first, next int64) {
	if c.hasRead || c.state.Through > 0 {
		return
	}
	c.first = first
	c.end = next
	c.window = c.o.StartWindow
	c.seekWindow()
}

// seekWindow moves the reader to the beginning of the window.
func (c *Controller) seekWindow() {
	c.windowStart = max(c.first, c.end-c.window)
	c.next = c.windowStart
	c.following = c.next == c.state.Through
}

// widenWindow goes further back when the window was read without finding the state.
func (c *Controller) widenWindow() {
	for !c.following && c.window > 0 && c.next >= c.end && c.windowStart > c.first {
		c.window *= startWindowGrowth
		c.seekWindow()
	}
}

// Apply applies a batch that was read from an offset returned by Next, and returns the decisions on its records.
func (c *Controller) Apply(now clock.Millis, b Batch) []Decision {
	c.first = max(c.first, b.first)
	c.end = max(c.end, b.next)
	c.hasRead = true
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
		out = append(out, c.applyEntry(now, e)...)
	}
	c.snapshots.logRead(now, c.first)
	c.widenWindow()
	return out
}

// Adopt applies the state of a peer or a snapshot and reports whether it put a new version in force. A state older
// than the current one has no effect. Its errors are of type *ConflictError or *document.FieldError.
func (c *Controller) Adopt(s State) (bool, error) {
	if err := c.checkConsistent(s); err != nil {
		return false, err
	}
	if s.Through <= c.state.Through {
		return false, nil
	}
	if err := s.Parse(); err != nil {
		return false, err
	}
	newer := s.Version > c.state.Version
	c.setState(s)
	if s.Through >= c.first {
		c.following = true
		c.next = s.Through
	}
	return newer, nil
}

// checkConsistent returns a *ConflictError when s and the current state cannot both be states of one stream.
func (c *Controller) checkConsistent(s State) error {
	sameVersion := s.Version == c.state.Version && s.ID != c.state.ID
	versionFell := s.Through >= c.state.Through && s.Version < c.state.Version
	versionRose := s.Through <= c.state.Through && s.Version > c.state.Version
	if !sameVersion && !versionFell && !versionRose {
		return nil
	}
	return &ConflictError{
		Held: c.state.Version, HeldID: c.state.ID, HeldThrough: c.state.Through,
		Got: s.Version, GotID: s.ID, GotThrough: s.Through,
	}
}

// setState replaces the state. A newer version comes into force.
func (c *Controller) setState(s State) {
	newer := s.Version > c.state.Version
	c.state = s
	if newer {
		c.o.Board.SetSite(s.site, s.Version)
	}
}

// applyEntry applies the record at the offset before next.
func (c *Controller) applyEntry(now clock.Millis, e entry) []Decision {
	if c.following {
		c.state.Through = c.next
	}
	if e.err != nil {
		return []Decision{e.decision(Invalid, e.err)}
	}
	switch e.record.Type {
	case Snapshot:
		return c.applySnapshot(now, e)
	case Restore:
		return c.applyRestore(now, e)
	default:
		return c.applyChange(e)
	}
}

// applyChange applies a change when it was made from the version in force. A reader that has missed records cannot
// tell and ignores it.
func (c *Controller) applyChange(e entry) []Decision {
	if !c.following {
		return nil
	}
	if e.record.From != c.state.Version {
		return []Decision{e.decision(Superseded, nil)}
	}
	c.setState(e.state(c.next))
	return []Decision{e.decision(Accepted, nil)}
}

// applySnapshot adopts the state of a snapshot when it is newer than the current one.
func (c *Controller) applySnapshot(now clock.Millis, e entry) []Decision {
	c.snapshots.snapshotRead(now, e.record.Through)
	_, err := c.Adopt(e.state(e.record.Through))
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		return []Decision{e.decision(Invalid, err)}
	}
	return nil
}

// applyRestore applies a restore, which needs no knowledge of the records before it.
func (c *Controller) applyRestore(now clock.Millis, e entry) []Decision {
	if e.record.Version <= c.state.Version {
		return []Decision{e.decision(Superseded, nil)}
	}
	c.snapshots.snapshotRead(now, e.offset)
	c.setState(e.state(c.next))
	c.following = true
	return []Decision{e.decision(Accepted, nil)}
}

// state returns the state that the record gives at offset through.
func (e entry) state(through int64) State {
	return State{Version: e.record.Version, ID: e.record.ID, Text: e.record.Text, Through: through, site: e.site}
}

// decision returns a decision on the record.
func (e entry) decision(v Verdict, err error) Decision {
	return Decision{Offset: e.offset, ID: e.record.ID, Version: e.record.Version, Verdict: v, Err: err}
}
