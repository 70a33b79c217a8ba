package measure

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/joomcode/errorx"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/fleet"
	"github.com/laburnumring/laburnumring/internal/platform"
	"github.com/laburnumring/laburnumring/internal/publication"
	"github.com/laburnumring/laburnumring/internal/share"
	"github.com/laburnumring/laburnumring/internal/standin/control"
	"github.com/laburnumring/laburnumring/internal/standin/engine"
	"github.com/laburnumring/laburnumring/internal/standin/partition"
	"github.com/laburnumring/laburnumring/internal/standin/plainservice"
	"github.com/laburnumring/laburnumring/internal/standin/platformlog"
	"github.com/laburnumring/laburnumring/internal/standin/vmlist"
	"github.com/laburnumring/laburnumring/internal/traffic"
	"github.com/laburnumring/laburnumring/internal/wallclock"
	"github.com/laburnumring/laburnumring/pkg/server"
	"github.com/laburnumring/laburnumring/pkg/service"
	"github.com/laburnumring/laburnumring/pkg/site"
)

// Cluster is one site's product processes and the stand-ins around them, which run in this process.
type Cluster struct {
	o     ClusterOptions
	site  *site.Site
	ports *Ports
	// servers holds the HTTP servers of the stand-ins, serving their goroutines.
	servers []*http.Server
	serving sync.WaitGroup
	// proxies holds the proxy before each agent, by server name.
	proxies map[string]*partition.Proxy
	// engines holds the faults of each model engine, in the order of the servers.
	engines []*control.Control
	// agents and routers hold the product's processes, by server name and in order.
	agents  map[string]*fleet.Process
	routers []*fleet.Process
	// nodes holds the own address of each agent and router, by role.
	agentNodes  []string
	routerNodes []string
	platform    string
}

// ClusterOptions are the settings of a Cluster.
type ClusterOptions struct {
	// Site is the site's size.
	Site Site
	// Policy is the policy of all processes.
	Policy laburnumring.Policy
	// Bin is the directory with the product and Dir one for settings and logs.
	Bin string
	Dir string
	// Truth observes the engines.
	Truth *Truth
	// AgentSettings are further lines of the agents' settings files.
	AgentSettings string
}

const (
	readyLimit    = 15 * time.Second
	pollPause     = 20 * time.Millisecond
	plainDuration = 5 * time.Millisecond
	vmLag         = time.Second
	appendsPerS   = 400
)

// StartCluster starts everything and waits until every router is ready.
func StartCluster(ctx context.Context, ports *Ports, o ClusterOptions) (*Cluster, error) {
	c := &Cluster{
		o: o, site: o.Site.configuration(), ports: ports,
		proxies: make(map[string]*partition.Proxy), agents: make(map[string]*fleet.Process),
	}
	if err := c.start(ctx); err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}

// Stop ends the product's processes and the stand-ins.
func (c *Cluster) Stop() {
	var wg sync.WaitGroup
	for _, p := range c.agents {
		wg.Go(p.Kill)
	}
	for _, p := range c.routers {
		wg.Go(p.Kill)
	}
	wg.Wait()
	for _, p := range c.proxies {
		p.Close()
	}
	for _, s := range c.servers {
		_ = s.Close()
	}
	c.serving.Wait()
}

// Slow divides the speed of the i-th model engine by factor.
func (c *Cluster) Slow(i int, factor float64) { c.engines[i].Set(control.Faults{LoadFactor: factor}) }

// SetCut cuts the agents of a place off from everyone, or joins them again.
func (c *Cluster) SetCut(place string, cut bool) {
	for _, s := range c.site.Servers() {
		if s.Place() == place {
			c.proxies[s.Name()].SetCut(cut)
		}
	}
}

// RestartRootAndRouter kills the agent that is first in the tree and the first router, and starts both again.
func (c *Cluster) RestartRootAndRouter() error {
	root := c.agents[share.RankedServers(c.site, c.o.Site.modelService)[0]]
	for _, p := range []*fleet.Process{root, c.routers[0]} {
		p.Kill()
		if err := p.Restart(); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) start(ctx context.Context) error {
	if err := os.MkdirAll(c.o.Dir, 0o700); err != nil {
		return err
	}
	if err := c.startPlatform(); err != nil {
		return err
	}
	if err := c.startServers(c.o.Site.modelService, service.Model, c.o.Site.modelServers); err != nil {
		return err
	}
	if err := c.startServers(c.o.Site.plainService, service.Plain, c.o.Site.plainServers); err != nil {
		return err
	}
	for i := range c.o.Site.routers {
		if err := c.startRouter(i); err != nil {
			return err
		}
	}
	if err := c.publish(ctx); err != nil {
		return err
	}
	return c.awaitReady(ctx)
}

func (c *Cluster) startPlatform() error {
	ctl := &control.Control{}
	m := mux.NewRouter()
	m.PathPrefix("/v1/vms").Handler(vmlist.New(vmLag, ctl).Handler())
	m.PathPrefix("/").Handler(platformlog.New(platformlog.Options{AppendsPerSecond: appendsPerS, Control: ctl}).Handler())
	address, err := c.serve(m)
	c.platform = address
	return err
}

// serve serves h in this process and returns its address.
func (c *Cluster) serve(h http.Handler) (string, error) {
	ln, err := c.ports.Listen()
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: readyLimit}
	c.servers = append(c.servers, s)
	c.serving.Go(func() { _ = s.Serve(ln) })
	return ln.Addr().String(), nil
}

func (c *Cluster) startServers(name string, kind service.Kind, n int) error {
	for i := range n {
		address, err := c.startBackend(kind, i)
		if err != nil {
			return err
		}
		listen, err := c.ports.Next()
		if err != nil {
			return err
		}
		ln, err := c.ports.Listen()
		if err != nil {
			return err
		}
		proxy := partition.New(ln, listen)
		s := c.o.Site.newServer(name, i, address, proxy.Address())
		c.proxies[s.Name()] = proxy
		c.site.AddServers(s)
		if err := c.startAgent(s, kind, listen); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) startBackend(kind service.Kind, i int) (string, error) {
	ctl := &control.Control{}
	if kind == service.Plain {
		return c.serve(plainservice.New(plainDuration, ctl).Handler())
	}
	c.engines = append(c.engines, ctl)
	e := engine.New(engine.Options{
		StepMs: stepMs, PerRequestMs: perRequestMs, Control: ctl, Observer: c.o.Truth.Engine(i),
	})
	return c.serve(e.Handler())
}

func (c *Cluster) startAgent(s server.Server, kind service.Kind, listen string) error {
	text := fmt.Sprintf("server: %s\nservice: %s\nplace: %s\nkind: %s\nserver_address: %s\nslots: %d\nlisten: %s\n"+
		"log: %s\ninsecure_loopback: true\npolicy: %s\n%s",
		s.Name(), s.Service(), s.Place(), kind, s.Address(), s.Slots(), listen, c.platform, c.o.Policy, c.o.AgentSettings)
	p, err := c.run(s.Name(), "agent", text)
	if err != nil {
		return err
	}
	c.agents[s.Name()] = p
	c.agentNodes = append(c.agentNodes, listen)
	return nil
}

func (c *Cluster) startRouter(i int) error {
	name := fmt.Sprintf("router-%d", i+1)
	listen, err := c.ports.Next()
	if err != nil {
		return err
	}
	text := fmt.Sprintf("name: %s\nplace: %s\nlisten: %s\nlog: %s\nvms: %s\ncaller_auth: header\ninsecure_loopback: true\npolicy: %s\n",
		name, c.o.Site.places[i%len(c.o.Site.places)], listen, c.platform, c.platform, c.o.Policy)
	p, err := c.run(name, "router", text)
	if err != nil {
		return err
	}
	c.routers = append(c.routers, p)
	c.routerNodes = append(c.routerNodes, listen)
	return nil
}

func (c *Cluster) run(name, role, settings string) (*fleet.Process, error) {
	file := filepath.Join(c.o.Dir, name+".yaml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	return fleet.StartProcess(name, filepath.Join(c.o.Bin, "laburnumring"), filepath.Join(c.o.Dir, name+".log"),
		role, "--settings", file)
}

// publish puts the site's configuration on the log.
func (c *Cluster) publish(ctx context.Context) error {
	text, err := c.site.YAML()
	if err != nil {
		return err
	}
	log := platform.NewLog(c.platform, &traffic.Counter{})
	p := publication.NewPublisher(log, wallclock.New(), pollPause)
	_, err = p.Publish(ctx, publication.Options{ID: "measure", Text: string(text)})
	return err
}

// awaitReady waits until each process answers.
func (c *Cluster) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for _, address := range c.agentNodes {
		if err := await(ctx, "http://"+address+"/healthz"); err != nil {
			return err
		}
	}
	for _, address := range c.routerNodes {
		if err := await(ctx, "http://"+address+"/readyz"); err != nil {
			return err
		}
	}
	return nil
}

func await(ctx context.Context, url string) error {
	for !fleet.Answers(ctx, url) {
		if ctx.Err() != nil {
			return errorx.Decorate(ctx.Err(), "%s does not answer", url)
		}
		time.Sleep(pollPause)
	}
	return nil
}
