package slopes

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/laburnumring/laburnumring/internal/fleet"
	"github.com/laburnumring/laburnumring/internal/standin/engine"
	"github.com/laburnumring/laburnumring/pkg/header"
)

// drive is a steady stream of requests.
type drive struct {
	// routers are the addresses that get requests in turn.
	routers []string
	// teams is how many teams call in turn.
	teams int
	// rate is how many requests are sent a second; none when zero.
	rate float64
	// tokens is the length of each answer; a plain call is made when zero.
	tokens int
	// keyed gives each plain call an idempotency key.
	keyed bool
	// deadline is each request's deadline.
	deadline time.Duration
}

const defaultDeadline = 20 * time.Second

// run sends requests until ctx ends, waits for their answers and returns how many were whole.
func (d drive) run(ctx context.Context) int64 {
	if d.rate == 0 {
		<-ctx.Done()
		return 0
	}
	if d.deadline == 0 {
		d.deadline = defaultDeadline
	}
	hc := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
	defer hc.CloseIdleConnections()
	t := time.NewTicker(time.Duration(float64(time.Second) / d.rate))
	defer t.Stop()
	var wg sync.WaitGroup
	var whole atomic.Int64
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			wg.Wait()
			return whole.Load()
		case <-t.C:
		}
		wg.Go(func() {
			if d.send(hc, i) {
				whole.Add(1)
			}
		})
	}
}

// send sends the i-th request and reports whether its answer was whole.
func (d drive) send(hc *http.Client, i int) bool {
	path := "/v1/services/" + fleet.PlainService + "/call"
	body := fmt.Appendf(nil, "call %d", i)
	if d.tokens > 0 {
		path = "/v1/services/" + fleet.ModelService
		body, _ = json.Marshal(engine.Prompt{Text: fmt.Sprintf("prompt %d", i), MaxTokens: d.tokens})
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+d.routers[i%len(d.routers)]+path, bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set(header.Team, fmt.Sprintf("team-%d", i%d.teams+1))
	req.Header.Set(header.Deadline, fmt.Sprint(d.deadline.Milliseconds()))
	if d.keyed {
		req.Header.Set(header.IdempotencyKey, uuid.Must(uuid.NewV7()).String())
	}
	resp, err := hc.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}
