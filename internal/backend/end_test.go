package backend_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/backend"
	"github.com/laburnumring/laburnumring/internal/run"
)

// TestAnswerOfCrashedServerLooksComplete reads answers that end with their connection, of a server that lives on and of
// ones that crash in the middle of their answer: their listener is closed before the connection, or some time after it.
func TestAnswerOfCrashedServerLooksComplete(t *testing.T) {
	for name, crash := range map[string]bool{"lives on": false, "crashes": true, "crashes, listener last": true} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = ln.Close() }()
			go func() {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart of the ans")
				if name == "crashes" {
					_ = ln.Close()
				}
				_ = conn.Close()
				if crash {
					time.Sleep(10 * time.Millisecond)
					_ = ln.Close()
				}
			}()
			p := backend.NewPlain(ln.Addr().String())
			err = p.Run(t.Context(), laburnumring.BackendRequest{ID: "r", Method: "GET", Path: "/"}, run.New(run.Options{}))
			var incomplete *backend.IncompleteError
			if got := errors.As(err, &incomplete); got != crash {
				t.Errorf("error %v, want an incomplete answer: %v", err, crash)
			}
		})
	}
}
