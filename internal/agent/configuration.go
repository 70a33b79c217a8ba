package agent

import "github.com/laburnumring/laburnumring/internal/peer"

// Configuration returns the state of the configuration stream as this agent knows it.
func (c *calls) Configuration(_ peer.ConfigurationArgs, reply *peer.Configuration) error {
	a := c.a
	a.mu.Lock()
	s := a.config.State()
	a.mu.Unlock()
	var err error
	*reply, err = peer.NewConfiguration(s)
	return err
}

// AdoptConfiguration takes a router's state of the configuration stream.
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

// configured takes note of a configuration that came into force, makes the agent available and lets routers know of the new version; callers hold mu.
func (a *Agent) configured() {
	a.noteConfiguration()
	a.setAvailable()
	a.fill(a.o.Clock.Now())
	for _, s := range a.sessions {
		s.notify()
	}
}

// setAvailable offers slots only while the server answers and a configuration is in force; callers hold mu.
func (a *Agent) setAvailable() {
	a.admission.SetServerUp(a.serverUp && a.board.Site() != nil)
}
