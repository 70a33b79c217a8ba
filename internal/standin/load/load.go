// Package load provides a load generator that checks every answer byte for byte.
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

// Options configure a Generator.
type Options struct {
	// Routers are the addresses of the routers, which receive requests in rotation.
	Routers []string
	// ModelService and PlainService are the names of the services to call; a service with an empty name is not called.
	ModelService string
	PlainService string
	// PlainServers are the addresses of the plain service's servers. Their run counts are fetched after the last
	// request.
	PlainServers []string
	// Teams are the teams on whose behalf requests are sent, in rotation.
	Teams []string
	// Tokens are the teams' bearer tokens, in the order of Teams. A team without a token is named in a header.
	Tokens []string
	// Requests is the number of requests to send, and Concurrency the maximum in progress at once. A booking that is
	// submitted twice counts as one in both.
	Requests    int
	Concurrency int
	// MaxTokens is the length of the longest answer to request, in tokens.
	MaxTokens int
	// Seed seeds the choice of requests; runs with the same seed send the same requests, except for random keys.
	Seed uint64
	// DeadlineMs is each request's deadline in milliseconds; when zero, requests have none.
	DeadlineMs int
}

// Summary counts requests by their outcome, as the client learned it, and the violations that were found.
type Summary struct {
	Requests int `json:"requests"`
	Whole    int `json:"whole"`
	NotRun   int `json:"not_run"`
	Failed   int `json:"failed"`
	Unknown  int `json:"unknown"`
	// WrongAnswers counts complete answers that differ from the expected one, and answers of unknown outcome that are
	// neither a prefix of it nor a JSON error.
	WrongAnswers int `json:"wrong_answers"`
	// KeyClaimed counts those of Unknown that were refused because another submission has claimed the key.
	KeyClaimed int `json:"key_claimed"`
	// RanTwice counts bookings that ran more than once.
	RanTwice int `json:"ran_twice"`
	// RanAfterNotRun counts bookings that ran although every response reported that they had not.
	RanAfterNotRun int `json:"ran_after_not_run"`
	// Resent counts bookings that were submitted twice under the same idempotency key.
	Resent int `json:"resent"`
}

// Generator sends requests and counts their outcomes.
type Generator struct {
	opts   Options
	client *http.Client

	// sent counts the requests passed to the HTTP client.
	sent atomic.Int64

	mu      sync.Mutex
	summary Summary
	// outcomes maps each request body to the outcomes of the calls with it.
	outcomes map[string][]outcome.Outcome
}

const requestTimeout = 2 * time.Minute

// New returns a load generator that has not sent anything.
func New(opts Options) *Generator {
	return &Generator{
		opts:     opts,
		outcomes: make(map[string][]outcome.Outcome),
		client:   &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: opts.Concurrency}},
	}
}

// Sent returns the number of requests passed to the HTTP client so far.
func (g *Generator) Sent() int64 { return g.sent.Load() }

// Run sends all requests, waits for their answers and returns the counts. It returns an error when a plain server's run
// counts can't be fetched.
func (g *Generator) Run(ctx context.Context) (Summary, error) {
	jobs := make(chan int)
	var wg sync.WaitGroup
	for range g.opts.Concurrency {
		wg.Go(func() {
			for i := range jobs {
				g.sendNumbered(ctx, i)
			}
		})
	}
	for i := range g.opts.Requests {
		jobs <- i
	}
	close(jobs)
	wg.Wait()
	return g.summary, g.checkRuns(ctx)
}

// sendNumbered sends the i-th request, which the seed and i determine: a booking to the plain service or a prompt to
// the model service.
func (g *Generator) sendNumbered(ctx context.Context, i int) {
	rng := rand.New(rand.NewPCG(g.opts.Seed, uint64(i)))
	team := g.opts.Teams[i%len(g.opts.Teams)]
	router := g.opts.Routers[i%len(g.opts.Routers)]
	if g.opts.PlainService != "" && (g.opts.ModelService == "" || rng.IntN(3) == 0) {
		g.sendBooking(ctx, rng, router, team, i)
		return
	}
	p := engine.Prompt{Text: fmt.Sprintf("prompt %d of %s", i, team), MaxTokens: 1 + rng.IntN(g.opts.MaxTokens)}
	body, _ := json.Marshal(p)
	g.send(ctx, router, "/v1/services/"+g.opts.ModelService, team, string(body), "", engine.Answer(p))
}

// sendBooking sends a booking, which must not run twice. Half of the bookings have an idempotency key, and a quarter of
// these are submitted twice at the same time, the second time through the next router.
func (g *Generator) sendBooking(ctx context.Context, rng *rand.Rand, router, team string, i int) {
	body := fmt.Sprintf("booking %d of %s", i, team)
	want := plainservice.Answer("/bookings", body)
	key := ""
	if rng.IntN(2) == 0 {
		key = uuid.Must(uuid.NewV7()).String()
	}
	path := "/v1/services/" + g.opts.PlainService + "/bookings"
	if key == "" || rng.IntN(4) != 0 {
		g.send(ctx, router, path, team, body, key, want)
		return
	}
	other := g.opts.Routers[(i+1)%len(g.opts.Routers)]
	var wg sync.WaitGroup
	wg.Go(func() { g.send(ctx, router, path, team, body, key, want) })
	wg.Go(func() { g.send(ctx, other, path, team, body, key, want) })
	wg.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.summary.Resent++
}

// send sends one request and records its outcome. want is the complete answer that the service gives to it.
func (g *Generator) send(ctx context.Context, router, path, team, body, key, want string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+router+path, strings.NewReader(body))
	if err != nil {
		return
	}
	// Without GetBody the HTTP client can't send the body a second time on its own.
	req.GetBody = nil
	g.setTeam(req, team)
	if g.opts.DeadlineMs > 0 {
		req.Header.Set(header.Deadline, fmt.Sprint(g.opts.DeadlineMs))
	}
	if key != "" {
		req.Header.Set(header.IdempotencyKey, key)
	}
	g.sent.Add(1)
	got, o := g.receive(req)
	g.countOutcome(o, got, want)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.outcomes[body] = append(g.outcomes[body], o)
}

// setTeam identifies the team that sends the request: by its bearer token, or by name when it has none.
func (g *Generator) setTeam(req *http.Request, team string) {
	i := slices.Index(g.opts.Teams, team)
	if i >= 0 && i < len(g.opts.Tokens) {
		req.Header.Set("Authorization", "Bearer "+g.opts.Tokens[i])
		return
	}
	req.Header.Set(header.Team, team)
}

// receive sends a request and returns the answer and its outcome. The outcome is unknown when the response is
// incomplete or doesn't name a valid one.
func (g *Generator) receive(req *http.Request) (string, outcome.Outcome) {
	resp, err := g.client.Do(req)
	if err != nil {
		return "", outcome.Unknown
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return string(data), outcome.Unknown
	}
	if resp.Header.Get(header.Reason) == "key_claimed" {
		g.mu.Lock()
		g.summary.KeyClaimed++
		g.mu.Unlock()
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

// countOutcome adds a request to the summary and checks its answer: a complete one must equal want, and one of unknown
// outcome or without a marked end must be a prefix of it or a JSON error.
func (g *Generator) countOutcome(o outcome.Outcome, got, want string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.summary.Requests++
	switch o {
	case outcome.Whole:
		g.summary.Whole++
		if got != want {
			g.summary.WrongAnswers++
		}
	case outcome.NotRun:
		g.summary.NotRun++
	case outcome.Failed:
		g.summary.Failed++
	case outcome.Unknown, outcome.Unmarked:
		g.summary.Unknown++
		if !strings.HasPrefix(want, got) && !strings.HasPrefix(got, "{") {
			g.summary.WrongAnswers++
		}
	}
}

// checkRuns fetches the run counts from the plain servers, and counts the bookings that ran more than once or although
// they were reported not to have run.
func (g *Generator) checkRuns(ctx context.Context) error {
	total := make(map[string]int)
	var errs []error
	for _, address := range g.opts.PlainServers {
		runs, err := g.fetchRuns(ctx, address)
		errs = append(errs, err)
		for body, n := range runs {
			total[body] += n
		}
	}
	for body, n := range total {
		if n > 1 {
			g.summary.RanTwice++
		}
		if n > 0 && g.allNotRun(body) {
			g.summary.RanAfterNotRun++
		}
	}
	return errors.Join(errs...)
}

// allNotRun reports whether every call with the given body ended with outcome.NotRun. It is false when there were none.
func (g *Generator) allNotRun(body string) bool {
	outcomes := g.outcomes[body]
	return len(outcomes) > 0 && !slices.ContainsFunc(outcomes, func(o outcome.Outcome) bool { return o != outcome.NotRun })
}

// fetchRuns returns the number of runs of each booking, by body, on one plain server.
func (g *Generator) fetchRuns(ctx context.Context, address string) (map[string]int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/runs", http.NoBody)
	if err != nil {
		return nil, err
	}
	resp, err := g.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	var runs map[string]int
	return runs, json.NewDecoder(resp.Body).Decode(&runs)
}
