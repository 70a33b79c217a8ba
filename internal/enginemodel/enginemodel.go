// Package enginemodel models a model engine that batches requests, reads prompts in chunks between the tokens that it
// generates, and keeps prompt parts in a limited memory.
package enginemodel

import (
	"slices"

	"github.com/laburnumring/laburnumring"
)

// Options are an engine's speeds and sizes. Times are in milliseconds.
type Options struct {
	// Slots is the most requests that run at once.
	Slots int
	// Step is the time of one step, StepPerSlot what each running request adds, and StepPerContext what each
	// thousand tokens in memory of running requests add.
	Step           float64
	StepPerSlot    float64
	StepPerContext float64
	// PromptRate is how many prompt tokens are read in a millisecond, PairTime the time for a million pairs of a
	// prompt's tokens, and Chunk the most prompt tokens that are read in one step.
	PromptRate float64
	PairTime   float64
	Chunk      int64
	// First is the time from the end of reading to the first token that is not the engine's.
	First float64
	// Memory is how many tokens running requests and kept parts may take.
	Memory int64
}

// Request is a request as the engine sees it.
type Request struct {
	ID     int64
	Parts  []laburnumring.PromptPart
	Output int64
}

// run is a request in the engine.
type run struct {
	r Request
	// unread is what of the prompt is still to be read, context what has been, and left the tokens still to generate.
	unread  int64
	context int64
	left    int64
}

// Event tells what a step brought to a request.
type Event struct {
	ID int64
	// First is set for the first token, Done for the last.
	First bool
	Done  bool
}

// Stats counts tokens.
type Stats struct {
	// Read counts prompt tokens that were read, Again those of them that belong to parts that some engine had read
	// before, and Kept those that were found kept.
	Read  int64
	Again int64
	Kept  int64
	// Preempted counts requests that were put back for want of memory.
	Preempted int64
}

// Engine is one engine. It is used by one goroutine.
type Engine struct {
	o Options
	// queue holds the requests that wait, running those that run, both in the order of arrival.
	queue   []*run
	running []*run
	// kept holds the steps in which parts were last used.
	kept  map[string]keptPart
	steps int64
	stats Stats
	// seen holds the parts that any engine of the service has read.
	seen map[string]bool
}

type keptPart struct {
	tokens int64
	used   int64
}

// New returns an idle engine. Engines of one service have seen in common.
func New(o Options, seen map[string]bool) *Engine {
	return &Engine{o: o, kept: make(map[string]keptPart), seen: seen}
}

// Submit queues a request.
func (e *Engine) Submit(r Request) { e.queue = append(e.queue, &run{r: r, left: max(1, r.Output)}) }

// Load returns how many requests run and wait.
func (e *Engine) Load() (running, waiting int) { return len(e.running), len(e.queue) }

// Idle reports whether there is nothing to do.
func (e *Engine) Idle() bool { return len(e.running)+len(e.queue) == 0 }

// Stats returns what was counted.
func (e *Engine) Stats() Stats { return e.stats }

// Step does one step and returns the time that it takes and what it brings at its end.
func (e *Engine) Step() (float64, []Event) {
	e.steps++
	e.admit()
	took := e.o.Step + e.o.StepPerSlot*float64(len(e.running))
	context := int64(0)
	for _, v := range e.running {
		context += v.context
	}
	took += e.o.StepPerContext * float64(context) / 1000
	took += e.read()
	var out []Event
	e.running = slices.DeleteFunc(e.running, func(v *run) bool {
		if v.unread > 0 {
			return false
		}
		first := v.left == max(1, v.r.Output)
		v.left--
		v.context++
		if first || v.left == 0 {
			out = append(out, Event{ID: v.r.ID, First: first, Done: v.left == 0})
		}
		return v.left == 0
	})
	return took, out
}

// admit lets waiting requests run while there are slots and memory.
func (e *Engine) admit() {
	for len(e.queue) > 0 && len(e.running) < e.o.Slots {
		v := e.queue[0]
		need := v.r.Output
		for _, p := range v.r.Parts {
			need += p.Tokens
		}
		if len(e.running) > 0 && !e.makeRoom(need) {
			return
		}
		e.queue = e.queue[1:]
		e.begin(v)
		e.running = append(e.running, v)
	}
}

// begin finds what of a prompt is kept, and takes the rest as kept from now on.
func (e *Engine) begin(v *run) {
	whole := true
	for i, p := range v.r.Parts {
		_, ok := e.kept[p.ID]
		whole = whole && ok
		if whole {
			e.stats.Kept += p.Tokens
			v.context += p.Tokens
		} else {
			v.unread += p.Tokens
			e.stats.Read += p.Tokens
			if i < len(v.r.Parts)-1 && e.seen[p.ID] {
				e.stats.Again += p.Tokens
			}
		}
		if i < len(v.r.Parts)-1 {
			e.kept[p.ID] = keptPart{tokens: p.Tokens, used: e.steps}
			e.seen[p.ID] = true
		}
	}
}

// makeRoom drops parts that were not used for the longest time and reports whether need fits.
func (e *Engine) makeRoom(need int64) bool {
	used := need
	for _, v := range e.running {
		used += v.r.Parts[len(v.r.Parts)-1].Tokens + v.r.Output
	}
	if used > e.o.Memory {
		return false
	}
	for _, p := range e.kept {
		used += p.tokens
	}
	for used > e.o.Memory {
		oldest := ""
		for id, p := range e.kept {
			if oldest == "" || p.used < e.kept[oldest].used {
				oldest = id
			}
		}
		used -= e.kept[oldest].tokens
		delete(e.kept, oldest)
	}
	return true
}

// read reads a chunk of the prompts in the order of arrival and returns the time that it takes.
func (e *Engine) read() float64 {
	left := e.o.Chunk
	took := 0.0
	for _, v := range e.running {
		n := min(left, v.unread)
		if n == 0 {
			continue
		}
		v.unread -= n
		left -= n
		took += float64(n)/e.o.PromptRate + e.o.PairTime*float64(n)*float64(v.context)/1e6
		v.context += n
	}
	return took
}
