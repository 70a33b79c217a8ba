// Package load is a caller that checks every answer byte for byte.
package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/laburnumring/laburnumring/internal/standin/engine"
	"github.com/laburnumring/laburnumring/internal/standin/plainservice"
	"github.com/laburnumring/laburnumring/pkg/header"
	"github.com/laburnumring/laburnumring/pkg/outcome"
)

// Options are the settings of a Load.
type Options struct {
	// Routers are the addresses of the routers, used in turn.
	Routers []string
	// ModelService and PlainService name the services to call; an empty one is not called.
	ModelService string
	PlainService string
	// PlainServers are the addresses of the plain service's servers, asked at the end for their runs.
	PlainServers []string
	// Teams are the teams to call as, in turn.
	Teams []string
	// Tokens are the teams' bearer tokens, in the order of Teams; without any, teams are only named.
	Tokens []string
	// Requests is how many requests are sent and Concurrency how many at once.
	Requests    int
	Concurrency int
	// MaxTokens is the longest answer asked for.
	MaxTokens int
	// Seed makes the requests the same in every run.
	Seed uint64
	// DeadlineMs is each request's deadline.
	DeadlineMs int
}

// Summary counts how the requests ended.
type Summary struct {
	Requests     int `json:"requests"`
	Whole        int `json:"whole"`
	NotRun       int `json:"not_run"`
	Failed       int `json:"failed"`
	Unknown      int `json:"unknown"`
	WrongAnswers int `json:"wrong_answers"`
	// KeyClaimed counts those of Unknown that were refused because another submission holds the key.
	KeyClaimed int `json:"key_claimed"`
	// RanTwice counts bookings that ran more than once.
	RanTwice int `json:"ran_twice"`
	// RanAfterNotRun counts bookings that ran although every answer to them said that they did not.
	RanAfterNotRun int `json:"ran_after_not_run"`
	// Resent counts bookings sent a second time under the same key.
	Resent int `json:"resent"`
}

// Load sends requests and counts their outcomes.
type Load struct {
	o  Options
	hc *http.Client

	// sent counts the requests that were handed to a connection.
	sent atomic.Int64

	mu      sync.Mutex
	summary Summary
	// ended holds how each booking's calls ended, by body.
	ended map[string][]outcome.Outcome
}

const timeout = 2 * time.Minute

// New returns a load.
func New(o Options) *Load {
	return &Load{
		o:     o,
		ended: make(map[string][]outcome.Outcome),
		hc:    &http.Client{Timeout: timeout, Transport: &http.Transport{MaxIdleConnsPerHost: o.Concurrency}},
	}
}

// Sent returns how many requests were handed to a connection so far.
func (l *Load) Sent() int64 { return l.sent.Load() }

// Run sends all requests and returns the counts.
func (l *Load) Run(ctx context.Context) (Summary, error) {
	jobs := make(chan int)
	var wg sync.WaitGroup
	for range l.o.Concurrency {
		wg.Go(func() {
			for i := range jobs {
				l.one(ctx, i)
			}
		})
	}
	for i := range l.o.Requests {
		jobs <- i
	}
	close(jobs)
	wg.Wait()
	return l.summary, l.countRuns(ctx)
}

func (l *Load) one(ctx context.Context, i int) {
	rng := rand.New(rand.NewPCG(l.o.Seed, uint64(i)))
	team := l.o.Teams[i%len(l.o.Teams)]
	router := l.o.Routers[i%len(l.o.Routers)]
	if l.o.PlainService != "" && (l.o.ModelService == "" || rng.IntN(3) == 0) {
		l.book(ctx, rng, router, team, i)
		return
	}
	p := engine.Prompt{Text: fmt.Sprintf("prompt %d of %s", i, team), MaxTokens: 1 + rng.IntN(l.o.MaxTokens)}
	body, _ := json.Marshal(p)
	l.send(ctx, router, "/v1/services/"+l.o.ModelService, team, string(body), "", engine.Answer(p))
}

// book sends a booking that must not repeat; some are sent again under their key through another router.
func (l *Load) book(ctx context.Context, rng *rand.Rand, router, team string, i int) {
	body := fmt.Sprintf("booking %d of %s", i, team)
	want := plainservice.Answer("/bookings", body)
	key := ""
	if rng.IntN(2) == 0 {
		key = uuid.Must(uuid.NewV7()).String()
	}
	path := "/v1/services/" + l.o.PlainService + "/bookings"
	if key == "" || rng.IntN(4) != 0 {
		l.send(ctx, router, path, team, body, key, want)
		return
	}
	other := l.o.Routers[(i+1)%len(l.o.Routers)]
	var wg sync.WaitGroup
	wg.Go(func() { l.send(ctx, router, path, team, body, key, want) })
	wg.Go(func() { l.send(ctx, other, path, team, body, key, want) })
	wg.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.summary.Resent++
}

func (l *Load) send(ctx context.Context, router, path, team, body, key, want string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+router+path, strings.NewReader(body))
	if err != nil {
		return
	}
	req.GetBody = nil
	l.identify(req, team)
	if l.o.DeadlineMs > 0 {
		req.Header.Set(header.Deadline, fmt.Sprint(l.o.DeadlineMs))
	}
	if key != "" {
		req.Header.Set(header.IdempotencyKey, key)
	}
	l.sent.Add(1)
	got, o := l.receive(req)
	l.count(o, got, want)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended[body] = append(l.ended[body], o)
}

// identify says which team sends the request.
func (l *Load) identify(req *http.Request, team string) {
	i := slices.Index(l.o.Teams, team)
	if i >= 0 && i < len(l.o.Tokens) {
		req.Header.Set("Authorization", "Bearer "+l.o.Tokens[i])
		return
	}
	req.Header.Set(header.Team, team)
}

// receive sends a request and returns the answer and how the caller understands its end.
func (l *Load) receive(req *http.Request) (string, outcome.Outcome) {
	resp, err := l.hc.Do(req)
	if err != nil {
		return "", outcome.Unknown
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return string(data), outcome.Unknown
	}
	if resp.Header.Get(header.Reason) == "key_claimed" {
		l.mu.Lock()
		l.summary.KeyClaimed++
		l.mu.Unlock()
	}
	o := outcome.Outcome(resp.Header.Get(header.Outcome))
	if o == "" {
		o = outcome.Outcome(resp.Trailer.Get(header.Outcome))
	}
	if !o.Valid() {
		return string(data), outcome.Unknown
	}
	return string(data), o
}

func (l *Load) count(o outcome.Outcome, got, want string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.summary.Requests++
	switch o {
	case outcome.Whole:
		l.summary.Whole++
		if got != want {
			l.summary.WrongAnswers++
		}
	case outcome.NotRun:
		l.summary.NotRun++
	case outcome.Failed:
		l.summary.Failed++
	case outcome.Unknown:
		l.summary.Unknown++
		if !strings.HasPrefix(want, got) && !strings.HasPrefix(got, "{") {
			l.summary.WrongAnswers++
		}
	}
}

// countRuns asks the plain servers how often each booking ran.
func (l *Load) countRuns(ctx context.Context) error {
	total := make(map[string]int)
	var errs []error
	for _, address := range l.o.PlainServers {
		runs, err := l.runs(ctx, address)
		errs = append(errs, err)
		for body, n := range runs {
			total[body] += n
		}
	}
	for body, n := range total {
		if n > 1 {
			l.summary.RanTwice++
		}
		if n > 0 && l.allNotRun(body) {
			l.summary.RanAfterNotRun++
		}
	}
	return errors.Join(errs...)
}

// allNotRun reports whether every call of a booking was said not to have run.
func (l *Load) allNotRun(body string) bool {
	ended := l.ended[body]
	return len(ended) > 0 && !slices.ContainsFunc(ended, func(o outcome.Outcome) bool { return o != outcome.NotRun })
}

func (l *Load) runs(ctx context.Context, address string) (map[string]int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/runs", http.NoBody)
	if err != nil {
		return nil, err
	}
	resp, err := l.hc.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	var runs map[string]int
	return runs, json.NewDecoder(resp.Body).Decode(&runs)
}
