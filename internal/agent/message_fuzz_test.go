package agent_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/laburnumring/laburnumring/internal/agent"
	"github.com/laburnumring/laburnumring/internal/event"
	"github.com/laburnumring/laburnumring/internal/peer"
	"github.com/laburnumring/laburnumring/internal/ticket"
	"github.com/laburnumring/laburnumring/internal/traffic"
	"github.com/laburnumring/laburnumring/internal/wallclock"
	"github.com/laburnumring/laburnumring/pkg/server"
	"github.com/laburnumring/laburnumring/pkg/service"
)

// FuzzMessage posts arbitrary bytes as start and reattach messages. Nothing may start without an offer.
func FuzzMessage(f *testing.F) {
	for _, m := range []any{
		peer.StartMessage{Start: ticket.Start{Offer: "i.1", Router: "r", Request: "r.1", Attempt: 1}, Body: []byte("x")},
		peer.ReattachMessage{Router: "r", Offer: "i.1", Request: "r.1", Attempt: 1, From: 7},
	} {
		data, err := cbor.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(true, data)
		f.Add(false, data)
		f.Add(true, data[:len(data)/2])
	}
	a, err := agent.New(agent.Options{
		Server: server.New("s", server.Options{Service: "pool"}), Kind: service.Model, Incarnation: "i",
		Clock: wallclock.New(), Logger: event.NewLogger(io.Discard, "text", "agent"), LogTraffic: &traffic.Counter{},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, start bool, data []byte) {
		path := peer.ReattachPath
		if start {
			path = peer.StartPath
		}
		w := httptest.NewRecorder()
		a.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, bytes.NewReader(data)))
		if w.Code == http.StatusOK && bytes.Contains(w.Body.Bytes(), []byte("head")) {
			t.Fatal("an answer was sent without an offer")
		}
	})
}
