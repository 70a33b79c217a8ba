package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/url"
	"os"
	"path/filepath"
	"time"

	"github.com/joomcode/errorx"
)

// Names of the authority's certificate and key files in a directory of trial keys.
const (
	AuthorityFile    = "authority.crt"
	AuthorityKeyFile = "authority.key"
)

const (
	// keyFileMode denies other users access to key files.
	keyFileMode = 0o600
	keyDirMode  = 0o700
	serialBits  = 120
	// clockSkew is how far the clock of a process that checks a new certificate may be behind the issuer's.
	clockSkew = time.Minute
)

// TrialAuthority is a certificate authority for trials and tests of a site. A production site uses its own authority.
type TrialAuthority struct {
	// dir holds the files.
	dir string
	// now is the time of issue: certificates are valid from clockSkew before it.
	now  time.Time
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewTrialAuthority creates an authority that is valid for the given time from now on and writes its files to dir.
func NewTrialAuthority(dir string, now time.Time, validity time.Duration) (*TrialAuthority, error) {
	if err := os.MkdirAll(dir, keyDirMode); err != nil {
		return nil, errorx.Decorate(err, "create key directory")
	}
	t := &TrialAuthority{dir: dir, now: now}
	template, key, err := t.newTemplate("laburnumring trial authority", validity)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	t.key = key
	t.cert = template
	der, err := t.write(template, key, AuthorityFile, AuthorityKeyFile)
	if err != nil {
		return nil, err
	}
	t.cert, err = x509.ParseCertificate(der)
	return t, err
}

// OpenTrialAuthority reads the authority that NewTrialAuthority wrote to dir.
func OpenTrialAuthority(dir string, now time.Time) (*TrialAuthority, error) {
	k, err := Load(Options{
		Certificate: filepath.Join(dir, AuthorityFile),
		Key:         filepath.Join(dir, AuthorityKeyFile),
	})
	if err != nil {
		return nil, err
	}
	key, ok := k.current.cert.PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return nil, &FileError{File: filepath.Join(dir, AuthorityKeyFile), Problem: "not an ECDSA key"}
	}
	return &TrialAuthority{dir: dir, now: now, cert: k.current.cert.Leaf, key: key}, nil
}

// Issue creates a certificate for id with the given validity and writes it to ROLE-NAME.crt and its key to
// ROLE-NAME.key. It returns the options for Load.
func (t *TrialAuthority) Issue(id Identity, validity time.Duration) (Options, error) {
	template, key, err := t.newTemplate(string(id.Role)+" "+id.Name, validity)
	if err != nil {
		return Options{}, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	template.URIs = []*url.URL{id.URI()}
	base := string(id.Role) + "-" + id.Name
	if _, err := t.write(template, key, base+".crt", base+".key"); err != nil {
		return Options{}, err
	}
	return Options{
		Certificate: filepath.Join(t.dir, base+".crt"),
		Key:         filepath.Join(t.dir, base+".key"),
		Authority:   filepath.Join(t.dir, AuthorityFile),
	}, nil
}

func (t *TrialAuthority) newTemplate(name string, validity time.Duration) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, errorx.Decorate(err, "generate key")
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, nil, errorx.Decorate(err, "generate serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    t.now.Add(-clockSkew),
		NotAfter:     t.now.Add(validity),
	}, key, nil
}

// write signs template, writes the certificate and its key, and returns the certificate in DER.
func (t *TrialAuthority) write(template *x509.Certificate, key *ecdsa.PrivateKey, certFile, keyFile string) ([]byte, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, t.cert, key.Public(), t.key)
	if err != nil {
		return nil, errorx.Decorate(err, "sign certificate")
	}
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, errorx.Decorate(err, "encode key")
	}
	if err := t.writePEM(keyFile, "PRIVATE KEY", secret); err != nil {
		return nil, err
	}
	return der, t.writePEM(certFile, "CERTIFICATE", der)
}

// writePEM replaces a file atomically, so that a reader never sees a part of it.
func (t *TrialAuthority) writePEM(name, kind string, data []byte) error {
	path := filepath.Join(t.dir, name)
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data})
	if err := os.WriteFile(path+".new", text, keyFileMode); err != nil {
		return errorx.Decorate(err, "write key file")
	}
	if err := os.Rename(path+".new", path); err != nil {
		return errorx.Decorate(err, "write key file")
	}
	return nil
}
