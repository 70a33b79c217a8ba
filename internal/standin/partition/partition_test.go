package partition_test

import (
	"io"
	"net"
	"testing"

	"github.com/laburnumring/laburnumring/internal/standin/partition"
)

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

// echoes reports whether one byte sent to the echo server through the proxy comes back.
func echoes(address string) bool {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	if _, err := c.Write([]byte("x")); err != nil {
		return false
	}
	_, err = io.ReadFull(c, make([]byte, 1))
	return err == nil
}

// TestCutClosesOpenConnections checks that a partition closes open connections and refuses new ones, and that the proxy
// forwards again after it ends.
func TestCutClosesOpenConnections(t *testing.T) {
	echo := listen(t)
	go func() {
		for {
			c, err := echo.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	defer func() { _ = echo.Close() }()
	p := partition.New(listen(t), echo.Addr().String())
	defer p.Close()
	open, err := net.Dial("tcp", p.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = open.Close() }()
	if !echoes(p.Address()) {
		t.Fatal("the proxy does not forward bytes before the cut")
	}
	p.SetCut(true)
	if _, err := io.ReadFull(open, make([]byte, 1)); err == nil {
		t.Fatal("an open connection survived the cut")
	}
	if echoes(p.Address()) {
		t.Fatal("the proxy forwards bytes during the cut")
	}
	p.SetCut(false)
	if !echoes(p.Address()) {
		t.Fatal("the proxy does not forward bytes after the cut ended")
	}
}
