package router_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/laburnumring/laburnumring/internal/standin/engine"
	"github.com/laburnumring/laburnumring/pkg/header"
)

// awaitSuspect waits until every router knows of one suspect.
func (f *fleet) awaitSuspect(t *testing.T) {
	t.Helper()
	for _, r := range f.routers {
		for !strings.Contains(scrape(t, r.URL), "laburnumring_router_suspects 1") {
			continue
		}
	}
}

func scrape(t *testing.T, url string) string {
	t.Helper()
	resp, err := http.Get(url + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// TestPoison repeatedly sends a request that crashes its server, through all routers in turn. Each case prints
// the results that the caller got and the number of servers that crashed.
func TestPoison(t *testing.T) {
	datadriven.RunTest(t, "testdata/poison", func(t *testing.T, d *datadriven.TestData) string {
		var tries int
		d.ScanArgs(t, "tries", &tries)
		f := newFleet(t, fleetOptions{servers: 5, routers: 3})
		body, err := json.Marshal(engine.Prompt{Text: engine.CrashMark, MaxTokens: 1})
		if err != nil {
			t.Fatal(err)
		}
		var out strings.Builder
		for i := range tries {
			r := f.call(t, i%len(f.routers), string(body), header.Repeatable, fmt.Sprint(!d.HasArg("once")))
			fmt.Fprintf(&out, "%s %s, has Retry-After: %v\n",
				r.header.Get(header.Outcome), r.header.Get(header.Reason), r.header.Get("Retry-After") != "")
			f.awaitSuspect(t)
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		fmt.Fprintf(&out, "servers crashed: %d\n", f.crashes)
		return out.String()
	})
}

// TestPoisonSparesOtherRequests runs other requests at the same time as one that crashes servers. All of them
// must get complete answers, and so must the same requests when they are sent again.
func TestPoisonSparesOtherRequests(t *testing.T) {
	const others = 12
	f := newFleet(t, fleetOptions{servers: 5, routers: 3})
	prompts := make([]engine.Prompt, others)
	run := func(i int) {
		prompts[i] = engine.Prompt{Text: fmt.Sprintf("innocent %d", i), MaxTokens: 200}
		body, err := json.Marshal(prompts[i])
		if err != nil {
			t.Error(err)
			return
		}
		r := f.call(t, i%len(f.routers), string(body))
		if got := describe(r, engine.Answer(prompts[i])); got != "complete and correct\n" {
			t.Errorf("request %d: %s %s", i, r.header.Get(header.Reason), got)
		}
	}
	poison, err := json.Marshal(engine.Prompt{Text: engine.CrashMark, MaxTokens: 1})
	if err != nil {
		t.Fatal(err)
	}
	for range 2 {
		var wg sync.WaitGroup
		for i := range others {
			wg.Go(func() { run(i) })
		}
		wg.Go(func() { f.call(t, 0, string(poison)) })
		wg.Wait()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.crashes > 2 {
		t.Errorf("%d servers crashed, want at most 2", f.crashes)
	}
}
