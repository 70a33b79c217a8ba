// Package engine stands in for a model engine: it batches continuously and streams answers that follow from
// the prompt alone.
package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"github.com/laburnumring/laburnumring/internal/backend"
	"github.com/laburnumring/laburnumring/internal/standin/control"
)

// Options are the settings of an Engine.
type Options struct {
	// StepMs is the time of one batching step with an empty batch, in milliseconds; each running request
	// adds PerRequestMs.
	StepMs       float64
	PerRequestMs float64
	// Control holds the faults.
	Control *control.Control
	// ChecksFencing makes the engine refuse orders with an old fencing number.
	ChecksFencing bool
	// Crash is called when a request holds the crash mark; it does not return in a real process.
	Crash func()
	// Observer is told what the engine does; it may be nil.
	Observer Observer
}

// Prompt is the body of a request.
type Prompt struct {
	// Text is the prompt.
	Text string `json:"prompt"`
	// MaxTokens is the number of tokens of the answer.
	MaxTokens int `json:"max_tokens"`
}

// CrashMark makes the engine crash when a prompt contains it.
const CrashMark = "crash-this-engine"

// Engine is one model engine. It is safe for concurrent use.
type Engine struct {
	o Options
	// orders takes orders.
	orders *orders

	mu sync.Mutex
	// running is how many requests are in the batch.
	running int
	// runs counts the runs of each request id.
	runs map[string]int
}

// New returns an idle engine.
func New(o Options) *Engine {
	if o.Control == nil {
		o.Control = &control.Control{}
	}
	return &Engine{o: o, orders: &orders{checks: o.ChecksFencing}, runs: make(map[string]int)}
}

// Token returns the i-th token of the answer to text.
func Token(text string, i int) string {
	return fmt.Sprintf("%06x ", xxhash.Sum64String(text+strconv.Itoa(i))&0xffffff)
}

// Answer returns the whole answer to p.
func Answer(p Prompt) string {
	var b strings.Builder
	for i := range p.MaxTokens {
		b.WriteString(Token(p.Text, i))
	}
	return b.String()
}

// Handler returns the engine's HTTP interface and, at /control, its faults.
func (e *Engine) Handler() http.Handler {
	m := mux.NewRouter()
	m.Handle("/control", e.o.Control).Methods(http.MethodPost)
	m.Handle(backend.GeneratePath, e.o.Control.Wrap(http.HandlerFunc(e.generate))).Methods(http.MethodPost)
	m.Handle(backend.HealthPath, e.o.Control.Wrap(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})))
	m.Handle(backend.OrdersPath, e.o.Control.Wrap(e.orders))
	m.HandleFunc("/runs", e.serveRuns)
	return m
}

// tokenLength is the length in bytes of each token.
const tokenLength = 7

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var p Prompt
	if err := json.NewDecoder(r.Body).Decode(&p); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if strings.Contains(p.Text, CrashMark) && e.o.Crash != nil {
		e.o.Crash()
		panic(http.ErrAbortHandler)
	}
	e.enter(r.Header.Get(backend.RequestIDHeader))
	defer e.leave()
	e.observer().Started(p)
	defer e.observer().Ended(p)
	from, _ := strconv.Atoi(r.Header.Get(backend.ResumeHeader))
	e.stream(w, r, p, from)
}

// stream sends the answer from offset from on.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, p Prompt, from int) {
	text := p.Text
	first, skip := from/tokenLength, from%tokenLength
	breakAt := e.o.Control.TakeBreak()
	if e.o.Control.Faults().Contradict {
		text += strconv.FormatInt(time.Now().UnixNano(), 10)
	}
	enc := json.NewEncoder(w)
	rc := http.NewResponseController(w)
	for i := first; i < p.MaxTokens; i++ {
		time.Sleep(e.step())
		if r.Context().Err() != nil {
			return
		}
		e.observer().Token(p)
		_ = enc.Encode(backend.Line{Text: Token(text, i)[skip:], Units: 1})
		skip = 0
		if rc.Flush() != nil {
			return
		}
		if breakAt > 0 && i+1 >= first+breakAt {
			panic(http.ErrAbortHandler)
		}
	}
	_ = enc.Encode(backend.Line{Done: true, Length: int64(p.MaxTokens) * tokenLength})
}

func (e *Engine) enter(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running++
	e.runs[id]++
}

func (e *Engine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

// step returns the time of one step of the batch.
func (e *Engine) step() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	ms := e.o.StepMs + e.o.PerRequestMs*float64(e.running)
	return time.Duration(ms * max(1, e.o.Control.Faults().LoadFactor) * float64(time.Millisecond))
}

func (e *Engine) serveRuns(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(e.runs)
}
