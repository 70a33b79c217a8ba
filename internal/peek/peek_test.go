package peek_test

import (
	"net"
	"testing"
	"time"

	"github.com/laburnumring/laburnumring/internal/peek"
)

func TestLook(t *testing.T) {
	a, b := pair(t)
	if got := peek.Look(a); got != peek.Quiet {
		t.Errorf("state %v, want quiet", got)
	}
	if _, err := b.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	until(t, a, peek.Readable)
	if peek.HungUp(a) {
		t.Error("hung up while the peer is there")
	}
	if _, err := a.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	if err := b.Close(); err != nil {
		t.Fatal(err)
	}
	until(t, a, peek.Closed)
}

// TestHungUp finds that the peer has left behind bytes that are not read yet.
func TestHungUp(t *testing.T) {
	a, b := pair(t)
	if _, err := b.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if err := b.Close(); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(10 * time.Second); !peek.HungUp(a); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not hung up")
		}
	}
	if got := peek.Look(a); got != peek.Readable {
		t.Errorf("state %v, want readable", got)
	}
}

// pair returns both ends of a connection.
func pair(t *testing.T) (a, b net.Conn) {
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

func until(t *testing.T, c net.Conn, want peek.State) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); peek.Look(c) != want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("state %v, want %v", peek.Look(c), want)
		}
	}
}
