package commands

import (
	"crypto/tls"

	"github.com/alecthomas/kingpin/v2"

	"github.com/laburnumring/laburnumring/internal/keys"
	"github.com/laburnumring/laburnumring/pkg/document"
)

// operatorFlags are the arguments by which an operator's command proves who gives it.
type operatorFlags struct {
	keys keys.Options
	// insecure is for processes on loopback that run without TLS.
	insecure bool
}

// newOperatorFlags adds the flags to cmd.
func newOperatorFlags(cmd *kingpin.CmdClause) *operatorFlags {
	f := &operatorFlags{}
	cmd.Flag("certificate", "The operator's certificate.").StringVar(&f.keys.Certificate)
	cmd.Flag("key", "The key of the certificate.").StringVar(&f.keys.Key)
	cmd.Flag("authority", "The site's authority.").StringVar(&f.keys.Authority)
	cmd.Flag("insecure-loopback", "Speak to processes on loopback without TLS.").BoolVar(&f.insecure)
	return f
}

// tls returns the operator's side of connections to processes of the given roles; nil without TLS.
func (f *operatorFlags) tls(roles ...keys.Role) (*tls.Config, error) {
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
