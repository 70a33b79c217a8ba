// Package run buffers the answer of one started request between the backend server and the streams that deliver the
// answer, so that a router whose stream broke can continue it.
package run

import (
	"context"
	"fmt"
	"sync"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/answer"
	"github.com/laburnumring/laburnumring/pkg/outcome"
)

// Options are the settings of a Run.
type Options struct {
	// From is the offset of the run's first byte in the complete answer; it is greater than 0 when the run resumes an
	// answer.
	From int64
	// Window is the maximum number of buffered bytes, which a single longer piece of data may exceed; 1 MiB when zero.
	Window int
}

const defaultWindow = 1 << 20

// GoneError reports a read from an offset that is not in the buffer.
type GoneError struct {
	// Offset is the offset of the read.
	Offset int64
	// From is the offset of the first buffered byte.
	From int64
}

// Error implements error.
func (e *GoneError) Error() string {
	return fmt.Sprintf("answer is not available from offset %d; the buffer starts at %d", e.Offset, e.From)
}

// Run is the answer of one attempt. Its buffer is limited to a window: a server that is faster than the reader has to
// wait. A Run is safe for concurrent use.
type Run struct {
	// window is positive.
	window int

	mu sync.Mutex
	// spaceFreed is signalled when a reader has advanced and when the run is stopped.
	spaceFreed *sync.Cond
	// head is set before the first byte of data.
	head *laburnumring.AnswerHead
	// data is the buffer.
	data []byte
	// from is the offset of the buffer's first byte in the complete answer; it never decreases.
	from int64
	// maxRead is the highest offset that a reader has reached; it never decreases.
	maxRead int64
	// units is the cost of the answer so far, in service units; it never decreases.
	units int64
	// stopped is set when no reader is going to continue. dropped is set when bytes were dropped because of that.
	stopped bool
	dropped bool
	// end is set once. After that nothing changes.
	end *answer.End
	// changed is closed and replaced at every change.
	changed chan struct{}
}

var _ laburnumring.AnswerSink = (*Run)(nil)

// New returns an empty run.
func New(o Options) *Run {
	if o.Window == 0 {
		o.Window = defaultWindow
	}
	r := &Run{window: o.Window, from: o.From, maxRead: o.From, changed: make(chan struct{})}
	r.spaceFreed = sync.NewCond(&r.mu)
	return r
}

// Head implements laburnumring.AnswerSink.
func (r *Run) Head(h laburnumring.AnswerHead) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.head = &h
	r.notify()
}

// Data implements laburnumring.AnswerSink. It blocks until p fits into the buffer or the run is stopped.
func (r *Run) Data(p []byte, units int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.units += units
	for !r.freeSpace(len(p)) && !r.stopped {
		r.spaceFreed.Wait()
	}
	if r.stopped {
		r.dropped = true
		return
	}
	r.data = append(r.data, p...)
	r.notify()
}

// Stop ends the waits of Data: everything that the server sends from now on is dropped.
func (r *Run) Stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	r.spaceFreed.Broadcast()
}

// End ends the answer. An answer whose bytes were dropped ends with outcome unknown instead of whole.
func (r *Run) End(e answer.End) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.end != nil {
		return
	}
	if r.dropped && e.Outcome == outcome.Whole {
		e = answer.End{Outcome: outcome.Unknown, Reason: "no_reader"}
	}
	e.Cost = r.units
	r.end = &e
	r.notify()
}

// Units returns the cost of the answer so far, in service units.
func (r *Run) Units() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.units
}

// Size returns the number of buffered bytes.
func (r *Run) Size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.data)
}

// Copy writes the answer as frames to w, from w's offset to the end of the answer, and calls flush after each step but
// the last. It returns early when ctx ends or a write fails, and with a *GoneError when the buffer no longer has the
// next byte.
func (r *Run) Copy(ctx context.Context, w *answer.Writer, flush func() error) error {
	headSent := false
	for {
		s, err := r.snapshotFrom(w.Offset())
		if err != nil {
			return err
		}
		if s.head != nil && !headSent {
			headSent = true
			if err := w.Head(*s.head); err != nil {
				return err
			}
		}
		if err := w.Data(s.data); err != nil {
			return err
		}
		if s.end != nil {
			// No flush: the end frame goes out together with what follows it when the stream ends.
			return w.End(*s.end)
		}
		if err := flush(); err != nil {
			return err
		}
		r.advanceReader(w.Offset())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.changed:
		}
	}
}

// Holds reports whether the answer can be read from offset on.
func (r *Run) Holds(offset int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holds(offset)
}

// snapshot is the state of a run at one time. Its data is never modified, so it may be used without the lock.
type snapshot struct {
	head    *laburnumring.AnswerHead
	data    []byte
	end     *answer.End
	changed <-chan struct{}
}

// snapshotFrom returns the run's state with its data from offset on, or a *GoneError.
func (r *Run) snapshotFrom(offset int64) (snapshot, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.holds(offset) {
		return snapshot{}, &GoneError{Offset: offset, From: r.from}
	}
	return snapshot{head: r.head, data: r.data[offset-r.from:], end: r.end, changed: r.changed}, nil
}

func (r *Run) holds(offset int64) bool {
	return offset >= r.from && offset <= r.from+int64(len(r.data))
}

// advanceReader records that a reader has reached offset.
func (r *Run) advanceReader(offset int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if offset > r.maxRead {
		r.maxRead = offset
		r.spaceFreed.Broadcast()
	}
}

// freeSpace drops bytes that readers have passed, if it must, and reports whether n more bytes fit into the window.
// Half a window of bytes that were read stays for a reader whose stream broke, unless n needs more space. r.mu must be
// held.
func (r *Run) freeSpace(n int) bool {
	if len(r.data) == 0 || len(r.data)+n <= r.window {
		return true
	}
	keepBytes := max(0, min(r.window/2, r.window-n))
	dropBytes := min(int64(len(r.data)), max(0, r.maxRead-r.from-int64(keepBytes)))
	r.data = r.data[dropBytes:]
	r.from += dropBytes
	return len(r.data) == 0 || len(r.data)+n <= r.window
}

// notify wakes the readers. r.mu must be held.
func (r *Run) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}
