package measure

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/laburnumring/laburnumring/internal/backend"
	"github.com/laburnumring/laburnumring/internal/standin/engine"
	"github.com/laburnumring/laburnumring/pkg/header"
)

// load sends arrivals at their times, whatever the answers.
type load struct {
	c     *Cluster
	truth *Truth
	hc    *http.Client
	// sending owns the goroutines of the callers.
	sending sync.WaitGroup
}

const (
	idlePerRouter = 1024
	// requestDeadline is how long a caller waits.
	requestDeadline = 6 * time.Second
)

func newLoad(c *Cluster, t *Truth) *load {
	return &load{c: c, truth: t, hc: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idlePerRouter}}}
}

// run sends all arrivals and returns at the end of ctx, with no caller left.
func (l *load) run(ctx context.Context, start time.Time, arrivals []Arrival) {
	for i, a := range arrivals {
		if !sleepUntil(ctx, start.Add(a.At)) {
			break
		}
		l.sending.Go(func() { l.send(ctx, i, a) })
	}
	<-ctx.Done()
	l.sending.Wait()
	l.hc.CloseIdleConnections()
}

func (l *load) send(ctx context.Context, i int, a Arrival) {
	p := engine.Prompt{Text: fmt.Sprintf("%s %d", a.Team, i), MaxTokens: a.Tokens}
	body, _ := json.Marshal(p)
	url := "http://" + l.c.routerNodes[a.Router] + "/v1/services/" + l.c.o.Site.modelService
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return
	}
	req.GetBody = nil
	req.Header.Set(header.Team, a.Team)
	req.Header.Set(header.CostHint, strconv.Itoa(a.Hint))
	req.Header.Set(header.Deadline, strconv.FormatInt(requestDeadline.Milliseconds(), 10))
	l.truth.Submitted(time.Now(), a.Team, p.Text)
	resp, err := l.hc.Do(req)
	if err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	l.truth.Finished(time.Now(), p.Text)
}

// unseen keeps a share of each engine's slots busy with requests that no agent knows of.
func (l *load) unseen(ctx context.Context, start time.Time, of func(time.Duration) float64) {
	var wg sync.WaitGroup
	for _, s := range l.c.site.ServersOf(l.c.o.Site.modelService) {
		for i := range slots {
			wg.Go(func() { l.occupy(ctx, start, s.Address(), i, of) })
		}
	}
	wg.Wait()
}

// occupy runs one request after another on an engine while the older system's share reaches its i-th slot.
func (l *load) occupy(ctx context.Context, start time.Time, address string, i int, of func(time.Duration) float64) {
	body, _ := json.Marshal(engine.Prompt{Text: unseenTeam, MaxTokens: meanTokens})
	for ctx.Err() == nil && float64(i) < slots*of(time.Since(start)) {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+backend.GeneratePath, bytes.NewReader(body))
		if err != nil {
			return
		}
		resp, err := l.hc.Do(req)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
