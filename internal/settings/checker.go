package settings

import (
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"

	"github.com/joomcode/errorx"

	"github.com/laburnumring/laburnumring/pkg/clock"
	"github.com/laburnumring/laburnumring/pkg/document"
	"github.com/laburnumring/laburnumring/pkg/service"
	"github.com/laburnumring/laburnumring/pkg/site"
)

// addressField is a well-formed address and the name of its field.
type addressField struct {
	field   string
	address netip.AddrPort
}

// checker checks the fields of a settings file and records the first invalid one.
type checker struct {
	doc *document.Document
	// addresses are the well-formed addresses checked so far.
	addresses []addressField
	// err reports the first invalid field; later ones are ignored.
	err *document.FieldError
}

func read(file string, v any) (*checker, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errorx.Decorate(err, "read settings")
	}
	doc, err := document.Parse(file, data, v)
	if err != nil {
		return nil, err
	}
	return &checker{doc: doc}, nil
}

// fail records that the field is invalid. A nested field's name is its path with dots between the parts.
func (c *checker) fail(field, value, allowed string) {
	if c.err != nil {
		return
	}
	var path []any
	for step := range strings.SplitSeq(field, ".") {
		path = append(path, step)
	}
	c.err = c.doc.Fault(value, allowed, path...)
}

func (c *checker) result() error {
	if c.err == nil {
		return nil
	}
	return c.err
}

func (c *checker) name(field, value string) {
	if !site.ValidName(value) {
		c.fail(field, value, "lower-case letters, digits and hyphens, at most 63, from letter or digit to letter or digit")
	}
}

// address checks an address to connect to, which needs a port.
func (c *checker) address(field, value string) {
	a, err := netip.ParseAddrPort(value)
	if err != nil || a.Port() == 0 {
		c.fail(field, value, "an IP address and a port from 1 to 65535")
		return
	}
	c.addresses = append(c.addresses, addressField{field, a})
}

// listen checks an address to listen on; port 0 lets the system choose.
func (c *checker) listen(field, value string) {
	a, err := netip.ParseAddrPort(value)
	if err != nil {
		c.fail(field, value, "an IP address and a port from 0 to 65535")
		return
	}
	c.addresses = append(c.addresses, addressField{field, a})
}

func (c *checker) number(field string, n, low, high int) {
	if n < low || n > high {
		c.fail(field, strconv.Itoa(n), fmt.Sprintf("a whole number from %d to %d", low, high))
	}
}

func (c *checker) kind(k service.Kind) {
	if k != service.Model && k != service.Plain {
		c.fail("kind", string(k), "model or plain")
	}
}

func (c *checker) auth(a *Auth) {
	if *a == "" {
		*a = TokenAuth
	}
	if *a != TokenAuth && *a != HeaderAuth {
		c.fail("caller_auth", string(*a), "token or header")
	}
}

// linkSecurity checks that connections between processes either use TLS or stay on loopback. It must be called after
// all addresses have been checked.
func (c *checker) linkSecurity(t *TLS, insecure bool) {
	if t != nil && insecure {
		c.fail("insecure_loopback", "true", "false beside tls")
		return
	}
	if t != nil {
		c.keyPair("tls", *t)
		c.pemFile("tls.authority", t.Authority)
		return
	}
	if !insecure {
		c.fail("tls", "", "certificate, key and authority, unless insecure_loopback is true")
		return
	}
	for _, a := range c.addresses {
		if !a.address.Addr().IsLoopback() {
			c.fail(a.field, a.address.String(), "a loopback address while insecure_loopback is true")
		}
	}
}

func (c *checker) keyPair(field string, t TLS) {
	c.pemFile(field+".certificate", t.Certificate)
	c.pemFile(field+".key", t.Key)
}

func (c *checker) pemFile(field, value string) {
	if value == "" {
		c.fail(field, value, "the path of a PEM file")
	}
}

func (c *checker) logFormat(value string) {
	switch value {
	case "", "text", "logfmt", "json":
	default:
		c.fail("log_format", value, "text, logfmt or json")
	}
}

func (c *checker) shutdownLimit(m *clock.Millis) {
	if *m == 0 {
		*m = defaultShutdownLimit
	}
	if *m < 0 || *m > maxShutdownLimit {
		c.fail("shutdown_limit_ms", strconv.FormatInt(int64(*m), 10), "a whole number from 0 to 86400000")
	}
}

func (c *checker) logRetention(m *clock.Millis) {
	if *m == 0 {
		*m = defaultLogRetention
	}
	if *m < 0 {
		c.fail("log_retention_ms", strconv.FormatInt(int64(*m), 10), "a whole number from 0")
	}
}
