package agent

import "github.com/laburnumring/laburnumring/internal/peer"

// Configuration returns this agent's state of the configuration stream.
func (c *calls) Configuration(_ peer.ConfigurationArgs, reply *peer.Configuration) error {
	a := c.a
	a.mu.Lock()
	s := a.config.State()
	a.mu.Unlock()
	var err error
	*reply, err = peer.NewConfiguration(s)
	return err
}

// AdoptConfiguration applies a router's state of the configuration stream and returns the version now in force.
func (c *calls) AdoptConfiguration(args peer.Configuration, reply *peer.AdoptConfigurationReply) error {
	a := c.a
	s, err := args.State()
	if err != nil {
		return err
	}
	if err := a.follower.Adopt(s, "router"); err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	reply.Version = a.board.Version()
	return nil
}

// configurationChanged records a configuration that came into force, makes the agent available and wakes the
// routers' Offers calls so that they learn the new version. a.mu must be held.
func (a *Agent) configurationChanged() {
	a.recordConfiguration()
	a.setAvailable()
	a.offerFreeSlots(a.o.Clock.Now())
	for _, s := range a.sessions {
		s.notify()
	}
}

// setAvailable makes the agent offer slots only while the server answers and a configuration is in force. a.mu must
// be held.
func (a *Agent) setAvailable() {
	a.admission.SetServerUp(a.serverUp && a.board.Site() != nil)
}
