package router

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/laburnumring/laburnumring/internal/caller"
	"github.com/laburnumring/laburnumring/pkg/header"
)

// deadlineRecorder records the last write deadline.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadline time.Time
}

// SetWriteDeadline implements a method that http.ResponseController looks for.
func (d *deadlineRecorder) SetWriteDeadline(t time.Time) error {
	d.deadline = t
	return nil
}

// SetReadDeadline implements a method that http.ResponseController looks for.
func (d *deadlineRecorder) SetReadDeadline(time.Time) error { return nil }

// TestWriteDeadline checks how long a caller that does not read the response can block its handler.
func TestWriteDeadline(t *testing.T) {
	r, _ := newCallersRouter(t, caller.Credentials, longTimeout)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	req := goodRequest(ctx, "router")
	req.URL.Host = ""
	req.Header.Set(header.Deadline, "1500")
	w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
	before := time.Now()
	r.Handler().ServeHTTP(w, req)
	span := (1500 + answerGrace).Duration()
	if w.deadline.Before(before.Add(span)) || w.deadline.After(time.Now().Add(span)) {
		t.Errorf("deadline %v after the request's arrival, want %v", w.deadline.Sub(before), span)
	}
}
