package dispatch_test

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/board"
	"github.com/laburnumring/laburnumring/internal/dispatch"
	"github.com/laburnumring/laburnumring/internal/suspect"
	"github.com/laburnumring/laburnumring/internal/ticket"
	"github.com/laburnumring/laburnumring/pkg/clock"
	"github.com/laburnumring/laburnumring/pkg/outcome"
	"github.com/laburnumring/laburnumring/pkg/place"
	"github.com/laburnumring/laburnumring/pkg/retry"
	"github.com/laburnumring/laburnumring/pkg/server"
	"github.com/laburnumring/laburnumring/pkg/service"
	"github.com/laburnumring/laburnumring/pkg/site"
	"github.com/laburnumring/laburnumring/pkg/team"
)

// firstTwo is a placement that takes the first two agents.
type firstTwo struct{}

func (firstTwo) Choose(targets []laburnumring.Target) []string {
	var out []string
	for _, t := range targets[:min(2, len(targets))] {
		out = append(out, t.Server)
	}
	return out
}

// bench drives one controller by the commands of a table.
type bench struct {
	c        *dispatch.Controller
	suspects *suspect.List
	now      clock.Millis
	// binds counts the attempts that were bound.
	binds int
}

func newBench(t *testing.T, d *datadriven.TestData) *bench {
	t.Helper()
	limit, servers := 4, 3
	d.MaybeScanArgs(t, "queue_limit", &limit)
	d.MaybeScanArgs(t, "servers", &servers)
	st := site.New("test")
	st.AddTeams(team.New("a", team.Options{}))
	st.AddServices(service.New("pool", service.Options{
		QueueLimit: limit, Retry: retry.New(retry.Options{MaxAttempts: 3, BudgetPercent: 20}),
	}))
	st.AddPlaces(place.New("here", "north"))
	b := board.New()
	for i := range servers {
		name := fmt.Sprintf("s%d", i+1)
		st.AddServers(server.New(name, server.Options{Service: "pool", Place: "here"}))
		b.SetPeer(board.Peer{Server: name, Service: "pool", State: board.Ready, Slots: 2})
	}
	b.SetSite(st, 1)
	l := suspect.New(suspect.Options{})
	return &bench{suspects: l, c: dispatch.New(dispatch.Options{Board: b, Placement: firstTwo{}, Suspects: l})}
}

func (b *bench) print(actions []dispatch.Action) string {
	var out strings.Builder
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.Leave:
			fmt.Fprintf(&out, "leave %s.%d with %s\n", a.Ticket.Request, a.Ticket.Attempt, a.Server)
		case dispatch.Withdraw:
			fmt.Fprintf(&out, "withdraw %s from %s\n", a.Request, a.Server)
		case dispatch.Decline:
			fmt.Fprintf(&out, "decline %s of %s\n", a.Offer, a.Server)
		case dispatch.Bind:
			b.binds++
			fmt.Fprintf(&out, "bind %s.%d to %s\n", a.Request, a.Attempt, a.Server)
		case dispatch.Abort:
			fmt.Fprintf(&out, "abort %s: %s\n", a.Request, a.Reason)
		case dispatch.Finish:
			fmt.Fprintf(&out, "finish %s: %s %s, retry after %d ms\n", a.Request, a.Outcome, a.Reason, a.RetryAfter)
		}
	}
	return out.String()
}

func (b *bench) submit(id string, once bool, deadline clock.Millis) ([]dispatch.Action, error) {
	return b.c.Submit(b.now, dispatch.Request{
		ID: id, Team: "a", Service: "pool", Cost: 1, Deadline: b.now + deadline, Repeatable: !once, Fingerprint: 7,
	})
}

func (b *bench) offer(server, id string, attempt int) []dispatch.Action {
	return b.c.Offer(b.now, server, ticket.Offer{ID: "o-" + server, Request: id, Attempt: attempt})
}

// TestDispatch plays the tables of refusals and retries.
func TestDispatch(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var b *bench
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "new" {
				b = newBench(t, d)
				return ""
			}
			return b.command(t, d)
		})
	})
}

// command runs one command; its first arguments are a request's id, a server and an attempt, as it needs them.
func (b *bench) command(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	var args []string
	for _, a := range d.CmdArgs {
		if len(a.Vals) == 0 {
			args = append(args, a.Key)
		}
	}
	attempt, deadline, ms := 1, 10_000, 0
	d.MaybeScanArgs(t, "attempt", &attempt)
	d.MaybeScanArgs(t, "deadline", &deadline)
	d.MaybeScanArgs(t, "ms", &ms)
	switch d.Cmd {
	case "submit":
		actions, err := b.submit(args[0], slices.Contains(args, "once"), clock.Millis(deadline))
		var refused *dispatch.NotRunError
		if errors.As(err, &refused) {
			return err.Error() + "\n"
		}
		return b.print(actions)
	case "offer":
		return b.print(b.offer(args[1], args[0], attempt))
	case "ended":
		delivered := 0
		d.MaybeScanArgs(t, "delivered", &delivered)
		return b.print(b.c.AttemptEnded(b.now, args[0], attempt, dispatch.Result{
			Outcome: outcome.Outcome(args[1]), Reason: "reason", Delivered: int64(delivered), Final: slices.Contains(args, "final"),
		}))
	case "fail":
		_, _ = b.submit(args[0], false, clock.Second)
		b.offer(args[1], args[0], 1)
		b.c.AttemptEnded(b.now, args[0], 1, dispatch.Result{Outcome: outcome.Failed})
		return ""
	case "free":
		return b.print(b.c.Free(b.now, args[0], 1))
	case "refused":
		b.c.TicketRefused(b.now, args[1], args[0])
		return ""
	case "lost":
		return b.print(b.c.AgentLost(b.now, args[0]))
	case "cancel":
		return b.print(b.c.Cancel(b.now, args[0]))
	case "poison":
		b.suspects.RecordCrash(b.now, 7, true)
		return b.print(b.c.SuspectsChanged(b.now, 7))
	case "wait":
		b.now += clock.Millis(ms)
		return b.print(b.c.Tick(b.now))
	}
	return "unknown command\n"
}

// TestRetryStorm lets every attempt of many requests end without a result, as at a total outage: retries add at
// most the budget to the first tries.
func TestRetryStorm(t *testing.T) {
	const (
		requests = 1000
		most     = requests + requests*20/100 + 3
	)
	b := newBench(t, &datadriven.TestData{})
	for i := range requests {
		id := fmt.Sprintf("r%d", i)
		if _, err := b.submit(id, false, clock.Minute); err != nil {
			t.Fatal(err)
		}
		for attempt := 1; b.c.Len() > 0; attempt++ {
			b.print(b.offer("s1", id, attempt))
			b.c.AttemptEnded(b.now, id, attempt, dispatch.Result{Outcome: outcome.Unknown})
		}
	}
	if b.binds > most || b.binds < requests {
		t.Errorf("%d attempts for %d requests, at most %d are allowed", b.binds, requests, most)
	}
}

// TestRefusalStorm lets agents refuse every attempt at once: each request ends after a bounded number of them,
// and they do not follow each other without a pause.
func TestRefusalStorm(t *testing.T) {
	b := newBench(t, &datadriven.TestData{})
	if _, err := b.submit("r", false, clock.Minute); err != nil {
		t.Fatal(err)
	}
	for attempt := 1; b.c.Len() > 0; attempt++ {
		if attempt > 100 {
			t.Fatal("the request is tried for ever")
		}
		b.print(b.offer("s1", "r", attempt))
		b.c.AttemptEnded(b.now, "r", attempt, dispatch.Result{Outcome: outcome.NotRun})
		for waited := clock.Millis(0); b.c.Len() > 0 && waited < clock.Second; waited += 10 {
			b.now += 10
			b.c.Tick(b.now)
		}
	}
	if b.now < 2*clock.Second {
		t.Errorf("%d attempts in %d ms", b.binds, b.now)
	}
}
