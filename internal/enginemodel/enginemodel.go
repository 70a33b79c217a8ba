// Package enginemodel simulates an inference engine with continuous batching, chunked prefill (the reading of prompts)
// and a prefix cache. Running requests and cached prompt parts share a limited memory.
package enginemodel

import (
	"slices"

	"github.com/laburnumring/laburnumring"
)

// Options are the speeds and sizes of an engine. Times are in milliseconds.
type Options struct {
	// Slots is the largest number of requests that run at once.
	Slots int
	// Step is the base time of one step. Each running request adds StepPerSlot, and each thousand context tokens of
	// the running requests add StepPerContext.
	Step           float64
	StepPerSlot    float64
	StepPerContext float64
	// PromptRate is the number of prompt tokens prefilled per millisecond, without the cost of attention. PairTime is
	// that cost: the time per million pairs of a prefilled token and a token before it. Chunk is the largest number
	// of prompt tokens prefilled in one step.
	PromptRate float64
	PairTime   float64
	Chunk      int64
	// EventTokens is the number of generated tokens in an event after the first, which holds one; 1 if zero.
	EventTokens int64
	// FirstTokenDelay is the part of the time from the end of prefill to the first token that isn't spent in the
	// engine.
	FirstTokenDelay float64
	// Memory is the number of tokens that running requests and cached parts may occupy together.
	Memory int64
}

// Request is a request as the engine sees it. The last of its parts belongs to this request alone and isn't cached.
// Output is the number of tokens to generate.
type Request struct {
	ID     int64
	Parts  []laburnumring.PromptPart
	Output int64
}

// requestState is the progress of a queued or running request.
type requestState struct {
	r Request
	// prefillLeft counts the prompt tokens that are still to be prefilled, context the tokens in memory, and outputLeft
	// the tokens that are still to be generated.
	prefillLeft int64
	context     int64
	outputLeft  int64
	// eventAt is the time of the latest event, and longestPause the longest time between two events.
	eventAt      float64
	longestPause float64
}

// Event reports that a request's first or last token was generated.
type Event struct {
	ID int64
	// First is set for the first token, Done for the last.
	First bool
	Done  bool
	// LongestPause is the longest time between two of the request's events, in milliseconds. It is set if Done is.
	LongestPause float64
}

// Stats counts tokens.
type Stats struct {
	// Read counts prefilled prompt tokens, PrefilledAgain those of them that belong to parts that an engine of the
	// service had prefilled before, and Cached the prompt tokens that were found in the cache.
	Read           int64
	PrefilledAgain int64
	Cached         int64
	// Preempted is always 0: the model doesn't preempt requests.
	Preempted int64
}

// Engine is one simulated engine. It isn't safe for concurrent use.
type Engine struct {
	o Options
	// queue holds the waiting requests and running the running ones, both in order of arrival.
	queue   []*requestState
	running []*requestState
	// cached holds the cached prompt parts by ID, and steps counts the steps done.
	cached map[string]cachedPart
	steps  int64
	// worked is the duration of all steps done, in milliseconds.
	worked float64
	stats  Stats
	// seen holds the IDs of the parts that any engine of the service has prefilled.
	seen map[string]bool
}

// cachedPart is a prompt part in the cache; lastUsed is the step of its last use.
type cachedPart struct {
	tokens   int64
	lastUsed int64
}

// New returns an idle engine. The engines of one service share the map seen.
func New(o Options, seen map[string]bool) *Engine {
	return &Engine{o: o, cached: make(map[string]cachedPart), seen: seen}
}

// Submit queues a request.
func (e *Engine) Submit(r Request) {
	e.queue = append(e.queue, &requestState{r: r, outputLeft: max(1, r.Output)})
}

// Load returns the numbers of running and waiting requests.
func (e *Engine) Load() (running, waiting int) { return len(e.running), len(e.queue) }

// Idle reports whether no request is running or waiting.
func (e *Engine) Idle() bool { return len(e.running)+len(e.queue) == 0 }

// Stats returns the counts since the engine was created.
func (e *Engine) Stats() Stats { return e.stats }

// Step runs one step and returns its duration in milliseconds and the events at its end.
func (e *Engine) Step() (float64, []Event) {
	e.steps++
	e.admit()
	took := e.o.Step + e.o.StepPerSlot*float64(len(e.running))
	context := int64(0)
	for _, v := range e.running {
		context += v.context
	}
	took += e.o.StepPerContext * float64(context) / 1000
	took += e.prefill()
	e.worked += took
	var events []Event
	e.running = slices.DeleteFunc(e.running, func(v *requestState) bool {
		if v.prefillLeft > 0 {
			return false
		}
		first := v.outputLeft == max(1, v.r.Output)
		v.outputLeft--
		v.context++
		v.recordPause(e.worked, e.o.EventTokens)
		if first || v.outputLeft == 0 {
			events = append(events, Event{ID: v.r.ID, First: first, Done: v.outputLeft == 0, LongestPause: v.longestPause})
		}
		return v.outputLeft == 0
	})
	return took, events
}

// recordPause records the pause before an event, if the token generated last completes one.
func (v *requestState) recordPause(now float64, eventTokens int64) {
	switch generated := max(1, v.r.Output) - v.outputLeft; {
	case generated == 1:
		v.eventAt = now
	case v.outputLeft == 0 || (generated-1)%max(1, eventTokens) == 0:
		v.longestPause = max(v.longestPause, now-v.eventAt)
		v.eventAt = now
	}
}

// admit starts waiting requests in order of arrival while slots and memory suffice. A request that finds the engine
// empty starts whatever its size, since waiting would free no more memory.
func (e *Engine) admit() {
	for len(e.queue) > 0 && len(e.running) < e.o.Slots {
		v := e.queue[0]
		need := v.r.Output
		for _, p := range v.r.Parts {
			need += p.Tokens
		}
		if len(e.running) > 0 && !e.evictFor(need) {
			return
		}
		e.queue = e.queue[1:]
		e.lookUpPrompt(v)
		e.running = append(e.running, v)
	}
}

// lookUpPrompt splits a prompt into its cached prefix and the rest, which is to be prefilled. All parts but the last
// count as cached from now on.
func (e *Engine) lookUpPrompt(v *requestState) {
	prefixCached := true
	for i, p := range v.r.Parts {
		_, ok := e.cached[p.ID]
		prefixCached = prefixCached && ok
		if prefixCached {
			e.stats.Cached += p.Tokens
			v.context += p.Tokens
		} else {
			v.prefillLeft += p.Tokens
			e.stats.Read += p.Tokens
			if i < len(v.r.Parts)-1 && e.seen[p.ID] {
				e.stats.PrefilledAgain += p.Tokens
			}
		}
		if i < len(v.r.Parts)-1 {
			e.cached[p.ID] = cachedPart{tokens: p.Tokens, lastUsed: e.steps}
			e.seen[p.ID] = true
		}
	}
}

// evictFor evicts the least recently used parts until need more tokens fit in memory. It evicts nothing and reports
// false if they wouldn't fit even with an empty cache.
func (e *Engine) evictFor(need int64) bool {
	used := need
	for _, v := range e.running {
		used += v.r.Parts[len(v.r.Parts)-1].Tokens + v.r.Output
	}
	if used > e.o.Memory {
		return false
	}
	for _, p := range e.cached {
		used += p.tokens
	}
	for used > e.o.Memory {
		oldest := ""
		for id, p := range e.cached {
			if oldest == "" || p.lastUsed < e.cached[oldest].lastUsed {
				oldest = id
			}
		}
		used -= e.cached[oldest].tokens
		delete(e.cached, oldest)
	}
	return true
}

// prefill prefills up to one chunk of prompt tokens, in order of arrival, and returns the time that it takes.
func (e *Engine) prefill() float64 {
	budget := e.o.Chunk
	took := 0.0
	for _, v := range e.running {
		n := min(budget, v.prefillLeft)
		if n == 0 {
			continue
		}
		v.prefillLeft -= n
		budget -= n
		took += float64(n)/e.o.PromptRate + e.o.PairTime*float64(n)*float64(v.context)/1e6
		v.context += n
	}
	return took
}
