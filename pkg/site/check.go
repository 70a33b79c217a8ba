package site

import (
	"net/netip"
	"regexp"
	"strconv"

	"github.com/laburnumring/laburnumring/pkg/document"
	"github.com/laburnumring/laburnumring/pkg/service"
)

// Limits of a site's values and descriptions of valid ones.
const (
	maxWeight        = 1_000_000
	maxAttempts      = 10
	maxQueueLimit    = 100_000
	maxSlots         = 4096
	maxKeyWindowMs   = 24 * 3600 * 1000
	maxBudgetPercent = 100

	nameAllowed    = "lower-case letters, digits and hyphens, at most 63, from letter or digit to letter or digit"
	addressAllowed = "an IP address and a port from 1 to 65535"
)

var (
	namePattern  = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	tokenPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// ValidName reports whether name is valid for a site, team, service, place, region or server.
func ValidName(name string) bool {
	return namePattern.MatchString(name)
}

// ValidAddress reports whether address is an IP address with a port.
func ValidAddress(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Port() != 0
}

// Check checks the site by printing it and reading it back. The error is of type *document.FieldError unless the site
// cannot be printed.
func (s *Site) Check() error {
	data, err := s.YAML()
	if err != nil {
		return err
	}
	_, err = Parse(s.name, data)
	return err
}

// checker checks the fields of a site's document and records the first invalid one.
type checker struct {
	doc *document.Document
	// err reports the first invalid field; later ones are ignored.
	err *document.FieldError
}

func (c *checker) fail(value, allowed string, path ...any) {
	if c.err == nil {
		c.err = c.doc.Fault(value, allowed, path...)
	}
}

func (c *checker) name(seen map[string]bool, name string, path ...any) {
	if !ValidName(name) {
		c.fail(name, nameAllowed, path...)
	}
	if seen[name] {
		c.fail(name, "a name that no other entry of the list has", path...)
	}
	seen[name] = true
}

func (c *checker) number(n, low, high int, path ...any) {
	if n < low || n > high {
		c.fail(strconv.Itoa(n), "a whole number from "+strconv.Itoa(low)+" to "+strconv.Itoa(high), path...)
	}
}

func (c *checker) known(known map[string]bool, name, what string, path ...any) {
	if !known[name] {
		c.fail(name, "the name of a "+what+" of this site", path...)
	}
}

func (c *checker) address(seen map[string]bool, address string, path ...any) {
	if !ValidAddress(address) {
		c.fail(address, addressAllowed, path...)
	}
	if seen[address] {
		c.fail(address, "an address that no other entry has", path...)
	}
	seen[address] = true
}

func (s *Site) check(doc *document.Document) error {
	c := &checker{doc: doc}
	if !ValidName(s.name) {
		c.fail(s.name, nameAllowed, "site")
	}
	s.checkTeams(c)
	services := s.checkServices(c)
	places := s.checkPlaces(c)
	s.checkServers(c, services, places)
	if c.err != nil {
		return c.err
	}
	return nil
}

func (s *Site) checkTeams(c *checker) {
	seen := make(map[string]bool, len(s.teams))
	tokens := make(map[string]bool, len(s.teams))
	for i, t := range s.teams {
		c.name(seen, t.Name(), "teams", i, "name")
		c.number(t.Weight(), 1, maxWeight, "teams", i, "weight")
		if t.TokenSHA256() != "" && !tokenPattern.MatchString(t.TokenSHA256()) {
			c.fail(t.TokenSHA256(), "64 lower-case hex digits", "teams", i, "token_sha256")
		}
		if t.TokenSHA256() != "" && tokens[t.TokenSHA256()] {
			c.fail(t.TokenSHA256(), "a digest that no other team has", "teams", i, "token_sha256")
		}
		tokens[t.TokenSHA256()] = true
	}
}

func (s *Site) checkServices(c *checker) map[string]bool {
	seen := make(map[string]bool, len(s.services))
	for i, v := range s.services {
		c.name(seen, v.Name(), "services", i, "name")
		if v.Kind() != service.Model && v.Kind() != service.Plain {
			c.fail(string(v.Kind()), "model or plain", "services", i, "kind")
		}
		c.number(v.Retry().MaxAttempts(), 1, maxAttempts, "services", i, "retry", "max_attempts")
		c.number(v.Retry().BudgetPercent(), 0, maxBudgetPercent, "services", i, "retry", "budget_percent")
		c.number(v.QueueLimit(), 1, maxQueueLimit, "services", i, "queue_limit")
		c.number(int(v.KeyWindow()), 1, maxKeyWindowMs, "services", i, "key_window_ms")
	}
	return seen
}

func (s *Site) checkPlaces(c *checker) map[string]bool {
	seen := make(map[string]bool, len(s.places))
	for i, p := range s.places {
		c.name(seen, p.Name(), "places", i, "name")
		if !ValidName(p.Region()) {
			c.fail(p.Region(), nameAllowed, "places", i, "region")
		}
	}
	return seen
}

func (s *Site) checkServers(c *checker, services, places map[string]bool) {
	seen := make(map[string]bool, len(s.servers))
	addresses := make(map[string]bool, len(s.servers))
	for i, v := range s.servers {
		c.name(seen, v.Name(), "servers", i, "name")
		c.known(services, v.Service(), "service", "servers", i, "service")
		c.known(places, v.Place(), "place", "servers", i, "place")
		c.address(addresses, v.Address(), "servers", i, "address")
		c.address(addresses, v.Agent(), "servers", i, "agent")
		c.number(v.Slots(), 1, maxSlots, "servers", i, "slots")
	}
}
