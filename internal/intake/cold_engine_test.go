package intake_test

import (
	"fmt"
	"testing"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/intake"
	"github.com/laburnumring/laburnumring/internal/routing"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// coldEngines is a router on its own with two engines, of which the first is cold and empty.
type coldEngines struct {
	c       *intake.Controller
	now     clock.Millis
	id      int64
	written int64
	// cold is set while the first engine is cold; coldMs and warmMs are how long first events take.
	cold           bool
	coldMs, warmMs clock.Millis
}

func newColdEngines() *coldEngines {
	e := &coldEngines{c: intake.New(coldOptions()), now: 10_000, coldMs: 250, warmMs: 100}
	e.c.Configure(routing.New(routing.Options{Version: 1, Services: []routing.Service{
		{Name: "llm", IsEngine: true, Slots: 64, ColdTime: 60_000, ColdPerSecond: 13},
	}}))
	e.c.Report(1)
	e.list(60_000)
	return e
}

// list lists both engines; the first is cold for the given time.
func (e *coldEngines) list(left clock.Millis) {
	e.written++
	e.cold = left > 0
	var list []laburnumring.ServerEntry
	for i, cold := range []clock.Millis{left, 0} {
		list = append(list, laburnumring.ServerEntry{
			ID: fmt.Sprint("e", i), Service: "llm", Address: fmt.Sprint("e", i), Place: "a", Slots: 64,
			State: laburnumring.ServerReady, ColdLeft: cold, Written: e.written,
		})
	}
	e.c.UpdateCold(e.now, list)
	e.c.SetServers(list)
}

// send sends a prompt with the given shared part, if any. It returns the server and the expected time to its first event.
func (e *coldEngines) send(shared string) (server string, expected int64) {
	e.id++
	own := laburnumring.PromptPart{ID: fmt.Sprint("own", e.id), Tokens: 1000}
	r := intake.Request{
		ID: e.id, Team: "t", Service: "llm", PromptTokens: 1000, OutputTokens: 10, Parts: []laburnumring.PromptPart{own},
		Arrived: e.now, Goal: 2000, Deadline: e.now + 20_000,
	}
	if shared != "" {
		r.PromptTokens += 3000
		r.Parts = []laburnumring.PromptPart{{ID: shared, Tokens: 3000}, own}
	}
	d, ok := e.c.Submit(e.now, r)
	if !ok || d.Refusal != nil {
		e.c.Withdraw(r.ID)
		return "", 0
	}
	took := e.warmMs
	if d.Server.ID == "e0" && e.cold {
		took = e.coldMs
	}
	e.c.Started(e.now+took, r.ID)
	e.now += took
	e.c.Ended(e.now, r.ID, intake.Whole)
	return d.Server.ID, d.Basis.Expected
}

// TestColdEngineIsForPartsItHolds sends prompts with and without shared parts while one engine is cold. Its few requests
// must go to prompts whose shared part has it for its primary server, while another engine has room for the rest.
func TestColdEngineIsForPartsItHolds(t *testing.T) {
	e := newColdEngines()
	// The cold engine would be the better one by the predicted time.
	e.coldMs, e.warmMs = 100, 300
	home := make(map[string]int)
	for n := range 60 {
		if server, _ := e.send(""); server == "e0" {
			t.Fatal("a prompt without shared parts went to the cold engine")
		}
		server, _ := e.send(fmt.Sprint("part", n%8))
		home[server]++
	}
	if home["e0"] == 0 {
		t.Errorf("prompts with shared parts went to %v, want some at the cold engine", home)
	}
}

// TestColdEngineIsExpectedToBeSlow has first events at a cold engine take two and a half times as long as at a warm one. The next
// time that it is cold, it must be expected to be slow before a request was sent to it, and as fast as before when warm.
func TestColdEngineIsExpectedToBeSlow(t *testing.T) {
	e := newColdEngines()
	at := func(want string) int64 {
		for range 400 {
			// No engine has cached the part.
			if server, expected := e.send(fmt.Sprint("part", e.id)); server == want {
				return expected
			}
		}
		t.Fatalf("no prompt went to %s", want)
		return 0
	}
	first := at("e0")
	for range 5 {
		at("e0")
	}
	e.now += 5000
	e.list(0)
	warm := at("e0")
	if warm > 2*first {
		t.Errorf("%d ms expected at the warm engine, %d before any observation", warm, first)
	}
	e.now += 5000
	e.list(60_000)
	e.now += 2000
	if cold := at("e0"); cold < 2*warm {
		t.Errorf("%d ms expected at the engine that is cold again, %d while it was warm", cold, warm)
	}
}
