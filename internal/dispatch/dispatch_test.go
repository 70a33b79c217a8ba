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

// firstTwo is a placement that chooses the first two agents.
type firstTwo struct{}

func (firstTwo) Choose(targets []laburnumring.Target) []string {
	var out []string
	for _, t := range targets[:min(2, len(targets))] {
		out = append(out, t.Server)
	}
	return out
}

// harness runs a script's commands against one controller.
type harness struct {
	c        *dispatch.Controller
	suspects *suspect.List
	now      clock.Millis
	// binds is the number of attempts that were bound.
	binds int
}

func newHarness(t *testing.T, d *datadriven.TestData) *harness {
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
	suspects := suspect.New(suspect.Options{})
	return &harness{suspects: suspects, c: dispatch.New(dispatch.Options{Board: b, Placement: firstTwo{}, Suspects: suspects})}
}

func (h *harness) print(actions []dispatch.Action) string {
	var out strings.Builder
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.SendTicket:
			fmt.Fprintf(&out, "leave %s.%d with %s\n", a.Ticket.Request, a.Ticket.Attempt, a.Server)
		case dispatch.WithdrawTicket:
			fmt.Fprintf(&out, "withdraw %s from %s\n", a.Request, a.Server)
		case dispatch.DeclineOffer:
			fmt.Fprintf(&out, "decline %s of %s\n", a.Offer, a.Server)
		case dispatch.Bind:
			h.binds++
			fmt.Fprintf(&out, "bind %s.%d to %s\n", a.Request, a.Attempt, a.Server)
		case dispatch.Abort:
			fmt.Fprintf(&out, "abort %s: %s\n", a.Request, a.Reason)
		case dispatch.Finish:
			fmt.Fprintf(&out, "finish %s: %s %s, retry after %d ms\n", a.Request, a.Outcome, a.Reason, a.RetryAfter)
		}
	}
	return out.String()
}

func (h *harness) submit(id string, once bool, deadline clock.Millis) ([]dispatch.Action, error) {
	return h.c.Submit(h.now, dispatch.Request{
		ID: id, Team: "a", Service: "pool", Cost: 1, Deadline: h.now + deadline, Repeatable: !once, Fingerprint: 7,
	})
}

func (h *harness) offer(server, id string, attempt int) []dispatch.Action {
	return h.c.Offer(h.now, server, ticket.Offer{ID: "o-" + server, Request: id, Attempt: attempt})
}

// TestDispatchScripts runs the scripts in testdata on refusals and retries.
func TestDispatchScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var h *harness
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "new" {
				h = newHarness(t, d)
				return ""
			}
			return h.runCommand(t, d)
		})
	})
}

// runCommand runs one command. Its arguments without a value are a request id, a server and a result, as the command
// needs them.
func (h *harness) runCommand(t *testing.T, d *datadriven.TestData) string {
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
		actions, err := h.submit(args[0], slices.Contains(args, "once"), clock.Millis(deadline))
		var refused *dispatch.NotRunError
		if errors.As(err, &refused) {
			return err.Error() + "\n"
		}
		return h.print(actions)
	case "offer":
		return h.print(h.offer(args[1], args[0], attempt))
	case "ended":
		delivered := 0
		d.MaybeScanArgs(t, "delivered", &delivered)
		return h.print(h.c.AttemptEnded(h.now, args[0], attempt, dispatch.Result{
			Outcome: outcome.Outcome(args[1]), Reason: "reason", Delivered: int64(delivered), Final: slices.Contains(args, "final"),
		}))
	case "fail":
		_, _ = h.submit(args[0], false, clock.Second)
		h.offer(args[1], args[0], 1)
		h.c.AttemptEnded(h.now, args[0], 1, dispatch.Result{Outcome: outcome.Failed})
		return ""
	case "free":
		return h.print(h.c.AgentIdle(h.now, args[0], 1))
	case "refused":
		h.c.TicketRefused(h.now, args[1], args[0])
		return ""
	case "lost":
		return h.print(h.c.AgentLost(h.now, args[0]))
	case "cancel":
		return h.print(h.c.Cancel(h.now, args[0]))
	case "poison":
		h.suspects.RecordCrash(h.now, 7, true)
		return h.print(h.c.SuspectsChanged(h.now, 7))
	case "wait":
		h.now += clock.Millis(ms)
		return h.print(h.c.Tick(h.now))
	}
	return "unknown command\n"
}

// TestRetriesStayWithinBudget lets every attempt of 1000 requests end without a result, as in a total outage, and
// checks that retries add no more attempts than the budget allows.
func TestRetriesStayWithinBudget(t *testing.T) {
	const (
		requests    = 1000
		maxAttempts = requests + requests*20/100 + 3
	)
	h := newHarness(t, &datadriven.TestData{})
	for i := range requests {
		id := fmt.Sprintf("r%d", i)
		if _, err := h.submit(id, false, clock.Minute); err != nil {
			t.Fatal(err)
		}
		for attempt := 1; h.c.Len() > 0; attempt++ {
			h.print(h.offer("s1", id, attempt))
			h.c.AttemptEnded(h.now, id, attempt, dispatch.Result{Outcome: outcome.Unknown})
		}
	}
	if h.binds > maxAttempts || h.binds < requests {
		t.Errorf("%d attempts for %d requests, at most %d allowed", h.binds, requests, maxAttempts)
	}
}

// TestRefusedAttemptsAreLimitedAndSpaced lets agents refuse every attempt at once. It guards against a request that
// is tried without end, and against attempts that follow each other without a pause.
func TestRefusedAttemptsAreLimitedAndSpaced(t *testing.T) {
	h := newHarness(t, &datadriven.TestData{})
	if _, err := h.submit("r", false, clock.Minute); err != nil {
		t.Fatal(err)
	}
	for attempt := 1; h.c.Len() > 0; attempt++ {
		if attempt > 100 {
			t.Fatal("the request still has attempts after 100 refusals")
		}
		h.print(h.offer("s1", "r", attempt))
		h.c.AttemptEnded(h.now, "r", attempt, dispatch.Result{Outcome: outcome.NotRun})
		for waited := clock.Millis(0); h.c.Len() > 0 && waited < clock.Second; waited += 10 {
			h.now += 10
			h.c.Tick(h.now)
		}
	}
	if h.now < 2*clock.Second {
		t.Errorf("%d attempts in %d ms", h.binds, h.now)
	}
}
