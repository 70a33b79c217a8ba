package peer_test

import (
	"crypto/tls"
	"errors"
	"testing"

	"github.com/laburnumring/laburnumring/internal/peer"
)

// TestDialerLoopbackOnly checks which addresses the dialer allows. It opens no connections.
func TestDialerLoopbackOnly(t *testing.T) {
	for address, allowed := range map[string]bool{
		"127.0.0.1:1": true, "[::1]:1": true, "192.0.2.1:1": false, "[2001:db8::1]:1": false,
	} {
		err := peer.Dialer(nil, 0).Control("tcp", address, nil)
		var insecure *peer.InsecureAddressError
		if errors.As(err, &insecure) == allowed {
			t.Errorf("%s: error %v", address, err)
		}
	}
	if peer.Dialer(&tls.Config{MinVersion: tls.VersionTLS13}, 0).Control != nil {
		t.Error("the dialer restricts addresses under TLS too")
	}
}
