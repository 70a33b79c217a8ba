package answer

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// FrameError reports a frame after which the answer cannot become whole in this attempt.
type FrameError struct {
	// Request and Attempt name the attempt being assembled.
	Request string
	Attempt int
	// Seq is the offending frame's number.
	Seq int64
	// Problem says what is wrong with it.
	Problem string
}

// Error implements error.
func (e *FrameError) Error() string {
	return fmt.Sprintf("request %s attempt %d frame %d: %s", e.Request, e.Attempt, e.Seq, e.Problem)
}

// maxEarly is how many frames that came too early are kept.
const maxEarly = 64

// Assembler puts the frames of one attempt in order. It delivers each byte once, and only bytes of its own
// request and attempt.
type Assembler struct {
	request string
	attempt int
	// next is the number of the next frame to deliver.
	next int64
	// offset is the position of the next byte to deliver; it never falls.
	offset int64
	// early holds frames with numbers above next; at most maxEarly.
	early map[int64]Frame
	// dropped counts frames that were repeated or belonged to another attempt.
	dropped int64
	digest  *xxhash.Digest
	// end is set once, by the last frame.
	end *End
}

// NewAssembler returns an assembler of the given attempt whose answer goes on from offset.
func NewAssembler(request string, attempt int, offset int64) *Assembler {
	return &Assembler{
		request: request,
		attempt: attempt,
		offset:  offset,
		early:   make(map[int64]Frame),
		digest:  xxhash.New(),
	}
}

// Accept takes one frame and returns the frames that can now be delivered, in order. Its errors are of type
// *FrameError.
func (a *Assembler) Accept(f Frame) ([]Frame, error) {
	if a.foreign(f) {
		a.dropped++
		return nil, nil
	}
	if f.Seq > a.next {
		return nil, a.keep(f)
	}
	var out []Frame
	for {
		if err := a.deliver(f); err != nil {
			return out, err
		}
		out = append(out, f)
		next, ok := a.early[a.next]
		if !ok {
			return out, nil
		}
		delete(a.early, a.next)
		f = next
	}
}

// Whole returns the end of the answer once every frame was delivered.
func (a *Assembler) Whole() (End, bool) {
	if a.end == nil {
		return End{}, false
	}
	return *a.end, true
}

// Dropped returns how many frames were repeated or belonged to another attempt.
func (a *Assembler) Dropped() int64 { return a.dropped }

func (a *Assembler) foreign(f Frame) bool {
	if f.Request != a.request || f.Attempt != a.attempt {
		return true
	}
	return f.Seq < a.next || a.end != nil
}

func (a *Assembler) keep(f Frame) error {
	if len(a.early) >= maxEarly {
		return a.fail(f, "too many frames came before their turn")
	}
	a.early[f.Seq] = f
	return nil
}

func (a *Assembler) deliver(f Frame) error {
	if f.Offset != a.offset {
		return a.fail(f, fmt.Sprintf("offset %d where %d was due", f.Offset, a.offset))
	}
	if (f.Head != nil) != (f.Seq == 0 && f.End == nil) {
		return a.fail(f, "the head is not in the first frame")
	}
	a.next++
	a.offset += int64(len(f.Data))
	_, _ = a.digest.Write(f.Data)
	if f.End == nil {
		return nil
	}
	if f.End.Length != a.offset || f.End.Digest != a.digest.Sum64() {
		return a.fail(f, fmt.Sprintf("the end names length %d and digest %x, received were %d and %x",
			f.End.Length, f.End.Digest, a.offset, a.digest.Sum64()))
	}
	a.end = f.End
	return nil
}

func (a *Assembler) fail(f Frame, problem string) error {
	return &FrameError{Request: a.request, Attempt: a.attempt, Seq: f.Seq, Problem: problem}
}
