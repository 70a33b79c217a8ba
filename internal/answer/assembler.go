package answer

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// FrameError reports a frame after which the attempt cannot deliver a complete answer.
type FrameError struct {
	// Request and Attempt name the attempt being assembled.
	Request string
	Attempt int
	// Seq is the number of the invalid frame.
	Seq int64
	// Problem says what is wrong with it.
	Problem string
}

// Error implements error.
func (e *FrameError) Error() string {
	return fmt.Sprintf("request %s attempt %d frame %d: %s", e.Request, e.Attempt, e.Seq, e.Problem)
}

// maxPending limits how many out-of-order frames are buffered.
const maxPending = 64

// Assembler puts the frames of one attempt in order. It delivers each byte once and ignores frames of other
// requests and attempts.
type Assembler struct {
	request string
	attempt int
	// next is the number of the next frame to deliver.
	next int64
	// offset is the position in the answer of the next byte to deliver; it never decreases.
	offset int64
	// pending holds frames with numbers above next; at most maxPending.
	pending map[int64]Frame
	// dropped counts ignored frames: duplicates and frames of other attempts.
	dropped int64
	digest  *xxhash.Digest
	// end is set once the last frame has been delivered.
	end *End
}

// NewAssembler returns an assembler for an attempt whose frames continue the answer at offset.
func NewAssembler(request string, attempt int, offset int64) *Assembler {
	return &Assembler{
		request: request,
		attempt: attempt,
		offset:  offset,
		pending: make(map[int64]Frame),
		digest:  xxhash.New(),
	}
}

// Accept adds a frame and returns the frames that can now be delivered, in order. Its errors are of type
// *FrameError.
func (a *Assembler) Accept(f Frame) ([]Frame, error) {
	if a.ignorable(f) {
		a.dropped++
		return nil, nil
	}
	if f.Seq > a.next {
		return nil, a.hold(f)
	}
	var out []Frame
	for {
		if err := a.deliver(f); err != nil {
			return out, err
		}
		out = append(out, f)
		next, ok := a.pending[a.next]
		if !ok {
			return out, nil
		}
		delete(a.pending, a.next)
		f = next
	}
}

// Whole returns the end of the answer and reports whether every frame has been delivered.
func (a *Assembler) Whole() (End, bool) {
	if a.end == nil {
		return End{}, false
	}
	return *a.end, true
}

// Dropped returns the number of ignored frames: duplicates and frames of other attempts.
func (a *Assembler) Dropped() int64 { return a.dropped }

func (a *Assembler) ignorable(f Frame) bool {
	if f.Request != a.request || f.Attempt != a.attempt {
		return true
	}
	return f.Seq < a.next || a.end != nil
}

func (a *Assembler) hold(f Frame) error {
	if len(a.pending) >= maxPending {
		return a.frameError(f, "too many frames arrived out of order")
	}
	a.pending[f.Seq] = f
	return nil
}

func (a *Assembler) deliver(f Frame) error {
	if f.Offset != a.offset {
		return a.frameError(f, fmt.Sprintf("offset %d, want %d", f.Offset, a.offset))
	}
	if (f.Head != nil) != (f.Seq == 0 && f.End == nil) {
		return a.frameError(f, "the head is not in the first frame")
	}
	a.next++
	a.offset += int64(len(f.Data))
	_, _ = a.digest.Write(f.Data)
	if f.End == nil {
		return nil
	}
	if f.End.Length != a.offset || f.End.Digest != a.digest.Sum64() {
		return a.frameError(f, fmt.Sprintf("end frame gives length %d and digest %x, received bytes have length %d and digest %x",
			f.End.Length, f.End.Digest, a.offset, a.digest.Sum64()))
	}
	a.end = f.End
	return nil
}

func (a *Assembler) frameError(f Frame, problem string) error {
	return &FrameError{Request: a.request, Attempt: a.attempt, Seq: f.Seq, Problem: problem}
}
