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

// endDelay is how long after the last line the engine ends its answer.
const endDelay = 5 * time.Millisecond

// TestEngineConnectionIsUsedAgain runs requests one after the other on an engine.
func TestEngineConnectionIsUsedAgain(t *testing.T) {
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
		t.Errorf("%d connections for 5 answers", n)
	}
}
