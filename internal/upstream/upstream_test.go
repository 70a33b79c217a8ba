package upstream_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/laburnumring/laburnumring/internal/upstream"
	"github.com/laburnumring/laburnumring/internal/wallclock"
)

// TestMaxIdleByAddress checks that no more idle connections to a server are kept than SetMaxIdle allows, which is this
// router's share of the connections that the server accepts.
func TestMaxIdleByAddress(t *testing.T) {
	const maxIdle, conns = 3, 8
	ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	address := ln.Addr().String()
	p := upstream.New(upstream.Options{Clock: wallclock.New()})
	p.SetMaxIdle(map[string]int{address: maxIdle, "other": 1})
	for range conns {
		if err := p.Check(context.Background(), address); err != nil {
			t.Fatal(err)
		}
	}
	for range conns {
		c, err := p.Get(context.Background(), address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
	}
	dialed := 0
	for ; ; dialed++ {
		if err := ln.SetDeadline(time.Now().Add(500 * time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		c, err := ln.Accept()
		if err != nil {
			break
		}
		t.Cleanup(func() { _ = c.Close() })
	}
	if want := conns + conns - maxIdle; dialed != want {
		t.Errorf("%d connections dialed, want %d", dialed, want)
	}
}
