// Package keys authenticates connections by TLS certificates. It holds a process's certificate and its certificate
// authorities, and reloads them when their files change.
package keys

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Options are the settings of Keys.
type Options struct {
	// Certificate and Key are the process's own PEM files.
	Certificate string
	Key         string
	// Authority is the PEM file of the authorities whose certificates are accepted from the other side. Without one, no
	// certificate is requested and none is trusted.
	Authority string
	// Now returns the wall time for checks of validity periods; time.Now when nil.
	Now func() time.Time
}

// Keys are one process's keys. They are safe for concurrent use.
type Keys struct {
	o Options

	mu sync.RWMutex
	// current is replaced by each reload; the value it points to never changes.
	current *material
}

// material is the content of the key files as read at one time.
type material struct {
	// raw holds the bytes of the files, to detect a change.
	raw  [3][]byte
	cert tls.Certificate
	// roots is nil without an authority.
	roots *x509.CertPool
}

// Load reads the key files. Its errors are of type *FileError.
func Load(o Options) (*Keys, error) {
	if o.Now == nil {
		o.Now = time.Now
	}
	m, err := o.read()
	if err != nil {
		return nil, err
	}
	return &Keys{o: o, current: m}, nil
}

func (o Options) read() (*material, error) {
	m := &material{}
	for i, file := range []string{o.Certificate, o.Key, o.Authority} {
		if file == "" {
			continue
		}
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, &FileError{File: file, Problem: err.Error()}
		}
		m.raw[i] = data
	}
	cert, err := tls.X509KeyPair(m.raw[0], m.raw[1])
	if err != nil {
		return nil, &FileError{File: o.Certificate, Problem: err.Error()}
	}
	m.cert = cert
	if o.Authority == "" {
		return m, nil
	}
	m.roots = x509.NewCertPool()
	if !m.roots.AppendCertsFromPEM(m.raw[2]) {
		return nil, &FileError{File: o.Authority, Problem: "no certificate in PEM"}
	}
	return m, nil
}

// Reload reads the files again and reports whether they changed. After an error, of type *FileError, the previous
// keys stay in use.
func (k *Keys) Reload() (bool, error) {
	m, err := k.o.read()
	if err != nil {
		return false, err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if slices.EqualFunc(m.raw[:], k.current.raw[:], bytes.Equal) {
		return false, nil
	}
	k.current = m
	return true, nil
}

// Watch calls Reload at each interval until ctx ends. It calls report with nil after a change and with the error after
// a failure.
func (k *Keys) Watch(ctx context.Context, interval time.Duration, report func(error)) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		changed, err := k.Reload()
		if changed || err != nil {
			report(err)
		}
	}
}

var _ prometheus.Collector = (*Keys)(nil)

func expiryDesc() *prometheus.Desc {
	return prometheus.NewDesc("laburnumring_certificate_remaining_seconds",
		"Time for which the process's own certificate is still valid.", nil, nil)
}

// Describe implements prometheus.Collector.
func (k *Keys) Describe(ch chan<- *prometheus.Desc) { ch <- expiryDesc() }

// Collect implements prometheus.Collector.
func (k *Keys) Collect(ch chan<- prometheus.Metric) {
	ch <- prometheus.MustNewConstMetric(expiryDesc(), prometheus.GaugeValue, k.Remaining().Duration().Seconds())
}

// Remaining returns the time until the process's own certificate expires, negative after that.
func (k *Keys) Remaining() clock.Millis {
	return clock.FromDuration(k.material().cert.Leaf.NotAfter.Sub(k.o.Now()))
}

func (k *Keys) material() *material {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.current
}

// Server returns the TLS configuration of a listener. With an authority, it accepts only clients whose certificate has
// one of the roles, and clients without a certificate too unless required is set.
func (k *Keys) Server(required bool, roles ...Role) *tls.Config {
	cfg := &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &k.material().cert, nil
		},
	}
	if k.o.Authority == "" {
		return cfg
	}
	cfg.ClientAuth = tls.RequestClientCert
	if required {
		cfg.ClientAuth = tls.RequireAnyClientCert
	}
	cfg.VerifyConnection = func(s tls.ConnectionState) error {
		if !required && len(s.PeerCertificates) == 0 {
			return nil
		}
		return k.verify(s.PeerCertificates, x509.ExtKeyUsageClientAuth, roles)
	}
	return cfg
}

// Client returns the TLS configuration of connections to processes with one of the roles. It checks the role in the
// server's certificate and not the address, because an address may pass to another VM.
func (k *Keys) Client(roles ...Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &k.material().cert, nil
		},
		// VerifyConnection verifies the certificate instead, against the authorities loaded last.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			return k.verify(s.PeerCertificates, x509.ExtKeyUsageServerAuth, roles)
		},
	}
}

// verify checks a certificate chain against the authorities loaded last, and its role. Its errors are of type
// *UntrustedError.
func (k *Keys) verify(chain []*x509.Certificate, usage x509.ExtKeyUsage, roles []Role) error {
	m := k.material()
	if len(chain) == 0 || m.roots == nil {
		return &UntrustedError{Problem: "no certificate or no authority"}
	}
	id, ok := IdentityOf(chain[0])
	if !ok {
		return &UntrustedError{Problem: "it names no role"}
	}
	intermediates := x509.NewCertPool()
	for _, c := range chain[1:] {
		intermediates.AddCert(c)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots:         m.roots,
		Intermediates: intermediates,
		CurrentTime:   k.o.Now(),
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	if err != nil {
		return &UntrustedError{Identity: id, Problem: err.Error()}
	}
	if !slices.Contains(roles, id.Role) {
		return &UntrustedError{Identity: id, Problem: "the role may not connect here"}
	}
	return nil
}
