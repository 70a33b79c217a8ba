// Package slopes measures how a router's and an agent's costs grow, one thing at a time.
package slopes

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"time"

	"github.com/joomcode/errorx"

	"github.com/laburnumring/laburnumring/internal/fleet"
	"github.com/laburnumring/laburnumring/pkg/server"
	"github.com/laburnumring/laburnumring/pkg/site"
	"github.com/laburnumring/laburnumring/pkg/team"
)

// Options are the settings of a measurement.
type Options struct {
	// Bin is the directory with the programs and Dir one for settings and logs.
	Bin string
	Dir string
	// Settle is how long a fleet runs before it is measured and Period how long it is measured.
	Settle time.Duration
	Period time.Duration
}

// Slope is one cost's growth along one axis.
type Slope struct {
	// Axis names what was grown, Role whose cost it is, and Cost what was measured, with its unit.
	Axis string `json:"axis"`
	Role string `json:"role"`
	Cost string `json:"cost"`
	// Points are the measurements behind the fit.
	Points []Point `json:"points"`
	Fit    Fit     `json:"fit"`
}

// axis is one thing to grow.
type axis struct {
	name  string
	sizes []float64
	// shape returns the fleet and the load for a size.
	shape func(x float64) (fleet.Options, drive)
	// works names the service whose agents share the load; empty when no load is grown. An agent's size is
	// then its part of the load.
	works string
	// only names the one server whose agent is measured; empty for all.
	only string
	// perPeriod says that a size is a number of events in the period, which becomes a rate.
	perPeriod bool
	// during is called once while the fleet is measured; nil for nothing.
	during func(ctx context.Context, f *fleet.Fleet, x float64) error
}

// Measure measures every axis and hands each slope to emit.
func Measure(ctx context.Context, o Options, only string, emit func(Slope) error) error {
	for _, a := range axes() {
		if only != "" && a.name != only {
			continue
		}
		if err := measureAxis(ctx, o, a, emit); err != nil {
			return errorx.Decorate(err, "axis %s", a.name)
		}
	}
	return nil
}

// Sizes of the standing part of each measured fleet.
const (
	fewTeams   = 16
	fewServers = 4
	baseRate   = 20
	baseTokens = 16
	manySlots  = 64
	// treeAgents are a root of the share tree and its children; at treeRate each serves many teams in a second.
	treeAgents = 9
	treeRate   = 300
	treeTokens = 4
)

func axes() []axis {
	base := func() (fleet.Options, drive) {
		return fleet.Options{Teams: fewTeams, Models: fewServers, Plains: 1, Routers: 1, Slots: manySlots},
			drive{teams: fewTeams}
	}
	return []axis{
		{name: "servers_idle", sizes: []float64{4, 16, 48}, shape: func(x float64) (fleet.Options, drive) {
			o, d := base()
			o.Models = int(x)
			o.RouterSettings = "subset_degree: 100\n"
			return o, d
		}},
		{name: "routers_idle", sizes: []float64{1, 6, 18}, shape: func(x float64) (fleet.Options, drive) {
			o, d := base()
			o.Routers = int(x)
			return o, d
		}},
		{name: "teams", sizes: []float64{16, 128, 520}, shape: func(x float64) (fleet.Options, drive) {
			o, d := base()
			o.Teams, d.teams = int(x), int(x)
			d.rate, d.tokens = baseRate, baseTokens
			return o, d
		}},
		{name: "plain_requests_per_s", works: fleet.PlainService, sizes: []float64{10, 40, 160}, shape: func(x float64) (fleet.Options, drive) {
			o, d := base()
			d.rate = x
			return o, d
		}},
		{name: "keyed_requests_per_s", works: fleet.PlainService, sizes: []float64{5, 20, 60}, shape: func(x float64) (fleet.Options, drive) {
			o, d := base()
			d.rate, d.keyed = x, true
			return o, d
		}},
		{name: "tokens_per_s", works: fleet.ModelService, sizes: []float64{320, 1280, 5120}, shape: func(x float64) (fleet.Options, drive) {
			o, d := base()
			d.rate, d.tokens = baseRate, int(x/baseRate)
			return o, d
		}},
		{name: "waiting_requests", works: fleet.ModelService, sizes: []float64{20, 200, 800}, shape: func(x float64) (fleet.Options, drive) {
			o, d := base()
			o.Models, o.Slots, o.StepMs = 1, 1, 1000
			d.rate, d.tokens = x/4, 100
			return o, d
		}},
		{name: "configuration_changes_per_s", perPeriod: true, sizes: []float64{0, 2, 4}, shape: func(float64) (fleet.Options, drive) {
			return base()
		}, during: publishLarge},
		{name: "moving_teams", only: fleet.ModelService + "-1", sizes: []float64{8, 32, 128}, shape: func(x float64) (fleet.Options, drive) {
			o, d := base()
			o.Models, o.Teams, d.teams = treeAgents, int(x), int(x)
			o.AgentSettings = "share: {period_ms: 1000}\n"
			d.rate, d.tokens = treeRate, treeTokens
			return o, d
		}},
		{name: "agent_restarts_per_s", perPeriod: true, sizes: []float64{0, 1, 2}, shape: func(float64) (fleet.Options, drive) {
			o, d := base()
			d.rate, d.tokens = baseRate, baseTokens
			return o, d
		}, during: restartAgents},
	}
}

// cost is one thing to read from a process's rates.
type cost struct {
	name string
	of   func(rates) float64
}

// Names of the roles.
const (
	router   = "router"
	agent    = "agent"
	platform = "platform"
)

func costs(role string) []cost {
	if role == platform {
		return []cost{
			{"appends_per_s", func(r rates) float64 { return r.appends }},
			{"reads_per_s", func(r rates) float64 { return r.reads }},
		}
	}
	return []cost{
		{"cpu_percent_of_core", func(r rates) float64 { return r.cpu }},
		{"resident_mb", func(r rates) float64 { return r.resident }},
		{"peer_bytes_per_s", func(r rates) float64 { return r.peer }},
		{"platform_bytes_per_s", func(r rates) float64 { return r.platform }},
	}
}

func measureAxis(ctx context.Context, o Options, a axis, emit func(Slope) error) error {
	points := make(map[string]map[string][]Point)
	for _, x := range a.sizes {
		measured, err := measureSize(ctx, o, a, x)
		if err != nil {
			return err
		}
		for role, r := range measured {
			if points[role] == nil {
				points[role] = make(map[string][]Point)
			}
			for _, c := range costs(role) {
				points[role][c.name] = append(points[role][c.name], Point{X: a.sizeOf(o, role, x), Y: c.of(r)})
			}
		}
	}
	for _, role := range []string{router, agent, platform} {
		for _, c := range costs(role) {
			p := points[role][c.name]
			if err := emit(Slope{Axis: a.name, Role: role, Cost: c.name, Points: p, Fit: NewFit(p)}); err != nil {
				return err
			}
		}
	}
	return nil
}

// sizeOf returns what one process of a role carries of size x.
func (a axis) sizeOf(o Options, role string, x float64) float64 {
	if a.perPeriod {
		x /= o.Period.Seconds()
	}
	if a.works == "" || role != agent {
		return x
	}
	f, _ := a.shape(x)
	if a.works == fleet.PlainService {
		return x / float64(f.Plains)
	}
	return x / float64(f.Models)
}

// measureSize runs one fleet and returns the mean rates of each role.
func measureSize(ctx context.Context, o Options, a axis, x float64) (map[string]rates, error) {
	fo, d := a.shape(x)
	fo.Bin = o.Bin
	fo.Dir = filepath.Join(o.Dir, fmt.Sprintf("%s-%d", a.name, int(x)))
	f, err := fleet.Start(ctx, fo)
	if err != nil {
		return nil, err
	}
	defer f.Stop()
	d.routers = f.Routers()
	load, stop := context.WithTimeout(ctx, o.Settle+o.Period)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.deadline = o.Settle + o.Period
		d.run(load)
	}()
	time.Sleep(o.Settle)
	out, err := measurePeriod(ctx, o, a, x, f)
	<-done
	return out, err
}

func measurePeriod(ctx context.Context, o Options, a axis, x float64, f *fleet.Fleet) (map[string]rates, error) {
	targets := targetsOf(f, a)
	start := time.Now()
	before, err := sampleAll(ctx, targets)
	if err != nil {
		return nil, err
	}
	if a.during != nil {
		if err := a.during(ctx, f, x); err != nil {
			return nil, err
		}
	}
	time.Sleep(time.Until(start.Add(o.Period)))
	after, err := sampleAll(ctx, targets)
	if err != nil {
		return nil, err
	}
	elapsed := time.Since(start)
	out := make(map[string]rates)
	for role, list := range targets {
		all := make([]rates, len(list))
		for i := range list {
			all[i] = between(before[role][i], after[role][i], elapsed)
		}
		out[role] = mean(all)
	}
	return out, nil
}

// measures reports whether the agent beside s is measured.
func (a axis) measures(s server.Server) bool {
	if a.only != "" {
		return s.Name() == a.only
	}
	return a.works == "" || s.Service() == a.works
}

// targetsOf lists the processes that are measured, by role.
func targetsOf(f *fleet.Fleet, a axis) map[string][]target {
	out := make(map[string][]target)
	out[platform] = []target{{process: f.Process(platform), stats: "http://" + f.Platform() + "/stats"}}
	for i, address := range f.Routers() {
		out[router] = append(out[router], target{
			process: f.Process(fmt.Sprintf("router-%d", i+1)),
			metrics: "http://" + address + "/metrics",
		})
	}
	for _, s := range f.Site().Servers() {
		if !a.measures(s) {
			continue
		}
		out[agent] = append(out[agent], target{
			process: f.Process(s.Name() + "-agent"),
			metrics: "http://" + s.Agent() + "/metrics",
		})
	}
	return out
}

func sampleAll(ctx context.Context, targets map[string][]target) (map[string][]sample, error) {
	out := make(map[string][]sample)
	for role, list := range targets {
		for _, t := range list {
			s, err := t.sample(ctx)
			if err != nil {
				return nil, err
			}
			out[role] = append(out[role], s)
		}
	}
	return out, nil
}

// restartAgents kills x agents in turn and starts each again, with no state.
func restartAgents(_ context.Context, f *fleet.Fleet, x float64) error {
	for i := range int(x) {
		p := f.Process(fmt.Sprintf("%s-%d-agent", fleet.ModelService, i+1))
		p.Kill()
		time.Sleep(restartPause)
		if err := p.Restart(); err != nil {
			return err
		}
	}
	return nil
}

// restartPause is how long a killed agent stays away.
const restartPause = 200 * time.Millisecond

// Sizes of a large configuration.
const (
	largeTeams   = 520
	largeServers = 760
)

// publishLarge publishes x configurations of the size to design for. The servers that are added do not
// exist: they stand in for text to spread, and no router reaches them.
func publishLarge(ctx context.Context, f *fleet.Fleet, x float64) error {
	for i := range int(x) {
		s := site.New("fleet")
		s.AddPlaces(f.Site().Places()...)
		s.AddServices(f.Site().Services()...)
		s.AddTeams(f.Site().Teams()...)
		s.AddServers(f.Site().Servers()...)
		for n := len(s.Teams()); n < largeTeams; n++ {
			s.AddTeams(team.New(fmt.Sprintf("team-%d", n+1), team.Options{Weight: i + 1}))
		}
		addUnreachable(s, largeServers-len(s.Servers()))
		if err := f.Publish(ctx, s); err != nil {
			return err
		}
	}
	return nil
}

func addUnreachable(s *site.Site, n int) {
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range n {
		port := 1 + rng.IntN(9)
		s.AddServers(server.New(fmt.Sprintf("absent-%d", i+1), server.Options{
			Service: fleet.ModelService,
			Place:   "place-a",
			Address: fmt.Sprintf("127.1.%d.%d:%d", i/250, i%250+1, port),
			Agent:   fmt.Sprintf("127.2.%d.%d:%d", i/250, i%250+1, port),
		}))
	}
}
