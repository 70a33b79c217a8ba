// Package run holds the answer of one started request while the backend server produces it and for a while
// after, so that a cut stream can go on.
package run

import (
	"context"
	"sync"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/answer"
)

// Run is one attempt's answer as it grows. It is safe for concurrent use.
type Run struct {
	mu sync.Mutex
	// head is set before the first byte of data.
	head *answer.Head
	// data holds the answer's bytes from offset from on; it only grows.
	data []byte
	// from is the offset of the first byte of data in the whole answer.
	from int64
	// units is the service that the answer has cost so far; it only grows.
	units int64
	// end is set once, after which nothing changes.
	end *answer.End
	// changed is closed and replaced at every change.
	changed chan struct{}
}

var _ laburnumring.AnswerSink = (*Run)(nil)

// New returns a run whose answer begins at offset from.
func New(from int64) *Run {
	return &Run{from: from, changed: make(chan struct{})}
}

// Head implements laburnumring.AnswerSink.
func (r *Run) Head(status int, contentType string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.head = &answer.Head{Status: status, ContentType: contentType}
	r.wake()
}

// Data implements laburnumring.AnswerSink.
func (r *Run) Data(p []byte, units int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.data = append(r.data, p...)
	r.units += units
	r.wake()
}

// End closes the answer.
func (r *Run) End(e answer.End) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.end != nil {
		return
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

// Copy writes the answer from offset from on as frames until its end, calling flush after each step. It
// stops early when ctx ends or a write fails.
func (r *Run) Copy(ctx context.Context, w *answer.Writer, flush func() error) error {
	headSent := false
	for {
		head, p, end, changed := r.after(w.Offset())
		if head != nil && !headSent {
			headSent = true
			if err := w.Head(*head); err != nil {
				return err
			}
		}
		if err := w.Data(p); err != nil {
			return err
		}
		if end != nil {
			if err := w.End(*end); err != nil {
				return err
			}
			return flush()
		}
		if err := flush(); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// Holds reports whether the run can serve the answer from offset on.
func (r *Run) Holds(offset int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return offset >= r.from && offset <= r.from+int64(len(r.data))
}

// after returns what has come since offset. The data is not changed later and may be kept.
func (r *Run) after(offset int64) (*answer.Head, []byte, *answer.End, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.head, r.data[offset-r.from:], r.end, r.changed
}

func (r *Run) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}
