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
	// poison is the fingerprint of the suspected request.
	poison = 666
	// step is the time between two looks at the controller.
	step = 10 * clock.Millis(1)
)

// site is one agent under a standing backlog.
type site struct {
	t        *testing.T
	c        *admission.Controller
	suspects *suspect.List
	now      clock.Millis
	count    int
	// running holds the end of each run, by offer.
	running map[string]clock.Millis
	// alone names the suspected request's offer while it runs.
	alone string
	// ran counts the suspected runs and others all the rest.
	ran    int
	others int
}

func newSite(t *testing.T) *site {
	t.Helper()
	l := suspect.New(suspect.Options{})
	l.RecordCrash(0, poison, false)
	return &site{t: t, suspects: l, running: make(map[string]clock.Millis), c: admission.New(admission.Options{
		Incarnation: "i", Slots: slots, Suspects: l, Order: share.NewLocal(func(string) int64 { return 1 }),
	})}
}

func (s *site) leave(fingerprint uint64) {
	s.count++
	s.c.Leave(s.now, "r", ticket.Ticket{
		Request: fmt.Sprintf("%d.%d", fingerprint, s.count), Attempt: 1, Team: "a", Cost: 1,
		Remaining: clock.Minute, Fingerprint: fingerprint,
	})
}

// advance lets d pass; every run takes span, and there is always other work.
func (s *site) advance(d, span clock.Millis) {
	s.t.Helper()
	for end := s.now + d; s.now < end; s.now += step {
		for id, at := range s.running {
			if s.now >= at {
				delete(s.running, id)
				s.c.End(s.now, id, 1)
				if id == s.alone {
					s.alone = ""
				}
			}
		}
		for s.c.Waiting() < 2*slots {
			s.leave(1)
		}
		s.c.Tick(s.now)
		for _, o := range s.c.Fill(s.now) {
			s.start(o, span)
		}
		if s.alone != "" && len(s.running) != 1 {
			s.t.Fatalf("%d requests run beside a suspected one", len(s.running)-1)
		}
	}
}

func (s *site) start(o ticket.Offer, span clock.Millis) {
	s.t.Helper()
	m := ticket.Start{Offer: o.ID, Router: o.Router, Request: o.Request, Attempt: o.Attempt, Remaining: clock.Minute}
	if err := s.c.Accept(s.now, m); err != nil {
		s.t.Fatal(err)
	}
	if err := s.c.Start(s.now, o.ID); err != nil {
		s.t.Fatal(err)
	}
	s.running[o.ID] = s.now + span
	if s.c.Alone(o.ID) {
		s.alone = o.ID
		s.ran++
		return
	}
	s.others++
}

// TestSuspectTurns lets a suspected request and a standing backlog share one server: the suspect runs alone and
// soon, and a flood of suspects leaves the others most of the server.
func TestSuspectTurns(t *testing.T) {
	s := newSite(t)
	s.advance(clock.Second, 100)
	s.leave(poison)
	s.advance(clock.Second, 100)
	if s.ran != 1 {
		t.Errorf("the suspected request ran %d times in a second", s.ran)
	}
	others := s.others
	for range 20 {
		s.leave(poison)
	}
	s.advance(20*clock.Second, 100)
	if least := slots * 20 * 10 / 2; s.others-others < least {
		t.Errorf("%d other requests ran beside a flood of suspects, least %d", s.others-others, least)
	}
	if s.ran < 3 {
		t.Errorf("suspects ran %d times", s.ran)
	}
}

// TestSuspectBehindLongRuns cannot empty the server: the others are held up for a bounded part of the time.
func TestSuspectBehindLongRuns(t *testing.T) {
	s := newSite(t)
	s.advance(30, 10*clock.Second)
	s.c.SetLimit(slots)
	s.leave(poison)
	before := s.others
	s.advance(60*clock.Second, 3*clock.Second)
	if least := 60 / 3 * slots / 2; s.others-before < least {
		t.Errorf("%d others ran, least %d", s.others-before, least)
	}
}

// TestSuspectNews drops what is confirmed and refuses what came under suspicion after its offer.
func TestSuspectNews(t *testing.T) {
	s := newSite(t)
	s.leave(1)
	s.leave(2)
	offers := s.c.Fill(s.now)
	s.suspects.RecordCrash(s.now, 2, false)
	s.start(offers[0], clock.Second)
	m := ticket.Start{Offer: offers[1].ID, Router: "r", Request: offers[1].Request, Attempt: 1, Remaining: clock.Minute}
	if err := s.c.Accept(s.now, m); err != nil {
		t.Fatal(err)
	}
	if err := s.c.Start(s.now, m.Offer); err == nil || s.c.WithdrawOffer(s.now, m.Offer) != admission.Withdrawn {
		t.Errorf("a suspected request started beside another: %v", err)
	}
	s.leave(poison)
	s.suspects.RecordCrash(s.now, poison, true)
	s.c.SuspectsChanged(s.now)
	if s.c.Waiting() != 0 {
		t.Error("a confirmed request waits")
	}
	s.leave(poison)
	if s.c.Waiting() != 0 {
		t.Error("a confirmed request's ticket was taken")
	}
}
