package intake_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/fairshare"
	"github.com/laburnumring/laburnumring/internal/intake"
	"github.com/laburnumring/laburnumring/internal/serverspeed"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// speedFleet is a model of routers and the servers of one service. A plain server with more requests than slots refuses
// them; an engine sends an event of all its streams at each step.
type speedFleet struct {
	*rand.Rand
	t       *testing.T
	service string
	slots   int
	routers []*intake.Controller
	// slowness and knee are those of the servers: work takes slowness times as long as usual, and longer in proportion to
	// the load above the fraction knee of the slots.
	slowness, knee []float64
	// readsAsUsual makes engines slow in their streams only, not in reading prompts.
	readsAsUsual bool
	// stated makes servers state their load and slowness.
	stated   bool
	running  [][]*speedRequest
	now      clock.Millis
	id       int64
	sent     []int
	refusals map[string]int
	// notRun counts the requests that servers refused, loadSum sums their loads by step.
	notRun  int
	loadSum []int
	steps   int
}

type speedRequest struct {
	id, router  int64
	left        float64
	readLeft    float64
	lastEventAt clock.Millis
	started     bool
}

const speedStep = 10 * clock.Millis(1)

func newSpeedFleet(t *testing.T, service string, servers, slots, routers int) *speedFleet {
	f := &speedFleet{
		Rand: rand.New(rand.NewPCG(1, 1)), t: t, service: service, slots: slots, now: 1000,
		slowness: make([]float64, servers), knee: make([]float64, servers), running: make([][]*speedRequest, servers),
	}
	var list []laburnumring.ServerEntry
	for i := range servers {
		f.slowness[i], f.knee[i] = 1, 1
		id := fmt.Sprint("s", i)
		list = append(list, laburnumring.ServerEntry{
			ID: id, Service: service, Address: id, Place: "a", Slots: slots, State: laburnumring.ServerReady,
		})
	}
	for range routers {
		c := newController()
		c.SetServers(list)
		f.routers = append(f.routers, c)
	}
	f.reset()
	return f
}

func (f *speedFleet) reset() {
	f.sent, f.refusals, f.notRun = make([]int, len(f.slowness)), make(map[string]int), 0
	f.loadSum, f.steps = make([]int, len(f.slowness)), 0
}

// run submits the given number of requests a second.
func (f *speedFleet) run(d clock.Millis, perSecond float64) {
	f.reset()
	for end := f.now + d; f.now < end; f.now += speedStep {
		for i := range f.running {
			f.work(i)
			f.loadSum[i] += len(f.running[i])
		}
		f.steps++
		for p := f.ExpFloat64(); p < perSecond*speedStep.Duration().Seconds(); p += f.ExpFloat64() {
			f.submit(f.IntN(len(f.routers)))
		}
		for i, c := range f.routers {
			for _, d := range c.Poll(f.now) {
				f.decided(i, d)
			}
			if (int(f.now/speedStep)+i)%20 == 0 {
				report := c.Report(f.now)
				for j, o := range f.routers {
					if i != j {
						o.Merge(f.now, fmt.Sprint("r", i), report)
					}
				}
			}
		}
	}
}

func (f *speedFleet) submit(router int) {
	f.id++
	r := intake.Request{
		ID: f.id, Team: "ann", Service: f.service, Arrived: f.now, Goal: 1500, Deadline: f.now + 8000, Fingerprint: uint64(f.id),
	}
	if f.service == "llm" {
		r.PromptTokens, r.OutputTokens = 800, 100
		r.Parts = []laburnumring.PromptPart{{ID: fmt.Sprint("own", f.id), Tokens: 800}}
	}
	if d, ok := f.routers[router].Submit(f.now, r); ok {
		f.decided(router, d)
	}
}

func (f *speedFleet) decided(router int, d intake.Decision) {
	if d.Refusal != nil {
		f.refusals[d.Refusal.Reason]++
		return
	}
	var i int
	_, _ = fmt.Sscanf(d.Server.ID, "s%d", &i)
	f.sent[i]++
	c := f.routers[router]
	if f.service == "app" && len(f.running[i]) >= f.slots {
		f.notRun++
		reply := f.reply(i)
		reply.NotRun = true
		c.ObserveReply(f.now, d.Request, d.Server.ID, reply)
		c.Ended(f.now, d.Request, intake.NotRun)
		return
	}
	q := &speedRequest{id: d.Request, router: int64(router), left: 80 + 80*f.Float64()}
	if f.service == "llm" {
		q.left, q.readLeft = 20*50, 40
	}
	f.running[i] = append(f.running[i], q)
}

func (f *speedFleet) reply(i int) laburnumring.ReplyHeader {
	reply := laburnumring.ReplyHeader{Limit: laburnumring.RateLimit{Known: true}}
	if f.stated {
		reply.Load = laburnumring.ServerLoad{
			Known: true, Running: len(f.running[i]), Slots: f.slots, Slowness: int(100 * f.slowness[i] * (0.7 + 0.6*f.Float64())),
		}
	}
	return reply
}

// work lets the requests at a server make progress for one step.
func (f *speedFleet) work(i int) {
	progress := float64(speedStep) / (f.slowness[i] * max(1, float64(len(f.running[i]))/(f.knee[i]*float64(f.slots))))
	var rest []*speedRequest
	reading := false
	for _, q := range f.running[i] {
		c := f.routers[q.router]
		if q.readLeft > 0 {
			// An engine reads one prompt at a time.
			if !reading {
				if f.readsAsUsual {
					q.readLeft -= float64(speedStep)
				} else {
					q.readLeft -= progress
				}
			}
			reading = true
			rest = append(rest, q)
			continue
		}
		if !q.started {
			q.started, q.lastEventAt = true, f.now
			if f.service == "llm" {
				c.ObserveReply(f.now, q.id, fmt.Sprint("s", i), f.reply(i))
				c.Started(f.now, q.id)
			}
		}
		before := int(q.left / 50)
		q.left -= progress
		if f.service == "llm" && int(q.left/50) < before {
			c.Progress(f.now, q.id, 1, f.now-q.lastEventAt)
			q.lastEventAt = f.now
		}
		if q.left > 0 {
			rest = append(rest, q)
			continue
		}
		if f.service == "app" {
			c.ObserveReply(f.now, q.id, fmt.Sprint("s", i), f.reply(i))
			c.Started(f.now, q.id)
		}
		c.Ended(f.now, q.id, intake.Whole)
	}
	f.running[i] = rest
}

func (f *speedFleet) load(i int) float64 { return float64(f.loadSum[i]) / float64(f.steps) }

// TestSlowServerKeepsItsShare has one server of each kind of service become slow, or slow under load, while the others
// have room. It must be held to about what it handles well within two seconds, no request may be refused for it, and it
// must have its share again after it has recovered.
func TestSlowServerKeepsItsShare(t *testing.T) {
	for _, tt := range []struct {
		name, service                   string
		servers, slots, routers         int
		perSecond                       float64
		slowness, knee, most, recovered float64
		stated, readsAsUsual            bool
	}{
		{"plain server slow", "app", 4, 6, 4, 110, 4, 1, 3, 1.8, false, false},
		{"plain server states that it is slow", "app", 4, 6, 4, 110, 4, 1, 3, 1.8, true, false},
		{"plain server slow under load", "app", 4, 12, 4, 240, 1, 0.25, 6, 4, false, false},
		{"engine slow", "llm", 6, 32, 6, 70, 4, 1, 12, 8, false, false},
		{"engine states that it is slow", "llm", 6, 32, 6, 70, 4, 1, 12, 8, true, false},
		{"engine slow under load", "llm", 6, 32, 6, 70, 1, 0.2, 12, 8, false, false},
		{"engine's streams slow", "llm", 6, 32, 6, 70, 4, 1, 12, 8, false, true},
		{"engine's streams slow under load", "llm", 6, 32, 6, 70, 1, 0.15, 10, 8, false, true},
		{"many routers", "llm", 9, 32, 30, 110, 4, 1, 13, 8, false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newSpeedFleet(t, tt.service, tt.servers, tt.slots, tt.routers)
			f.stated, f.readsAsUsual = tt.stated, tt.readsAsUsual
			f.run(6*clock.Second, tt.perSecond)
			for _, c := range f.routers {
				for _, s := range c.Speeds(f.now, 100) {
					if s.Slowness > 1 || s.Limit < tt.slots {
						t.Errorf("equal servers: %+v", s)
					}
				}
				if n := len(c.Report(f.now).Speeds); n > 0 {
					t.Errorf("equal servers: %d reported", n)
				}
			}
			f.slowness[0], f.knee[0] = tt.slowness, tt.knee
			f.run(3*clock.Second, tt.perSecond)
			f.run(6*clock.Second, tt.perSecond)
			t.Logf("slow: load %.1f of %.1f, sent %v, not run %d, refused %v", f.load(0), f.load(1), f.sent, f.notRun, f.refusals)
			if f.load(0) > tt.most || f.sent[0] == 0 || len(f.refusals) > 0 {
				t.Errorf("load %.1f, want up to %.1f; sent %v, refused %v", f.load(0), tt.most, f.sent, f.refusals)
			}
			f.slowness[0], f.knee[0] = 1, 1
			f.run(5*clock.Second, tt.perSecond)
			f.run(4*clock.Second, tt.perSecond)
			t.Logf("recovered: load %.1f of %.1f, sent %v, refused %v", f.load(0), f.load(1), f.sent, f.refusals)
			if f.load(0) < tt.recovered {
				t.Errorf("load %.1f after the recovery, want %.1f", f.load(0), tt.recovered)
			}
		})
	}
}

// TestSpeedsInReports guards the size and the compatibility of reports: a router that knows no speeds reads those that
// have them, and nothing is added while no server differs.
func TestSpeedsInReports(t *testing.T) {
	size := func(servers int) int {
		r := intake.Report{Speeds: make(map[serverspeed.Key]serverspeed.Speed)}
		for i := range servers {
			r.Speeds[uint32(intake.KeyOf(fmt.Sprint("s", i)))] = 0xffff
		}
		data, err := cbor.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		var old struct {
			Refused []uint32 `cbor:"5,keyasint"`
		}
		if err := cbor.Unmarshal(data, &old); err != nil {
			t.Errorf("a router that does not know speeds: %v", err)
		}
		return len(data)
	}
	none, err := cbor.Marshal(intake.Report{})
	if err != nil || size(0) != len(none) {
		t.Errorf("%d bytes without speeds, want %d (%v)", size(0), len(none), err)
	}
	if got := size(60) - size(0); got > 60*8+4 {
		t.Errorf("%d bytes for 60 servers, want 8 each", got)
	}
}

// TestSlowServerLowersCapacity has one of two engines state that its work takes four times as long while demand exceeds
// capacity. Teams' fair rate must fall by about what the engine handles less, and be as before when it has recovered.
func TestSlowServerLowersCapacity(t *testing.T) {
	f := newSpeedFleet(t, "llm", 2, 8, 1)
	c := f.routers[0]
	rate := func(percent int) float64 {
		for end := f.now + 4*clock.Second; f.now < end; f.now += 50 {
			reply := laburnumring.ReplyHeader{Load: laburnumring.ServerLoad{Known: true, Slots: 8, Slowness: percent}}
			c.ObserveReply(f.now, 0, "s0", reply)
			c.Speeds(f.now, 1)
		}
		c.Merge(f.now, "peer", intake.Report{
			Teams: map[string]fairshare.Rates{"bob": {Demand: 1e6, Served: 1e5, Arrived: 1e6, Recent: 1e5}},
		})
		f.id++
		d, ok := c.Submit(f.now, intake.Request{
			ID: f.id, Team: "ann", Service: "llm", PromptTokens: 100, Arrived: f.now, Goal: 2000, Deadline: f.now + 5000,
			Parts: []laburnumring.PromptPart{{ID: "own", Tokens: 100}},
		})
		if !ok || d.Basis.FairRate == 0 {
			t.Fatalf("no fair rate: %+v", d)
		}
		c.Ended(f.now, f.id, intake.Abandoned)
		return float64(d.Basis.FairRate)
	}
	before, slow, after := rate(100), rate(400), rate(100)
	t.Logf("fair rate %.0f, %.0f while one engine is slow, %.0f", before, slow, after)
	if slow > 0.75*before || slow < 0.5*before || after < 0.9*before {
		t.Error("want 0.5 to 0.75 of the first rate, and then at least 0.9")
	}
}
