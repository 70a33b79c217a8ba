package backend_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/backend"
)

// closingServer runs every request, answers the first and closes the connection of all later ones unanswered.
func closingServer(t *testing.T) (string, *atomic.Int32) {
	var runs atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if runs.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://"), &runs
}

type discard struct{}

func (discard) Head(int, string)   {}
func (discard) Data([]byte, int64) {}

// TestServerClosesKeptConnection proves that a request whose kept connection the server closes is sent once.
// The client of the standard library, used plainly, sends it twice: that shows that the server provokes it.
func TestServerClosesKeptConnection(t *testing.T) {
	requests := []laburnumring.BackendRequest{
		{ID: "keyed", Method: http.MethodPost, Path: "/bookings", Key: "k", Body: []byte("hull 1")},
		{ID: "keyed without a body", Method: http.MethodPost, Path: "/bookings", Key: "k"},
		{ID: "get", Method: http.MethodGet, Path: "/bookings"},
		{ID: "get with a body", Method: http.MethodGet, Path: "/bookings", Body: []byte("hull 1")},
	}
	for _, r := range requests {
		t.Run(r.ID, func(t *testing.T) {
			if n := runsOf(t, r, sendPlainly); n != 2 {
				t.Fatalf("the plain client made %d runs of one request, not 2: the test proves nothing", n)
			}
			if n := runsOf(t, r, sendOurs); n != 1 {
				t.Fatalf("one request ran %d times", n)
			}
		})
	}
}

// runsOf returns how often the second request on one connection ran.
func runsOf(t *testing.T, r laburnumring.BackendRequest, newSend func(string) func(laburnumring.BackendRequest) error) int32 {
	address, runs := closingServer(t)
	send := newSend(address)
	if err := send(r); err != nil {
		t.Fatal(err)
	}
	if err := send(r); err == nil {
		t.Fatal("a closed connection gave an answer")
	}
	return runs.Load() - 1
}

func sendOurs(address string) func(laburnumring.BackendRequest) error {
	p := backend.NewPlain(address)
	return func(r laburnumring.BackendRequest) error {
		err := p.Run(context.Background(), r, discard{})
		var died *backend.DiedError
		if errors.As(err, &died) && died.NeverSent {
			return errors.New("a request that ran was reported as never sent")
		}
		return err
	}
}

func sendPlainly(address string) func(laburnumring.BackendRequest) error {
	hc := &http.Client{Transport: &http.Transport{}}
	return func(r laburnumring.BackendRequest) error {
		req, err := http.NewRequest(r.Method, "http://"+address+r.Path, strings.NewReader(string(r.Body)))
		if err != nil {
			return err
		}
		if r.Key != "" {
			req.Header.Set(backend.KeyHeader, r.Key)
		}
		resp, err := hc.Do(req)
		if err != nil {
			return err
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		return resp.Body.Close()
	}
}
