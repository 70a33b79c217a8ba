// Package settings reads the settings of a process.
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"strconv"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/pkg/clock"
	"github.com/laburnumring/laburnumring/pkg/document"
	"github.com/laburnumring/laburnumring/pkg/service"
	"github.com/laburnumring/laburnumring/pkg/site"
)

const (
	defaultShutdownLimit = 10 * clock.Minute
	maxShutdownLimit     = 24 * 60 * clock.Minute
	maxSlots             = 4096
	maxSubsetDegree      = 4096
	defaultLogRetention  = 60 * clock.Minute
)

// Router holds the settings of a router.
type Router struct {
	// Name is the router's name, unique in the site.
	Name string `yaml:"name"`
	// Place is the name of the place where the router's VM stands.
	Place string `yaml:"place"`
	// Listen is the IP address and port for callers.
	Listen string `yaml:"listen"`
	// Log and VMs are the IP addresses and ports of the platform's log and VM list.
	Log string `yaml:"log"`
	VMs string `yaml:"vms"`
	// SubsetDegree is to how many agents of each service the router keeps connections while nothing waits
	// long; 16 when zero.
	SubsetDegree int `yaml:"subset_degree"`
	// LogFormat is text, logfmt or json; text when empty.
	LogFormat string `yaml:"log_format"`
	// Policy chooses the agents for a request; laburnumring when empty.
	Policy laburnumring.Policy `yaml:"policy"`
	// ShutdownLimitMs is the longest that a shutdown waits for requests in progress; ten minutes when zero.
	ShutdownLimitMs clock.Millis `yaml:"shutdown_limit_ms"`
}

// Agent holds the settings of an agent.
type Agent struct {
	// Server is the name of the backend server beside the agent and Service that of its service.
	Server  string `yaml:"server"`
	Service string `yaml:"service"`
	// Place is the name of the place where the VM stands.
	Place string `yaml:"place"`
	// Kind is model or plain.
	Kind service.Kind `yaml:"kind"`
	// ServerAddress is the backend server's IP address and port.
	ServerAddress string `yaml:"server_address"`
	// Slots is the most requests inside the backend server at once.
	Slots int `yaml:"slots"`
	// Listen is the IP address and port for routers.
	Listen string `yaml:"listen"`
	// Log is the IP address and port of the platform's log.
	Log string `yaml:"log"`
	// LogRetentionMs is the least time that the log keeps records; an hour when zero.
	LogRetentionMs clock.Millis `yaml:"log_retention_ms"`
	// Policy decides the order of teams; laburnumring when empty.
	Policy laburnumring.Policy `yaml:"policy"`
	// Share holds the settings of the fair share.
	Share Share `yaml:"share"`
	// LogFormat is text, logfmt or json; text when empty.
	LogFormat string `yaml:"log_format"`
	// ShutdownLimitMs is the longest that a shutdown waits for requests in progress; ten minutes when zero.
	ShutdownLimitMs clock.Millis `yaml:"shutdown_limit_ms"`
}

// ReadRouter reads a router's settings. Its errors are of type *document.FieldError or of reading the file.
func ReadRouter(file string) (Router, error) {
	var r Router
	c, err := read(file, &r)
	if err != nil {
		return Router{}, err
	}
	c.name("name", r.Name)
	c.name("place", r.Place)
	c.address("listen", r.Listen)
	c.address("log", r.Log)
	c.address("vms", r.VMs)
	if r.SubsetDegree < 0 || r.SubsetDegree > maxSubsetDegree {
		c.fail("subset_degree", strconv.Itoa(r.SubsetDegree), "a whole number from 0 to "+strconv.Itoa(maxSubsetDegree))
	}
	c.format(r.LogFormat)
	c.policy(&r.Policy)
	c.limit(&r.ShutdownLimitMs)
	return r, c.result()
}

// ReadAgent reads an agent's settings. Its errors are of type *document.FieldError or of reading the file.
func ReadAgent(file string) (Agent, error) {
	var a Agent
	c, err := read(file, &a)
	if err != nil {
		return Agent{}, err
	}
	c.name("server", a.Server)
	c.name("service", a.Service)
	c.name("place", a.Place)
	if a.Kind != service.Model && a.Kind != service.Plain {
		c.fail("kind", string(a.Kind), "model or plain")
	}
	c.address("server_address", a.ServerAddress)
	if a.Slots < 1 || a.Slots > maxSlots {
		c.fail("slots", strconv.Itoa(a.Slots), "a whole number from 1 to "+strconv.Itoa(maxSlots))
	}
	c.address("listen", a.Listen)
	c.address("log", a.Log)
	c.retention(&a.LogRetentionMs)
	c.format(a.LogFormat)
	c.policy(&a.Policy)
	c.share(&a.Share)
	c.limit(&a.ShutdownLimitMs)
	return a, c.result()
}

// checker keeps the first fault of a settings file.
type checker struct {
	doc *document.Document
	// err is the first fault found; later ones are dropped.
	err *document.FieldError
}

func read(file string, v any) (*checker, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	doc, err := document.Parse(file, data, v)
	if err != nil {
		return nil, err
	}
	return &checker{doc: doc}, nil
}

func (c *checker) fail(field, value, allowed string) {
	if c.err == nil {
		c.err = c.doc.Fault(value, allowed, field)
	}
}

func (c *checker) result() error {
	if c.err == nil {
		return nil
	}
	return c.err
}

func (c *checker) name(field, value string) {
	if !site.ValidName(value) {
		c.fail(field, value, "lower-case letters, digits and hyphens, at most 63")
	}
}

func (c *checker) address(field, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.fail(field, value, "an IP address and a port")
	}
}

func (c *checker) format(value string) {
	switch value {
	case "", "text", "logfmt", "json":
	default:
		c.fail("log_format", value, "text, logfmt or json")
	}
}

func (c *checker) retention(m *clock.Millis) {
	if *m == 0 {
		*m = defaultLogRetention
	}
	if *m < 0 {
		c.fail("log_retention_ms", strconv.FormatInt(int64(*m), 10), "a positive whole number")
	}
}

func (c *checker) limit(m *clock.Millis) {
	if *m == 0 {
		*m = defaultShutdownLimit
	}
	if *m < 0 || *m > maxShutdownLimit {
		c.fail("shutdown_limit_ms", strconv.FormatInt(int64(*m), 10), "a whole number from 1 to 86400000")
	}
}
