package peek_test

import (
	"net"
	"testing"
	"time"

	"github.com/laburnumring/laburnumring/internal/peek"
)

func TestCheck(t *testing.T) {
	a, b := connPair(t)
	if got := peek.Check(a); got != peek.Idle {
		t.Errorf("state %v, want idle", got)
	}
	if _, err := b.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	waitFor(t, a, peek.Readable)
	if peek.HungUp(a) {
		t.Error("HungUp reports true before the peer has closed")
	}
	if _, err := a.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	if err := b.Close(); err != nil {
		t.Fatal(err)
	}
	waitFor(t, a, peek.Closed)
}

// TestHungUp checks that the peer's close is detected although bytes that it sent before have not been read.
func TestHungUp(t *testing.T) {
	a, b := connPair(t)
	if _, err := b.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if err := b.Close(); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(10 * time.Second); !peek.HungUp(a); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("HungUp does not report the peer's close")
		}
	}
	if got := peek.Check(a); got != peek.Readable {
		t.Errorf("state %v, want readable", got)
	}
}

// connPair returns both ends of a connection.
func connPair(t *testing.T) (a, b net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	a, err = net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = a.Close() })
	b, err = ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return a, b
}

func waitFor(t *testing.T, c net.Conn, want peek.State) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); peek.Check(c) != want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("state %v, want %v", peek.Check(c), want)
		}
	}
}
