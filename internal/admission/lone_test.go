package admission_test

import (
	"fmt"
	"testing"

	"github.com/laburnumring/laburnumring/internal/admission"
	"github.com/laburnumring/laburnumring/internal/share"
	"github.com/laburnumring/laburnumring/internal/suspect"
	"github.com/laburnumring/laburnumring/internal/ticket"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

const (
	slots = 2
	// suspectFingerprint is the fingerprint of the suspected request.
	suspectFingerprint = 666
	// pollInterval is the time between two calls of the controller.
	pollInterval = 10 * clock.Millis(1)
)

// harness is one agent with a standing backlog.
type harness struct {
	t        *testing.T
	c        *admission.Controller
	suspects *suspect.List
	now      clock.Millis
	count    int
	// running holds the end of each run, by offer.
	running map[string]clock.Millis
	// isolated is the suspected request's offer while it runs.
	isolated string
	// suspectRuns is the number of runs of suspected requests, and otherRuns that of all others.
	suspectRuns int
	otherRuns   int
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	suspects := suspect.New(suspect.Options{})
	suspects.RecordCrash(0, suspectFingerprint, false)
	return &harness{t: t, suspects: suspects, running: make(map[string]clock.Millis), c: admission.New(admission.Options{
		Incarnation: "i", Slots: slots, Suspects: suspects, Order: share.NewLocal(func(string) int64 { return 1 }),
	})}
}

func (h *harness) addTicket(fingerprint uint64) {
	h.count++
	h.c.AddTicket(h.now, "r", ticket.Ticket{
		Request: fmt.Sprintf("%d.%d", fingerprint, h.count), Attempt: 1, Team: "a", Cost: 1,
		Remaining: clock.Minute, Fingerprint: fingerprint,
	})
}

// advance lets d pass. Each run takes runTime, and there are always other requests waiting.
func (h *harness) advance(d, runTime clock.Millis) {
	h.t.Helper()
	for end := h.now + d; h.now < end; h.now += pollInterval {
		for id, at := range h.running {
			if h.now >= at {
				delete(h.running, id)
				h.c.End(h.now, id, 1)
				if id == h.isolated {
					h.isolated = ""
				}
			}
		}
		for h.c.Waiting() < 2*slots {
			h.addTicket(1)
		}
		h.c.Tick(h.now)
		for _, o := range h.c.MakeOffers(h.now) {
			h.start(o, runTime)
		}
		if h.isolated != "" && len(h.running) != 1 {
			h.t.Fatalf("%d other requests run together with a suspected one", len(h.running)-1)
		}
	}
}

func (h *harness) start(o ticket.Offer, runTime clock.Millis) {
	h.t.Helper()
	m := ticket.Start{Offer: o.ID, Router: o.Router, Request: o.Request, Attempt: o.Attempt, Remaining: clock.Minute}
	if err := h.c.Accept(h.now, m); err != nil {
		h.t.Fatal(err)
	}
	if err := h.c.Start(h.now, o.ID); err != nil {
		h.t.Fatal(err)
	}
	h.running[o.ID] = h.now + runTime
	if h.c.Isolated(o.ID) {
		h.isolated = o.ID
		h.suspectRuns++
		return
	}
	h.otherRuns++
}

// TestSuspectsTakeTurnsWithOthers shares one server between suspected requests and a standing backlog. A suspected
// request must run isolated within a second, and a flood of them must leave half of the server's capacity to the
// others.
func TestSuspectsTakeTurnsWithOthers(t *testing.T) {
	h := newHarness(t)
	h.advance(clock.Second, 100)
	h.addTicket(suspectFingerprint)
	h.advance(clock.Second, 100)
	if h.suspectRuns != 1 {
		t.Errorf("the suspected request ran %d times in a second, want 1", h.suspectRuns)
	}
	before := h.otherRuns
	for range 20 {
		h.addTicket(suspectFingerprint)
	}
	h.advance(20*clock.Second, 100)
	if least := slots * 20 * 10 / 2; h.otherRuns-before < least {
		t.Errorf("%d other requests ran during a flood of suspected ones, want at least %d", h.otherRuns-before, least)
	}
	if h.suspectRuns < 3 {
		t.Errorf("suspected requests ran %d times, want at least 3", h.suspectRuns)
	}
}

// TestReservationForSuspectIsBounded lets a suspected request wait for a server that long runs keep busy. The
// reservation must time out, so that the others still use half of the capacity.
func TestReservationForSuspectIsBounded(t *testing.T) {
	h := newHarness(t)
	h.advance(30, 10*clock.Second)
	h.c.SetLimit(slots)
	h.addTicket(suspectFingerprint)
	before := h.otherRuns
	h.advance(60*clock.Second, 3*clock.Second)
	if least := 60 / 3 * slots / 2; h.otherRuns-before < least {
		t.Errorf("%d other requests ran, want at least %d", h.otherRuns-before, least)
	}
}

// TestSuspicionAfterTicketOrOffer checks that an offer is refused when its request has become suspected, and that
// tickets of confirmed requests are removed and refused.
func TestSuspicionAfterTicketOrOffer(t *testing.T) {
	h := newHarness(t)
	h.addTicket(1)
	h.addTicket(2)
	offers := h.c.MakeOffers(h.now)
	h.suspects.RecordCrash(h.now, 2, false)
	h.start(offers[0], clock.Second)
	m := ticket.Start{Offer: offers[1].ID, Router: "r", Request: offers[1].Request, Attempt: 1, Remaining: clock.Minute}
	if err := h.c.Accept(h.now, m); err != nil {
		t.Fatal(err)
	}
	if err := h.c.Start(h.now, m.Offer); err == nil || h.c.WithdrawOffer(h.now, m.Offer) != admission.Withdrawn {
		t.Errorf("a suspected request started while another ran: %v", err)
	}
	h.addTicket(suspectFingerprint)
	h.suspects.RecordCrash(h.now, suspectFingerprint, true)
	h.c.SuspectsChanged(h.now)
	if h.c.Waiting() != 0 {
		t.Error("the ticket of a confirmed request was kept")
	}
	h.addTicket(suspectFingerprint)
	if h.c.Waiting() != 0 {
		t.Error("the ticket of a confirmed request was accepted")
	}
}
