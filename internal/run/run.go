// Package run holds the answer of one started request while the backend server produces it and for a while
// after, so that a cut stream can go on.
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
	// From is the offset of the answer's first byte.
	From int64
	// Window is the most bytes that are kept; one piece of data may be longer. 1 MiB when zero.
	Window int
}

const defaultWindow = 1 << 20

// GoneError reports a part of an answer that is not kept any more.
type GoneError struct {
	// Offset is where the answer was to be read and From the first byte that is kept.
	Offset int64
	From   int64
}

// Error implements error.
func (e *GoneError) Error() string {
	return fmt.Sprintf("answer asked for from offset %d, kept from %d", e.Offset, e.From)
}

// Run is one attempt's answer as it grows. Its window is bounded: a server that is faster than the caller
// has to wait. It is safe for concurrent use.
type Run struct {
	// window is positive.
	window int

	mu sync.Mutex
	// room is signalled when a reader has moved on and when the run is stopped.
	room *sync.Cond
	// head is set before the first byte of data.
	head *answer.Head
	// data holds the answer's bytes from offset from on.
	data []byte
	// from is the offset of the first byte of data in the whole answer; it only grows.
	from int64
	// read is the furthest offset that any reader has passed; it only grows.
	read int64
	// units is the service that the answer has cost so far; it only grows.
	units int64
	// stopped says that nobody will read on, and cut that bytes were dropped for it.
	stopped bool
	cut     bool
	// end is set once, after which nothing changes.
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
	r := &Run{window: o.Window, from: o.From, read: o.From, changed: make(chan struct{})}
	r.room = sync.NewCond(&r.mu)
	return r
}

// Head implements laburnumring.AnswerSink.
func (r *Run) Head(status int, contentType string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.head = &answer.Head{Status: status, ContentType: contentType}
	r.wake()
}

// Data implements laburnumring.AnswerSink. It waits until there is room.
func (r *Run) Data(p []byte, units int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.units += units
	for !r.makeRoom(len(p)) && !r.stopped {
		r.room.Wait()
	}
	if r.stopped {
		r.cut = true
		return
	}
	r.data = append(r.data, p...)
	r.wake()
}

// Stop lets the server go on without a reader; what it still sends is dropped.
func (r *Run) Stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	r.room.Broadcast()
}

// End closes the answer. One whose bytes were dropped is not whole.
func (r *Run) End(e answer.End) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.end != nil {
		return
	}
	if r.cut && e.Outcome == outcome.Whole {
		e = answer.End{Outcome: outcome.Unknown, Reason: "no_reader"}
	}
	e.Cost = r.units
	r.end = &e
	r.wake()
}

// Units returns the service that the answer has cost so far.
func (r *Run) Units() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.units
}

// Size returns how many bytes are kept.
func (r *Run) Size() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.data)
}

// Copy writes the answer from w's offset on as frames until its end, calling flush after each step but the last. It
// stops early when ctx ends, when a write fails or with a *GoneError.
func (r *Run) Copy(ctx context.Context, w *answer.Writer, flush func() error) error {
	headSent := false
	for {
		s, err := r.after(w.Offset())
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
			// What follows the end goes out with it when the stream ends.
			return w.End(*s.end)
		}
		if err := flush(); err != nil {
			return err
		}
		r.passed(w.Offset())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.changed:
		}
	}
}

// Holds reports whether the run can serve the answer from offset on.
func (r *Run) Holds(offset int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holds(offset)
}

// snapshot is what a run holds at one time. Its data is not changed later and may be kept.
type snapshot struct {
	head    *answer.Head
	data    []byte
	end     *answer.End
	changed <-chan struct{}
}

func (r *Run) after(offset int64) (snapshot, error) {
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

// passed records how far a reader has come.
func (r *Run) passed(offset int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if offset > r.read {
		r.read = offset
		r.room.Broadcast()
	}
}

// makeRoom drops what readers passed long ago and reports whether n more bytes fit; callers hold mu. Half a
// window stays for a reader whose stream was cut.
func (r *Run) makeRoom(n int) bool {
	if len(r.data) == 0 || len(r.data)+n <= r.window {
		return true
	}
	keep := max(0, min(r.window/2, r.window-n))
	drop := min(int64(len(r.data)), max(0, r.read-r.from-int64(keep)))
	r.data = r.data[drop:]
	r.from += drop
	return len(r.data) == 0 || len(r.data)+n <= r.window
}

func (r *Run) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}
