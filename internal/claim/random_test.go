package claim_test

import (
	"errors"
	"flag"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/laburnumring/laburnumring/internal/claim"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Defaults of the randomised test, which flags on the command line override.
const (
	seed   = "1"
	checks = "5000"
)

func TestMain(m *testing.M) {
	flag.Parse()
	set := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.checks": checks, "rapid.nofailfile": "true"} {
		if !set[name] {
			_ = flag.Set(name, value)
		}
	}
	m.Run()
}

// TestNoKeyStartsTwice lets routers send the same keys through agents that share a log with faults.
func TestNoKeyStartsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFaulty(t)
		steps := rapid.IntRange(100, 300).Draw(t, "steps")
		for range steps {
			f.step(t)
		}
		f.heal(t)
	})
}

// heal ends all faults. Every claim must be decided and every entry settled, and a new key must start.
func (f *faulty) heal(t *rapid.T) {
	for range 2 * testMaxAge / healStep {
		f.round(t)
	}
	k := key{name: "healed", made: f.now}
	f.keys = append(f.keys, k)
	f.request(t, f.agents[0], claim.Entry{Key: k.name, KeyTime: k.made, Request: "healed", Attempt: 1})
	for range testMaxAge / healStep {
		f.round(t)
	}
	for _, a := range f.agents {
		if len(a.asked) > 0 || a.c.Pending() > 0 || a.c.Unsettled() > 0 {
			t.Fatalf("left over: %v, pending %d, unsettled %d", a.asked, a.c.Pending(), a.c.Unsettled())
		}
	}
	if f.starts[k.name] != 1 {
		t.Fatalf("a key without faults started %d times", f.starts[k.name])
	}
}

// healStep is the time that passes in one round without faults.
const healStep = 5

// round lets every agent append and read without faults.
func (f *faulty) round(t *rapid.T) {
	f.now += healStep
	for _, a := range f.agents {
		if data, ok := a.c.Batch(f.now + a.clock); ok {
			f.log.land(f.now, data)
			a.c.Appended(f.now+a.clock, true)
		}
	}
	for _, a := range f.agents {
		f.read(t, a)
		f.decide(t, a, a.c.Tick(f.now+a.clock))
	}
}

// key is one idempotency key with its time.
type key struct {
	name string
	made clock.Millis
}

// faulty is a fleet whose log loses replies, doubles, delays and reorders appends, and whose agents restart
// and stop for a while at any step.
type faulty struct {
	now    clock.Millis
	log    *fakeLog
	agents []*agent
	keys   []key
	// late holds appends whose sender was told that they failed and that take effect later.
	late [][]byte
	// starts counts the starts of each key.
	starts map[string]int
	// count numbers claims, requests and runs of agents.
	count int
}

func newFaulty(t *rapid.T) *faulty {
	f := &faulty{now: 10_000, log: &fakeLog{}, starts: make(map[string]int)}
	for range 3 {
		f.agents = append(f.agents, f.newAgent(t))
	}
	return f
}

func (f *faulty) newAgent(t *rapid.T) *agent {
	f.count++
	ahead := rapid.IntRange(-testSkew/2, testSkew/2).Draw(t, "ahead")
	return newAgent(fmt.Sprintf("agent-%d", f.count), clock.Millis(ahead))
}

func (f *faulty) step(t *rapid.T) {
	f.now += clock.Millis(rapid.SampledFrom([]int{0, 2, 2, 2, 2, 2, 5, 5, 5, 5, 5, 20, 20, 120, 300}).Draw(t, "passes"))
	i := rapid.IntRange(0, len(f.agents)-1).Draw(t, "agent")
	a := f.agents[i]
	switch rapid.SampledFrom([]string{
		"send", "send", "send", "append", "append", "append", "fetch", "read", "read", "read", "late", "withdraw",
		"tick", "outage", "restart",
	}).Draw(t, "step") {
	case "send":
		f.send(t, a)
	case "append":
		f.append(t, a)
	case "fetch":
		p := f.log.page(f.now, a.c.Next())
		a.fetched = &p
	case "read":
		f.read(t, a)
	case "late":
		f.landLate(t)
	case "withdraw":
		f.withdraw(t, a)
	case "tick":
		f.decide(t, a, a.c.Tick(f.now+a.clock))
	case "outage":
		a.c.Unreachable()
	case "restart":
		f.agents[i] = f.newAgent(t)
	}
}

// send is a caller's submission of a key, old or new, through any router.
func (f *faulty) send(t *rapid.T, a *agent) {
	if len(f.keys) == 0 || rapid.IntRange(0, 9).Draw(t, "fresh") == 0 {
		f.keys = append(f.keys, key{name: fmt.Sprintf("key-%d", len(f.keys)), made: f.now})
	}
	keys := f.keys
	if rapid.IntRange(0, 3).Draw(t, "recent") > 0 {
		keys = keys[max(0, len(keys)-2):]
	}
	k := rapid.SampledFrom(keys).Draw(t, "key")
	f.count++
	f.request(t, a, claim.Entry{
		Key: k.name, KeyTime: k.made, Request: fmt.Sprintf("request-%d", f.count), Attempt: 1,
	})
}

func (f *faulty) request(t *rapid.T, a *agent, e claim.Entry) {
	f.count++
	e.ID = fmt.Sprintf("claim-%d", f.count)
	if err := a.c.Request(f.now+a.clock, e); err != nil {
		f.refused(t, e, err)
		return
	}
	a.asked[e.ID] = e
}

// append takes a batch to the log, which may lose, delay or double it.
func (f *faulty) append(t *rapid.T, a *agent) {
	data, ok := a.c.Batch(f.now + a.clock)
	if !ok {
		return
	}
	fate := rapid.SampledFrom([]string{"ok", "ok", "ok", "reply lost", "lost", "late", "doubled"}).Draw(t, "fate")
	if fate == "ok" || fate == "reply lost" || fate == "doubled" {
		f.log.land(f.now, data)
	}
	if fate == "doubled" || fate == "late" {
		f.late = append(f.late, data)
	}
	a.c.Appended(f.now+a.clock, fate == "ok" || fate == "doubled")
}

func (f *faulty) landLate(t *rapid.T) {
	if len(f.late) == 0 {
		return
	}
	i := rapid.IntRange(0, len(f.late)-1).Draw(t, "late")
	f.log.land(f.now, f.late[i])
	f.late = slices.Delete(f.late, i, i+1)
}

// read applies a page, which may have been fetched before a pause.
func (f *faulty) read(t *rapid.T, a *agent) {
	p := f.log.page(f.now, a.c.Next())
	if a.fetched != nil {
		p = *a.fetched
		a.fetched = nil
	}
	f.decide(t, a, a.c.Page(f.now+a.clock, p).Decisions)
}

func (f *faulty) decide(t *rapid.T, a *agent, ds []claim.Decision) {
	for _, d := range ds {
		e, ok := a.asked[d.ID]
		if !ok {
			t.Fatalf("claim %s was decided after it was given up", d.ID)
		}
		delete(a.asked, d.ID)
		if d.Err != nil {
			f.refused(t, e, d.Err)
			continue
		}
		f.starts[e.Key]++
		if f.starts[e.Key] > 1 {
			t.Fatalf("key %s started %d times", e.Key, f.starts[e.Key])
		}
	}
}

// withdraw is a router that takes back a request that has not started.
func (f *faulty) withdraw(t *rapid.T, a *agent) {
	if len(a.asked) == 0 {
		return
	}
	ids := make([]string, 0, len(a.asked))
	for id := range a.asked {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	e := a.asked[rapid.SampledFrom(ids).Draw(t, "claim")]
	delete(a.asked, e.ID)
	a.c.Release(e)
	f.again(t, e)
}

// refused is a router that learns that a claim did not start.
func (f *faulty) refused(t *rapid.T, e claim.Entry, err error) {
	var refused *claim.RefusedError
	if !errors.As(err, &refused) {
		t.Fatalf("unexpected error %v", err)
	}
	if refused.NeverStarted() {
		f.again(t, e)
	}
}

// again may try a request that did not start at another agent.
func (f *faulty) again(t *rapid.T, e claim.Entry) {
	if e.Attempt >= 3 || !rapid.Bool().Draw(t, "again") {
		return
	}
	e.Attempt++
	f.request(t, rapid.SampledFrom(f.agents).Draw(t, "next agent"), e)
}
