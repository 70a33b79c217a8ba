// Package settings reads and checks the settings files of routers and agents.
package settings

import (
	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/pkg/clock"
	"github.com/laburnumring/laburnumring/pkg/service"
)

const (
	defaultShutdownLimit = 10 * clock.Minute
	maxShutdownLimit     = 24 * 60 * clock.Minute
	maxSlots             = 4096
	maxSubsetDegree      = 4096
	defaultLogRetention  = 60 * clock.Minute
)

// TLS names the key files of a process, which are read again when they change.
type TLS struct {
	// Certificate and Key are the process's own PEM files.
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	// Authority is the PEM file of the authorities whose certificates are accepted from the other side.
	Authority string `yaml:"authority"`
}

// Auth says how a router establishes a caller's team.
type Auth string

// The ways to establish a caller's team.
const (
	// TokenAuth takes the team of the caller's bearer token or client certificate.
	TokenAuth Auth = "token"
	// HeaderAuth trusts the team header, for a router that only trusted callers can reach.
	HeaderAuth Auth = "header"
)

// Router holds the settings of a router, which accepts callers' requests and sends them to agents.
type Router struct {
	// Name is the router's name, unique in the site.
	Name string `yaml:"name"`
	// Place is the name of the data centre of the router's VM.
	Place string `yaml:"place"`
	// Listen is the IP address and port for callers.
	Listen string `yaml:"listen"`
	// ControlListen is the IP address and port at which operators get status and metrics; empty for none.
	ControlListen string `yaml:"control_listen"`
	// Log and VMs are the IP addresses and ports of the platform's log and VM list.
	Log string `yaml:"log"`
	VMs string `yaml:"vms"`
	// SubsetDegree is the number of agents of each service to which the router keeps connections while no request
	// waits long; 16 when zero.
	SubsetDegree int `yaml:"subset_degree"`
	// CallerAuth is token or header; token when empty.
	CallerAuth Auth `yaml:"caller_auth"`
	// CallerTLS are the keys of the callers' listener, which serves plain HTTP without them. With an authority, callers
	// may authenticate their team by a client certificate.
	CallerTLS *TLS `yaml:"caller_tls"`
	// TLS are the keys for connections with agents and operators.
	TLS *TLS `yaml:"tls"`
	// InsecureLoopback turns TLS between processes off; all addresses must be loopback then.
	InsecureLoopback bool `yaml:"insecure_loopback"`
	// Seeds are IP addresses and ports of agents from which a router without a configuration requests one.
	Seeds []string `yaml:"seeds"`
	// LogFormat is text, logfmt or json; text when empty.
	LogFormat string `yaml:"log_format"`
	// Policy chooses the agents for a request; laburnumring when empty.
	Policy laburnumring.Policy `yaml:"policy"`
	// ShutdownLimitMs is the longest that a shutdown waits for requests in progress; ten minutes when zero.
	ShutdownLimitMs clock.Millis `yaml:"shutdown_limit_ms"`
}

// Agent holds the settings of an agent, which runs on the VM of one backend server and admits its requests.
type Agent struct {
	// Server is the name of the agent's backend server and Service that of its service.
	Server  string `yaml:"server"`
	Service string `yaml:"service"`
	// Place is the name of the data centre of the VM.
	Place string `yaml:"place"`
	// Kind is model or plain.
	Kind service.Kind `yaml:"kind"`
	// ServerAddress is the backend server's IP address and port.
	ServerAddress string `yaml:"server_address"`
	// Slots is the most requests that run on the backend server at once.
	Slots int `yaml:"slots"`
	// TokenTargetMs is the longest time between two tokens of a request on a model engine; 0 for none.
	TokenTargetMs clock.Millis `yaml:"token_target_ms"`
	// Listen is the IP address and port for routers, agents and operators.
	Listen string `yaml:"listen"`
	// Log is the IP address and port of the platform's log.
	Log string `yaml:"log"`
	// LogRetentionMs is the shortest time for which the log keeps records; an hour when zero.
	LogRetentionMs clock.Millis `yaml:"log_retention_ms"`
	// Policy decides which team's request runs next; laburnumring when empty.
	Policy laburnumring.Policy `yaml:"policy"`
	// Share holds the settings of the fair share.
	Share Share `yaml:"share"`
	// TLS are the keys for connections with routers, agents and operators.
	TLS *TLS `yaml:"tls"`
	// InsecureLoopback turns TLS between processes off; all addresses must be loopback then.
	InsecureLoopback bool `yaml:"insecure_loopback"`
	// LogFormat is text, logfmt or json; text when empty.
	LogFormat string `yaml:"log_format"`
	// ShutdownLimitMs is the longest that a shutdown waits for requests in progress; ten minutes when zero.
	ShutdownLimitMs clock.Millis `yaml:"shutdown_limit_ms"`
}

// ReadRouter reads and checks a router's settings file and fills in defaults. The error is of type *document.FieldError
// unless the file cannot be read.
func ReadRouter(file string) (Router, error) {
	var r Router
	c, err := read(file, &r)
	if err != nil {
		return Router{}, err
	}
	c.name("name", r.Name)
	c.name("place", r.Place)
	c.listen("listen", r.Listen)
	if r.ControlListen != "" {
		c.listen("control_listen", r.ControlListen)
	}
	c.address("log", r.Log)
	c.address("vms", r.VMs)
	for _, seed := range r.Seeds {
		c.address("seeds", seed)
	}
	c.number("subset_degree", r.SubsetDegree, 0, maxSubsetDegree)
	c.auth(&r.CallerAuth)
	if r.CallerTLS != nil {
		c.keyPair("caller_tls", *r.CallerTLS)
	}
	c.linkSecurity(r.TLS, r.InsecureLoopback)
	c.logFormat(r.LogFormat)
	c.policy(&r.Policy)
	c.shutdownLimit(&r.ShutdownLimitMs)
	return r, c.result()
}

// ReadAgent reads and checks an agent's settings file and fills in defaults. The error is of type *document.FieldError
// unless the file cannot be read.
func ReadAgent(file string) (Agent, error) {
	var a Agent
	c, err := read(file, &a)
	if err != nil {
		return Agent{}, err
	}
	c.name("server", a.Server)
	c.name("service", a.Service)
	c.name("place", a.Place)
	c.kind(a.Kind)
	c.address("server_address", a.ServerAddress)
	c.number("slots", a.Slots, 1, maxSlots)
	c.listen("listen", a.Listen)
	c.address("log", a.Log)
	c.logRetention(&a.LogRetentionMs)
	c.linkSecurity(a.TLS, a.InsecureLoopback)
	c.logFormat(a.LogFormat)
	c.policy(&a.Policy)
	c.share(&a.Share)
	c.tokenTarget(a.TokenTargetMs)
	c.shutdownLimit(&a.ShutdownLimitMs)
	return a, c.result()
}
