package direct

import (
	"bytes"
	"encoding/gob"
	"errors"
	"net"
	"net/rpc"
	"os"
	"testing"
	"time"
)

// TestPeerMessageSizes guards against a message that announces more than a call has, however its bytes arrive, and against
// a limit that real calls exceed.
func TestPeerMessageSizes(t *testing.T) {
	var call bytes.Buffer
	enc := gob.NewEncoder(&call)
	for _, v := range []any{rpc.Request{ServiceMethod: "Peers.Newer", Seq: 1 << 60}, Known{Configuration: 1 << 62, Roster: 1 << 62}} {
		if err := enc.Encode(v); err != nil {
			t.Fatal(err)
		}
	}
	for name, c := range map[string]struct {
		data []byte
		want bool
	}{
		"call":          {call.Bytes(), true},
		"256 megabytes": {append(call.Bytes(), "\xfc\x10\x00\x00\x00"...), false},
		"invalid size":  {[]byte("\x80\xff"), false},
		"over by one":   {[]byte("\xfe\x10\x01"), false},
		"limit":         {append([]byte("\xfe\x10\x00"), make([]byte, maxPeerMessage)...), true},
	} {
		for _, step := range []int{1, 7, len(c.data)} {
			conn := &peerConn{}
			got := true
			for p := c.data; len(p) > 0 && got; p = p[min(step, len(p)):] {
				got = conn.scan(p[:min(step, len(p))])
			}
			if got != c.want {
				t.Errorf("%s in steps of %d: accepted %v", name, step, got)
			}
		}
	}
}

// TestOldestPeerConnectionCloses guards against connections that say nothing and keep peers out.
func TestOldestPeerConnectionCloses(t *testing.T) {
	var s peerConns
	var ends []net.Conn
	for range 3 {
		a, b := net.Pipe()
		t.Cleanup(func() { _, _ = a.Close(), b.Close() })
		ends = append(ends, b)
		s.add(a, 2)
	}
	for i, b := range ends {
		_ = b.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		_, err := b.Read(make([]byte, 1))
		if closed := !errors.Is(err, os.ErrDeadlineExceeded); closed != (i == 0) {
			t.Errorf("connection %d: closed %v", i, closed)
		}
	}
}
