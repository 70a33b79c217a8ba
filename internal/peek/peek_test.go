package peek_test

import (
	"net"
	"testing"
	"time"

	"github.com/laburnumring/laburnumring/internal/peek"
)

func TestLook(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	a, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = a.Close() }()
	b, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if got := peek.Look(a); got != peek.Quiet {
		t.Errorf("state %v, want quiet", got)
	}
	if _, err := b.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	until(t, a, peek.Readable)
	if _, err := a.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	if err := b.Close(); err != nil {
		t.Fatal(err)
	}
	until(t, a, peek.Closed)
}

func until(t *testing.T, c net.Conn, want peek.State) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); peek.Look(c) != want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("state %v, want %v", peek.Look(c), want)
		}
	}
}
