// Package server describes the backend servers that run requests.
package server

// Options are the settings of a Server.
type Options struct {
	// Service names the service that the server belongs to.
	Service string
	// Place is the name of the data centre of its VM.
	Place string
	// Address is the server's own IP address and port.
	Address string
	// Agent is the IP address and port of its agent, which runs on the same VM.
	Agent string
	// Slots is the most requests that the server may run at once; 8 when zero.
	Slots int
	// ChecksFencing is set if the server refuses orders with an old fencing number.
	ChecksFencing bool
}

const defaultSlots = 8

// Server is one backend server and its agent.
type Server struct {
	// name is unique in a site.
	name string
	// o.Slots is positive in a checked site.
	o Options
}

// New returns the backend server called name.
func New(name string, o Options) Server {
	if o.Slots == 0 {
		o.Slots = defaultSlots
	}
	return Server{name: name, o: o}
}

// Name returns the server's unique name.
func (s Server) Name() string { return s.name }

// Service returns the name of the service that the server belongs to.
func (s Server) Service() string { return s.o.Service }

// Place returns the name of the server's place.
func (s Server) Place() string { return s.o.Place }

// Address returns the server's own IP address and port.
func (s Server) Address() string { return s.o.Address }

// Agent returns the IP address and port of the server's agent.
func (s Server) Agent() string { return s.o.Agent }

// Slots returns the most requests that the server may run at once.
func (s Server) Slots() int { return s.o.Slots }

// ChecksFencing reports whether the server refuses orders with an old fencing number.
func (s Server) ChecksFencing() bool { return s.o.ChecksFencing }
