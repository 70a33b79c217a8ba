// Package engine is a stand-in for a model engine with continuous batching. It streams answers that depend on the
// prompt alone, so that a client can check them.
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

// Options configure an Engine.
type Options struct {
	// StepMs is the duration of one batching step, in milliseconds, without the PerRequestMs that each running request
	// adds to it. A request receives one token per step.
	StepMs       float64
	PerRequestMs float64
	// Version is the version of the engine's software, which its answers name; empty if they don't.
	Version string
	// Control holds the faults to inject; when nil, New adds one without faults.
	Control *control.Control
	// ChecksFencing is set when the engine refuses orders whose fencing number is lower than one it has seen.
	ChecksFencing bool
	// Crash is called when a prompt contains CrashMark; when nil, CrashMark has no effect. In a process of its own the
	// engine exits here; in tests Crash may return, and the connection is aborted.
	Crash func()
	// Observer is notified of the engine's work; it may be nil.
	Observer Observer
}

// Prompt is the JSON body of a request.
type Prompt struct {
	// Text is the text to answer.
	Text string `json:"prompt"`
	// MaxTokens is the number of tokens of the answer.
	MaxTokens int `json:"max_tokens"`
}

// CrashMark is the text that makes the engine crash when a prompt contains it.
const CrashMark = "crash-this-engine"

// Engine is a simulated model engine. It is safe for concurrent use.
type Engine struct {
	opts Options
	// orders handles orders from agents.
	orders *orderHandler

	mu sync.Mutex
	// running is the number of requests in the batch.
	running int
	// runs maps request ids to the number of times that the request ran.
	runs map[string]int
}

// New returns an idle engine.
func New(opts Options) *Engine {
	if opts.Control == nil {
		opts.Control = &control.Control{}
	}
	return &Engine{opts: opts, orders: &orderHandler{checksFencing: opts.ChecksFencing}, runs: make(map[string]int)}
}

// Token returns the i-th token of the answer to text.
func Token(text string, i int) string {
	return fmt.Sprintf("%06x ", xxhash.Sum64String(text+strconv.Itoa(i))&0xffffff)
}

// Answer returns the complete answer to p.
func Answer(p Prompt) string {
	var b strings.Builder
	for i := range p.MaxTokens {
		b.WriteString(Token(p.Text, i))
	}
	return b.String()
}

// Handler returns the handler of the engine's HTTP interface, of /control, which sets the faults, and of /runs, which
// returns the number of runs of each request id as JSON.
func (e *Engine) Handler() http.Handler {
	m := mux.NewRouter()
	m.Handle("/control", e.opts.Control).Methods(http.MethodPost)
	m.Handle(backend.GeneratePath, e.opts.Control.Wrap(http.HandlerFunc(e.generate))).Methods(http.MethodPost)
	m.Handle(backend.HealthPath, e.opts.Control.Wrap(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})))
	m.Handle(backend.OrdersPath, e.opts.Control.Wrap(e.orders))
	m.HandleFunc("/runs", e.serveRuns)
	return m
}

// tokenLength is the length of each token in bytes.
const tokenLength = 7

// generate handles a prompt. It replies with status 400 when the body can't be decoded.
func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var p Prompt
	if err := json.NewDecoder(r.Body).Decode(&p); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if strings.Contains(p.Text, CrashMark) && e.opts.Crash != nil {
		e.opts.Crash()
		panic(http.ErrAbortHandler)
	}
	e.startRun(r.Header.Get(backend.RequestIDHeader))
	defer e.endRun()
	e.observer().Started(p)
	defer e.observer().Ended(p)
	from, _ := strconv.Atoi(r.Header.Get(backend.ResumeHeader))
	e.stream(w, r, p, from)
}

// stream sends the answer to p from byte offset from on, one token per line.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, p Prompt, from int) {
	text := p.Text
	first, skip := from/tokenLength, from%tokenLength
	breakAfter := e.opts.Control.TakeBreakAfterTokens()
	if e.opts.Control.Faults().Contradict {
		text += strconv.FormatInt(time.Now().UnixNano(), 10)
	}
	if e.opts.Version != "" {
		w.Header().Set(backend.VersionHeader, e.opts.Version)
	}
	enc := json.NewEncoder(w)
	rc := http.NewResponseController(w)
	for i := first; i < p.MaxTokens; i++ {
		time.Sleep(e.stepDuration())
		if r.Context().Err() != nil {
			return
		}
		e.observer().Token(p)
		token := Token(text, i)
		if i == 0 && e.opts.Control.Faults().AnswerByVersion {
			token = Token(text+e.opts.Version, i)
		}
		_ = enc.Encode(backend.Line{Text: token[skip:], Units: 1})
		skip = 0
		if rc.Flush() != nil {
			return
		}
		if breakAfter > 0 && i+1 >= first+breakAfter {
			if e.opts.Crash != nil && e.opts.Control.Faults().CrashAtBreak {
				e.opts.Crash()
			}
			panic(http.ErrAbortHandler)
		}
	}
	_ = enc.Encode(backend.Line{Done: true, Length: int64(p.MaxTokens) * tokenLength})
}

// startRun adds a request to the batch and counts the run.
func (e *Engine) startRun(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running++
	e.runs[id]++
}

// endRun removes a request from the batch.
func (e *Engine) endRun() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

// stepDuration returns the duration of one batching step, given the size of the batch and the load factor.
func (e *Engine) stepDuration() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	ms := e.opts.StepMs + e.opts.PerRequestMs*float64(e.running)
	return time.Duration(ms * max(1, e.opts.Control.Faults().LoadFactor) * float64(time.Millisecond))
}

func (e *Engine) serveRuns(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(e.runs)
}
