// Package fleet starts the product and its stand-ins as separate processes on loopback, for tests and
// measurements.
package fleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/laburnumring/laburnumring/internal/keys"
	"github.com/laburnumring/laburnumring/pkg/place"
	"github.com/laburnumring/laburnumring/pkg/retry"
	"github.com/laburnumring/laburnumring/pkg/server"
	"github.com/laburnumring/laburnumring/pkg/service"
	"github.com/laburnumring/laburnumring/pkg/site"
	"github.com/laburnumring/laburnumring/pkg/team"
)

// Options are the settings of a Fleet.
type Options struct {
	// Bin is the directory with the programs and Dir one for settings and logs.
	Bin string
	Dir string
	// Teams is how many teams the site has, called team-1 and so on; one when zero.
	Teams int
	// Models and Plains are how many backend servers of each kind there are.
	Models int
	Plains int
	// Slots is the most requests that a backend server runs at once; 8 when zero.
	Slots int
	// Routers is how many routers there are.
	Routers int
	// StepMs is the time of a model engine's step; 2 when zero.
	StepMs float64
	// PlainDuration is how long a plain call takes; 5 ms when zero.
	PlainDuration time.Duration
	// PlainRepeatable makes plain calls repeatable.
	PlainRepeatable bool
	// TLS puts the links between processes under mutual TLS, with keys of a trial authority in Dir.
	TLS bool
	// RouterSettings and AgentSettings are further lines of the settings files.
	RouterSettings string
	AgentSettings  string
}

// Names of the two services of every fleet.
const (
	ModelService = "model-pool"
	PlainService = "booking-app"
)

const (
	defaultSlots         = 8
	defaultStepMs        = 2
	defaultPlainDuration = 5 * time.Millisecond
	stopLimit            = 10 * time.Second
	readyLimit           = 20 * time.Second
	pollPause            = 20 * time.Millisecond
	keyLife              = 24 * time.Hour
)

// Fleet is a set of running processes. It is used by one goroutine.
type Fleet struct {
	o Options
	// processes are in the order of their start.
	processes []*Process
	// platform is the address of the log and the VM list.
	platform string
	routers  []string
	site     *site.Site
	// trial issues the processes' certificates; nil without TLS.
	trial *keys.TrialAuthority
}

// Start starts everything and waits until every router is ready and sees all agents.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	o.setDefaults()
	f := &Fleet{o: o}
	err := f.start(ctx)
	if err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func (o *Options) setDefaults() {
	o.Teams = max(1, o.Teams)
	if o.Slots == 0 {
		o.Slots = defaultSlots
	}
	if o.StepMs == 0 {
		o.StepMs = defaultStepMs
	}
	if o.PlainDuration == 0 {
		o.PlainDuration = defaultPlainDuration
	}
}

// Stop ends all processes, the newest first.
func (f *Fleet) Stop() {
	var wg sync.WaitGroup
	for _, p := range f.processes {
		wg.Go(func() {
			_ = p.Resume()
			p.Terminate(stopLimit)
		})
	}
	wg.Wait()
	f.processes = nil
}

// Routers returns the addresses of the routers.
func (f *Fleet) Routers() []string { return f.routers }

// Platform returns the address of the log and the VM list.
func (f *Fleet) Platform() string { return f.platform }

// Site returns the published configuration.
func (f *Fleet) Site() *site.Site { return f.site }

// Process returns the process called name: platform, router-1, model-pool-1 for a backend server and
// model-pool-1-agent for its agent.
func (f *Fleet) Process(name string) *Process {
	for _, p := range f.processes {
		if p.name == name {
			return p
		}
	}
	return nil
}

func (f *Fleet) start(ctx context.Context) error {
	if err := os.MkdirAll(f.o.Dir, 0o700); err != nil {
		return err
	}
	if f.o.TLS {
		trial, err := keys.NewTrialAuthority(filepath.Join(f.o.Dir, "keys"), time.Now(), keyLife)
		if err != nil {
			return err
		}
		f.trial = trial
	}
	ports, err := freePorts(1 + f.o.Routers + 2*(f.o.Models+f.o.Plains))
	if err != nil {
		return err
	}
	f.platform, ports = ports[0], ports[1:]
	f.routers, ports = ports[:f.o.Routers], ports[f.o.Routers:]
	if err := f.run("platform", "standins", "platform", "--listen", f.platform); err != nil {
		return err
	}
	f.site = f.newSite(ports)
	for _, s := range f.site.Servers() {
		if err := f.startServer(s); err != nil {
			return err
		}
	}
	for i := range f.routers {
		if err := f.startRouter(i); err != nil {
			return err
		}
	}
	if err := f.Publish(ctx, f.site); err != nil {
		return err
	}
	return f.awaitReady(ctx)
}

func (f *Fleet) newSite(ports []string) *site.Site {
	s := site.New("fleet")
	for i := range f.o.Teams {
		s.AddTeams(team.New(fmt.Sprintf("team-%d", i+1), team.Options{}))
	}
	s.AddPlaces(place.New("place-a", "north"), place.New("place-b", "north"))
	s.AddServices(
		service.New(ModelService, service.Options{
			Kind:  service.Model,
			Retry: retry.New(retry.Options{MaxAttempts: 3, BudgetPercent: 20, Repeatable: true}),
		}),
		service.New(PlainService, service.Options{
			Kind:  service.Plain,
			Retry: retry.New(retry.Options{MaxAttempts: 2, BudgetPercent: 20, Repeatable: f.o.PlainRepeatable}),
		}),
	)
	add := func(name string, n int) {
		for i := range n {
			s.AddServers(server.New(fmt.Sprintf("%s-%d", name, i+1), server.Options{
				Service: name,
				Place:   [...]string{"place-a", "place-b"}[i%2],
				Address: ports[0],
				Agent:   ports[1],
				Slots:   f.o.Slots,
			}))
			ports = ports[2:]
		}
	}
	add(ModelService, f.o.Models)
	add(PlainService, f.o.Plains)
	return s
}

func (f *Fleet) startServer(s server.Server) error {
	kind := service.Plain
	args := []string{"plain", "--listen", s.Address(), "--duration", f.o.PlainDuration.String()}
	if s.Service() == ModelService {
		kind = service.Model
		args = []string{"engine", "--listen", s.Address(), "--step-ms", strconv.FormatFloat(f.o.StepMs, 'f', -1, 64)}
	}
	if err := f.run(s.Name(), "standins", args...); err != nil {
		return err
	}
	security, err := f.security(keys.Agent, s.Name())
	if err != nil {
		return err
	}
	text := fmt.Sprintf("server: %s\nservice: %s\nplace: %s\nkind: %s\nserver_address: %s\nslots: %d\nlisten: %s\n"+
		"log: %s\n%s\nshutdown_limit_ms: 20000\n%s",
		s.Name(), s.Service(), s.Place(), kind, s.Address(), s.Slots(), s.Agent(), f.platform, security, f.o.AgentSettings)
	return f.runProduct(s.Name()+"-agent", "agent", text)
}

func (f *Fleet) startRouter(i int) error {
	name := fmt.Sprintf("router-%d", i+1)
	security, err := f.security(keys.Router, name)
	if err != nil {
		return err
	}
	text := fmt.Sprintf("name: %s\nplace: place-a\nlisten: %s\nlog: %s\nvms: %s\n"+
		"caller_auth: header\n%s\nshutdown_limit_ms: 20000\n%s",
		name, f.routers[i], f.platform, f.platform, security, f.o.RouterSettings)
	return f.runProduct(name, "router", text)
}

// security returns the setting for the links of one process.
func (f *Fleet) security(role keys.Role, name string) (string, error) {
	if f.trial == nil {
		return "insecure_loopback: true", nil
	}
	o, err := f.trial.Issue(keys.Identity{Role: role, Name: name}, keyLife)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("tls: {certificate: %q, key: %q, authority: %q}", o.Certificate, o.Key, o.Authority), nil
}

func (f *Fleet) runProduct(name, role, settings string) error {
	file := filepath.Join(f.o.Dir, name+".yaml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return err
	}
	return f.run(name, "laburnumring", role, "--settings", file)
}

func (f *Fleet) run(name, program string, args ...string) error {
	p := &Process{
		name:    name,
		path:    filepath.Join(f.o.Bin, program),
		args:    args,
		logFile: filepath.Join(f.o.Dir, name+".log"),
	}
	if err := p.start(); err != nil {
		return err
	}
	f.processes = append(f.processes, p)
	return nil
}

// Publish puts a configuration in force by the product's own command.
func (f *Fleet) Publish(ctx context.Context, s *site.Site) error {
	text, err := s.YAML()
	if err != nil {
		return err
	}
	file := filepath.Join(f.o.Dir, "site.yaml")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return err
	}
	cmd := exec.CommandContext(ctx, filepath.Join(f.o.Bin, "laburnumring"), "config", "publish", "--log", f.platform, file)
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("publish configuration: %w: %s", err, out)
	}
	return nil
}

// awaitReady waits until each router is ready.
func (f *Fleet) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for _, address := range f.routers {
		for !Answers(ctx, "http://"+address+"/readyz") {
			if ctx.Err() != nil {
				return errorx.Decorate(ctx.Err(), "router at %s is not ready", address)
			}
			time.Sleep(pollPause)
		}
	}
	return nil
}

// Answers reports whether url answers with status 200.
func Answers(ctx context.Context, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// freePorts returns n loopback addresses whose ports were free a moment ago.
func freePorts(n int) ([]string, error) {
	out := make([]string, 0, n)
	var errs []error
	listeners := make([]net.Listener, 0, n)
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			errs = append(errs, err)
			break
		}
		listeners = append(listeners, ln)
		out = append(out, ln.Addr().String())
	}
	for _, ln := range listeners {
		errs = append(errs, ln.Close())
	}
	return out, errors.Join(errs...)
}
