package router

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/laburnumring/laburnumring/internal/backend"
	"github.com/laburnumring/laburnumring/internal/peer"
	"github.com/laburnumring/laburnumring/internal/ticket"
)

// TestAgentClosesKeptConnection proves that a start whose kept connection the agent closes is sent once. A
// client that passes the key on as a header, with a body that can be rewound, sends it twice.
func TestAgentClosesKeptConnection(t *testing.T) {
	message := peer.StartMessage{Start: ticket.Start{Offer: "a.1", Key: "k"}, Body: []byte("hull 1")}
	r := &Router{data: newDataClient(nil)}
	ours := func(address string) error {
		body, err := r.post(t.Context(), address, peer.StartPath, message)
		if err != nil {
			return err
		}
		_, _ = io.Copy(io.Discard, body)
		return body.Close()
	}
	if n := startsOf(t, ours); n != 1 {
		t.Errorf("one start reached the agent %d times", n)
	}
	hc := &http.Client{Transport: &http.Transport{}}
	plainly := func(address string) error {
		req, err := http.NewRequest(http.MethodPost, "http://"+address+peer.StartPath, bytes.NewReader([]byte("hull 1")))
		if err != nil {
			return err
		}
		req.Header.Set(backend.IdempotencyKeyHeader, "k")
		resp, err := hc.Do(req)
		if err != nil {
			return err
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		return resp.Body.Close()
	}
	if n := startsOf(t, plainly); n != 2 {
		t.Errorf("the plain client sent one start %d times, not twice: the test proves nothing", n)
	}
}

// startsOf returns how often the second message on a kept connection arrives at an agent that answers the
// first and closes the connection of all later ones.
func startsOf(t *testing.T, send func(address string) error) int32 {
	var starts atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if starts.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
	}))
	defer s.Close()
	address := strings.TrimPrefix(s.URL, "http://")
	if err := send(address); err != nil {
		t.Fatal(err)
	}
	if send(address) == nil {
		t.Fatal("a closed connection gave an answer")
	}
	return starts.Load() - 1
}
