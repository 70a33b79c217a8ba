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

// TestStartNotResentOnClosedConnection checks that a start message is sent only once when the agent closes the idle
// connection on which it is sent. A client that passes the idempotency key as a header, with a body that can be
// rewound, sends the message twice, because net/http then resends it. The test shows this with a plain client.
func TestStartNotResentOnClosedConnection(t *testing.T) {
	message := peer.StartMessage{Start: ticket.Start{Offer: "a.1", Key: "k"}, Body: []byte("hull 1")}
	r := &Router{dataClient: newDataClient(nil)}
	sendAsRouter := func(address string) error {
		body, err := r.post(t.Context(), address, peer.StartPath, message)
		if err != nil {
			return err
		}
		_, _ = io.Copy(io.Discard, body)
		return body.Close()
	}
	if n := countStarts(t, sendAsRouter); n != 1 {
		t.Errorf("one start reached the agent %d times, want 1", n)
	}
	hc := &http.Client{Transport: &http.Transport{}}
	sendAsPlainClient := func(address string) error {
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
	if n := countStarts(t, sendAsPlainClient); n != 2 {
		t.Errorf("the plain client sent one start %d times, want 2: net/http does not resend, so the test shows nothing", n)
	}
}

// countStarts returns how many times the second message reaches an agent that answers the first message and
// closes the connection on all later ones.
func countStarts(t *testing.T, send func(address string) error) int32 {
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
		t.Fatal("a closed connection returned an answer")
	}
	return starts.Load() - 1
}
