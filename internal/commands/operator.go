package commands

import (
	"crypto/tls"

	"github.com/alecthomas/kingpin/v2"

	"github.com/laburnumring/laburnumring/internal/keys"
	"github.com/laburnumring/laburnumring/pkg/document"
)

// operatorFlags holds the credentials with which an operator's command authenticates itself.
type operatorFlags struct {
	keys keys.Options
	// insecure connects to processes on loopback without TLS.
	insecure bool
}

// newOperatorFlags adds the flags to cmd.
func newOperatorFlags(cmd *kingpin.CmdClause) *operatorFlags {
	f := &operatorFlags{}
	cmd.Flag("certificate", "The operator's certificate.").StringVar(&f.keys.Certificate)
	cmd.Flag("key", "The private key of the certificate.").StringVar(&f.keys.Key)
	cmd.Flag("authority", "The certificate of the site's authority.").StringVar(&f.keys.Authority)
	cmd.Flag("insecure-loopback", "Connect to processes on loopback without TLS.").BoolVar(&f.insecure)
	return f
}

// tlsConfig returns the client configuration for connections to processes with one of the roles. It is nil when
// --insecure-loopback is given. An incomplete set of flags is an error of type *document.FieldError.
func (f *operatorFlags) tlsConfig(roles ...keys.Role) (*tls.Config, error) {
	if f.insecure {
		return nil, nil
	}
	if f.keys.Certificate == "" || f.keys.Key == "" || f.keys.Authority == "" {
		return nil, &document.FieldError{
			File: "arguments", Field: "certificate, key, authority", Allowed: "three PEM files, unless --insecure-loopback is given",
		}
	}
	k, err := keys.Load(f.keys)
	if err != nil {
		return nil, err
	}
	return k.Client(roles...), nil
}
