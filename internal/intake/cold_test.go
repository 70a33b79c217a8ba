package intake_test

import (
	"fmt"
	"testing"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/intake"
	"github.com/laburnumring/laburnumring/internal/routing"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// coldRouter is a router without peers whose service "app" has cold servers.
type coldRouter struct {
	t   *testing.T
	c   *intake.Controller
	id  int64
	now clock.Millis
}

func newColdRouter(t *testing.T, o intake.Options, s routing.Service) *coldRouter {
	t.Helper()
	r := &coldRouter{t: t, c: intake.New(o), now: 10_000}
	s.Name = "app"
	r.c.Configure(routing.New(routing.Options{Version: 1, Services: []routing.Service{s}}))
	r.c.Report(1)
	return r
}

// list applies the entry of the only server, with the given cold time and heartbeat, at place a.
func (r *coldRouter) list(left clock.Millis, written, born int64) {
	e := laburnumring.ServerEntry{
		ID: "s1", Service: "app", Address: "h:1", Place: "a", Slots: 1000, State: laburnumring.ServerReady,
		Born: born, ColdLeft: left, Written: written,
	}
	r.c.UpdateCold(r.now, []laburnumring.ServerEntry{e})
	r.c.SetServers([]laburnumring.ServerEntry{e})
}

// sent returns how many of 1,000 requests in a second are sent.
func (r *coldRouter) sent() int {
	n := 0
	for range 1000 {
		r.now++
		r.id++
		d, ok := r.c.Submit(r.now, intake.Request{ID: r.id, Service: "app", Arrived: r.now, Goal: 100, Deadline: r.now + 1000})
		switch {
		case !ok:
			r.c.Withdraw(r.id)
		case d.Refusal == nil:
			n++
			r.c.Ended(r.now, r.id, intake.Whole)
		}
	}
	return n
}

func (r *coldRouter) expect(what string, cold bool) {
	r.t.Helper()
	if got := r.c.ColdServers(r.now) == 1; got != cold {
		r.t.Errorf("%s: cold %v, want %v", what, got, cold)
	}
}

func coldOptions() intake.Options {
	return intake.Options{Place: "a", Name: "r1", Alone: true, ColdOverage: 1.5, ColdSlack: 5}
}

func coldService() routing.Service { return routing.Service{ColdTime: 6000, ColdPerSecond: 13} }

// TestNoColdServers checks that all requests are sent where the configuration or the settings have no cold servers.
func TestNoColdServers(t *testing.T) {
	bounds := coldOptions()
	for i, r := range []*coldRouter{
		newColdRouter(t, intake.Options{Name: "r1", Alone: true}, coldService()),
		newColdRouter(t, bounds, routing.Service{}),
		newColdRouter(t, bounds, routing.Service{ColdTime: 6000}),
		newColdRouter(t, bounds, routing.Service{ColdPerSecond: 13}),
	} {
		r.list(6000, 1, 1)
		if n := r.sent(); n != 1000 {
			t.Errorf("case %d: %d requests sent, want 1000", i, n)
		}
	}
}

// TestColdServerEnds follows the cold time of a server through its entries. Reading an entry again must not extend it.
func TestColdServerEnds(t *testing.T) {
	r := newColdRouter(t, coldOptions(), coldService())
	r.list(3000, 1, 1)
	if n := r.sent(); n < 10 || n > 23 {
		t.Errorf("%d requests sent to a cold server in a second, want about 13", n)
	}
	r.now += 1000
	r.list(3000, 1, 1)
	r.expect("read again", true)
	r.now += 1001
	r.list(3000, 1, 1)
	r.expect("elapsed", false)
	r.list(5000, 2, 1)
	r.expect("cold again", true)
	if n := r.sent(); n != 0 {
		t.Errorf("%d requests sent while other routers do not know that the server is cold", n)
	}
	r.list(0, 3, 1)
	r.expect("ended by the entry", false)
	r.list(6000, 4, 2)
	r.expect("restarted", true)
	r.c.Configure(routing.New(routing.Options{Version: 2, Services: []routing.Service{{Name: "app"}}}))
	r.expect("configuration without cold servers", false)
}

// TestBothLimits has a cold server name a limit. The lower one must hold, and the end of one must not end the other.
func TestBothLimits(t *testing.T) {
	name := func(r *coldRouter, limited bool) {
		r.c.ObserveLimit(r.now, r.now, "s1", laburnumring.RateLimit{Known: true, Limited: limited, PerSecond: 4})
	}
	r := newColdRouter(t, coldOptions(), coldService())
	r.list(60_000, 1, 1)
	r.sent()
	name(r, true)
	if n := r.sent(); n > 5 {
		t.Errorf("%d requests sent with a limit of 4", n)
	}
	name(r, false)
	r.expect("named limit ended", true)
	if n := r.sent(); n > 23 {
		t.Errorf("%d requests sent to a cold server in a second", n)
	}
	name(r, true)
	r.list(0, 2, 1)
	if n := r.sent(); n > 5 {
		t.Errorf("%d requests sent with a limit of 4 after the cold time", n)
	}
}

// TestPlaceReopened reopens the server's place. The entry from before must not end the cold time, one written afterwards
// must, and a server that is listed later counts as cold too.
func TestPlaceReopened(t *testing.T) {
	r := newColdRouter(t, coldOptions(), coldService())
	r.list(0, 1, 1)
	r.expect("before", false)
	r.c.PlaceReopened(r.now, "b")
	r.expect("another place", false)
	r.c.PlaceReopened(r.now, "a")
	r.expect("reopened", true)
	r.now += 1500
	r.list(0, 2, 1)
	r.expect("entry perhaps written before", true)
	r.now += 1500
	r.list(0, 2, 1)
	r.expect("read again", true)
	r.list(0, 3, 1)
	r.expect("entry written afterwards", false)
	r = newColdRouter(t, coldOptions(), coldService())
	r.c.PlaceReopened(r.now, "a")
	r.now += 100
	r.list(0, 1, 1)
	r.expect("listed later", true)
	r.now += 6000
	r.expect("elapsed", false)
}

// TestRouterThatHasHeardNoOther checks that a router which knows that there are others, but not how many, sends nothing to
// a cold server, and uses its part once it has heard them.
func TestRouterThatHasHeardNoOther(t *testing.T) {
	o := coldOptions()
	o.Alone = false
	r := newColdRouter(t, o, coldService())
	r.list(60_000, 1, 1)
	if n := r.sent(); n != 0 {
		t.Errorf("%d requests sent without any report, want none", n)
	}
	for i := range 3 {
		r.c.Merge(r.now, fmt.Sprint("p", i), intake.Report{Routers: 4})
	}
	r.now += 300
	if n := r.sent(); n < 2 || n > 6 {
		t.Errorf("%d requests sent by one of four routers, want about 4", n)
	}
}

// TestColdSendDelayed delays the send of a request after the decision. Where the server is cold, sends that are delayed by
// unequal times would come in the same second although they were decided on in different ones.
func TestColdSendDelayed(t *testing.T) {
	r := newColdRouter(t, coldOptions(), coldService())
	submit := func() int64 {
		r.now += 2000
		r.id++
		if d, ok := r.c.Submit(r.now, intake.Request{ID: r.id, Service: "app", Arrived: r.now, Goal: 100, Deadline: r.now + 3000}); !ok || d.Refusal != nil {
			t.Fatalf("not sent: %+v", d)
		}
		return r.id
	}
	r.list(0, 1, 1)
	warm := submit()
	if r.c.ColdSendLate(r.now+3000, warm) {
		t.Error("a send to a warm server is late")
	}
	r.list(6000, 2, 1)
	if !r.c.ColdSendLate(r.now, warm) {
		t.Error("a request decided on before the server turned cold is sent")
	}
	r.sent()
	cold := submit()
	if r.c.ColdSendLate(r.now+200, cold) || !r.c.ColdSendLate(r.now+300, cold) {
		t.Error("a send is not late from 250 ms on")
	}
}
