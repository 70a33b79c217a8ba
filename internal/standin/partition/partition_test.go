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

// answers sends one byte through the proxy and reports whether it comes back.
func answers(address string) bool {
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

// TestCutEndsOpenConnections checks that a cut ends what is open, refuses what is new, and can be undone.
func TestCutEndsOpenConnections(t *testing.T) {
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
	if !answers(p.Address()) {
		t.Fatal("the open proxy does not pass bytes on")
	}
	p.SetCut(true)
	if _, err := io.ReadFull(open, make([]byte, 1)); err == nil {
		t.Fatal("an open connection outlived the cut")
	}
	if answers(p.Address()) {
		t.Fatal("the cut proxy passes bytes on")
	}
	p.SetCut(false)
	if !answers(p.Address()) {
		t.Fatal("the joined proxy does not pass bytes on")
	}
}
