package backend_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/backend"
	"github.com/laburnumring/laburnumring/internal/run"
)

// endDelay is the time between an answer's last line and the end of its stream.
const endDelay = 5 * time.Millisecond

// TestEngineConnectionIsReused sends requests to an engine one after the other. All must use one connection, although
// the engine ends each stream some time after the answer's last line.
func TestEngineConnectionIsReused(t *testing.T) {
	var opened atomic.Int64
	engine := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "{\"text\":\"ab\",\"units\":1}\n{\"done\":true,\"length\":2}\n")
		_ = http.NewResponseController(w).Flush()
		time.Sleep(endDelay)
	}))
	engine.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			opened.Add(1)
		}
	}
	engine.Start()
	defer engine.Close()
	m := backend.NewModel(strings.TrimPrefix(engine.URL, "http://"))
	for range 5 {
		if err := m.Run(t.Context(), laburnumring.BackendRequest{ID: "r"}, run.New(run.Options{})); err != nil {
			t.Fatal(err)
		}
	}
	if n := opened.Load(); n != 1 {
		t.Errorf("%d connections for 5 requests, want 1", n)
	}
}
