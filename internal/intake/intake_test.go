package intake_test

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/fairshare"
	"github.com/laburnumring/laburnumring/internal/intake"
	"github.com/laburnumring/laburnumring/internal/routing"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// TestDecisions runs scripts of requests and servers. Times are in milliseconds; at=T sets the clock:
//
//	servers ID=SERVICE/PLACE/SLOTS...
//	submit ID [begun] team=T service=S [prompt=PART:TOKENS,...] [out=N] [goal=MS] [limit=MS] [content=N] [times=N [first=MS]]
//	poll, started ID, ended ID RESULT, withdraw ID, unreachable SERVER
//	limit SERVER [rate=F] [sent=MS]  a response, to a request sent at MS, names a limit or none
//	lag MS                    sets the mean lag of the router's timers
//	busy, free                starts and ends a lack of processor time at the router
//	peer NAME [SERVER=RUNNING/QUEUED/MEMORY]... [TEAM=DEMAND/SERVED[/ARRIVED/RECENT]]... [refused=N] [supply=F]
//	supply                    prints the capacity factor that peers receive
//	book                      prints the teams' usage since it was last printed
//	replay seed=N steps=N     runs a random sequence against another controller and prints a digest of its decisions
//
// The command submit prints the decision, or that the request waits. With times=N it submits N requests and prints how
// many were sent, waited or were refused for each reason; first is the delay of their first events.
func TestDecisions(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		p := &scriptRunner{c: newController(), next: 1000}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			p.t = t
			return p.command(d)
		})
	})
}

// newController returns a controller with one plain service and one service of engines.
func newController() *intake.Controller {
	c := intake.New(intake.Options{Place: "a"})
	c.Configure(routing.New(routing.Options{
		Version: 1, Limits: routing.Limits{TokensPerSecond: 100_000},
		Services: []routing.Service{
			{Name: "app"}, {Name: "llm", IsEngine: true, Slots: 8, KVTokens: 100_000, EventTokens: 5},
		},
	}))
	return c
}

type scriptRunner struct {
	t    *testing.T
	c    *intake.Controller
	now  clock.Millis
	next int64
}

func (p *scriptRunner) command(d *datadriven.TestData) string {
	if d.HasArg("at") {
		d.ScanArgs(p.t, "at", (*int64)(&p.now))
	}
	id := int64(0)
	if len(d.CmdArgs) > 0 {
		id, _ = strconv.ParseInt(d.CmdArgs[0].Key, 10, 64)
	}
	switch d.Cmd {
	case "replay":
		seed, steps := int64(0), 0
		d.ScanArgs(p.t, "seed", &seed)
		d.ScanArgs(p.t, "steps", &steps)
		return runReplay(d, uint64(seed), steps)
	case "servers":
		p.servers(d)
	case "submit":
		return p.submit(d, id)
	case "poll":
		var out strings.Builder
		for _, v := range p.c.Poll(p.now) {
			out.WriteString(formatDecision(v))
		}
		return out.String()
	case "started":
		p.c.Started(p.now, id)
	case "ended":
		p.c.Ended(p.now, id, map[string]intake.Result{
			"whole": intake.Whole, "failed": intake.Failed, "not_run": intake.NotRun,
			"unreachable": intake.Unreachable, "left": intake.Abandoned,
		}[d.CmdArgs[1].Key])
	case "withdraw":
		p.c.Withdraw(id)
	case "supply":
		if f, ok := p.c.Report(p.now).CapacityFactors["llm"]; ok {
			return fmt.Sprintf("llm %.2f", f)
		}
		return "nothing"
	case "book":
		var out strings.Builder
		teams := p.c.TakeUsage()
		for _, name := range slices.Sorted(maps.Keys(teams)) {
			fmt.Fprintf(&out, "%s %+v\n", name, *teams[name])
		}
		return out.String()
	case "busy", "free":
		p.c.SetBusy(d.Cmd == "busy")
	case "limit":
		return p.limit(d)
	case "admit":
		keys := make(map[uint64]bool)
		for _, a := range d.CmdArgs {
			keys[laburnumring.SoftwareVersion{Service: "llm", Version: a.Key}.Key()] = true
		}
		p.c.SetAdmitted(keys)
	case "lag":
		p.c.SetLag(clock.Millis(id))
	case "unreachable":
		p.c.Unreachable(p.now, d.CmdArgs[0].Key)
	case "peer":
		p.peer(d)
	default:
		d.Fatalf(p.t, "unknown command %s", d.Cmd)
	}
	return ""
}

func (p *scriptRunner) servers(d *datadriven.TestData) {
	var list []laburnumring.ServerEntry
	for _, a := range d.CmdArgs {
		f := strings.Split(a.Vals[0], "/")
		slots, _ := strconv.Atoi(f[2])
		e := laburnumring.ServerEntry{
			ID: a.Key, Service: f[0], Place: f[1], Slots: slots, Address: a.Key, State: laburnumring.ServerReady,
		}
		if len(f) > 3 {
			e.Version = f[3]
		}
		list = append(list, e)
	}
	p.c.SetServers(list)
}

// limit records what the response of a server says of its limit, and prints whether that changes the limit in force.
func (p *scriptRunner) limit(d *datadriven.TestData) string {
	l := laburnumring.RateLimit{Known: true, Limited: d.HasArg("rate")}
	if l.Limited {
		var text string
		d.ScanArgs(p.t, "rate", &text)
		l.PerSecond, _ = strconv.ParseFloat(text, 64)
	}
	sent := int64(p.now)
	if d.HasArg("sent") {
		d.ScanArgs(p.t, "sent", &sent)
	}
	return fmt.Sprintf("changed %v\n", p.c.ObserveLimit(p.now, clock.Millis(sent), d.CmdArgs[0].Key, l))
}

func (p *scriptRunner) peer(d *datadriven.TestData) {
	r := intake.Report{Servers: make(map[intake.ServerKey]intake.Load), Teams: make(map[string]fairshare.Rates)}
	for _, a := range d.CmdArgs[1:] {
		if a.Key == "at" {
			continue
		}
		f := strings.Split(a.Vals[0], "/")
		n := make([]int64, len(f))
		for i := range f {
			n[i], _ = strconv.ParseInt(f[i], 10, 64)
		}
		switch {
		case a.Key == "supply":
			f, _ := strconv.ParseFloat(a.Vals[0], 64)
			r.CapacityFactors = map[string]float64{"llm": f}
		case a.Key == "refused":
			r.Refused = append(r.Refused, uint32(n[0]))
		case len(n) == 3:
			r.Servers[intake.KeyOf(a.Key)] = intake.Load{Running: int(n[0]), Queued: n[1], Memory: n[2]}
		default:
			t := fairshare.Rates{Demand: float64(n[0]), Served: float64(n[1]), Arrived: float64(n[0]), Recent: float64(n[1])}
			if len(n) == 4 {
				t.Arrived, t.Recent = float64(n[2]), float64(n[3])
			}
			r.Teams[a.Key] = t
		}
	}
	p.c.Merge(p.now, d.CmdArgs[0].Key, r)
}

func (p *scriptRunner) submit(d *datadriven.TestData, id int64) string {
	r := intake.Request{ID: id, Arrived: p.now, Goal: 400, OutputTokens: 50, Fingerprint: uint64(id)}
	limit, times, content := int64(10_000), 1, int64(0)
	d.ScanArgs(p.t, "team", &r.Team)
	d.ScanArgs(p.t, "service", &r.Service)
	d.MaybeScanArgs(p.t, "out", &r.OutputTokens)
	d.MaybeScanArgs(p.t, "goal", (*int64)(&r.Goal))
	d.MaybeScanArgs(p.t, "limit", &limit)
	d.MaybeScanArgs(p.t, "times", &times)
	first := clock.Millis(0)
	d.MaybeScanArgs(p.t, "first", (*int64)(&first))
	if d.MaybeScanArgs(p.t, "content", &content) {
		r.Fingerprint = uint64(content)
	}
	r.Deadline = p.now + clock.Millis(limit)
	r.Committed = d.HasArg("begun")
	r.TakenUp = d.HasArg("taken_up")
	version := ""
	if d.MaybeScanArgs(p.t, "version", &version) {
		r.Software = laburnumring.SoftwareVersion{Service: "llm", Version: version}.Key()
	}
	r.Stream = version != "" || d.HasArg("stream")
	if arg, ok := d.Arg("prompt"); ok {
		for _, part := range arg.Vals {
			name, n, _ := strings.Cut(part, ":")
			tokens, _ := strconv.ParseInt(n, 10, 64)
			r.Parts = append(r.Parts, laburnumring.PromptPart{ID: name, Tokens: tokens})
			r.PromptTokens += tokens
		}
	}
	if times == 1 {
		v, ok := p.c.Submit(p.now, r)
		if !ok {
			return "waits\n"
		}
		return formatDecision(v)
	}
	counts := make(map[string]int)
	for range times {
		p.next++
		r.ID, r.Fingerprint = p.next, uint64(p.next)
		v, ok := p.c.Submit(p.now, r)
		switch {
		case !ok:
			counts["waits"]++
		case v.Refusal != nil:
			counts[v.Refusal.Reason]++
		default:
			counts["sent"]++
			p.c.Started(p.now+first, r.ID)
			p.c.Ended(p.now+first, r.ID, intake.Whole)
		}
	}
	return strings.TrimPrefix(fmt.Sprintln(counts), "map")
}

func formatDecision(v intake.Decision) string {
	if v.Refusal != nil {
		return fmt.Sprintf("%d refused: %s, retry after %d\n", v.Request, v.Refusal.Reason, v.Refusal.RetryAfter)
	}
	return fmt.Sprintf("%d to %s: queued %d, fresh %d, running %d\n", v.Request, v.Server.ID, v.Basis.Queued,
		v.Basis.Uncached, v.Basis.Running)
}
