package platform_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/platform"
	"github.com/laburnumring/laburnumring/internal/standin/control"
	"github.com/laburnumring/laburnumring/internal/standin/vmlist"
	"github.com/laburnumring/laburnumring/internal/traffic"
)

// TestUnchangedListIsNotResent reads a large VM list several times, with a change and an outage in between, and checks
// that an unchanged list costs few bytes.
func TestUnchangedListIsNotResent(t *testing.T) {
	const vms, maxUnchanged = 1140, 1000
	faults := &control.Control{}
	s := httptest.NewServer(vmlist.New(0, faults).Handler())
	defer s.Close()
	var list []laburnumring.VM
	for i := range vms {
		list = append(list, laburnumring.VM{Address: fmt.Sprintf("10.0.%d.%d", i/250, i%250)})
	}
	put(t, s.URL, list)
	bytesRead := &traffic.Counter{}
	c := platform.NewVMs(strings.TrimPrefix(s.URL, "http://"), bytesRead)
	read := func(wantLeaving bool) int64 {
		before := bytesRead.In()
		got, err := c.VMs(t.Context())
		if err != nil || len(got) != vms || got[7].Leaving != wantLeaving {
			t.Fatalf("%d VMs, error %v", len(got), err)
		}
		return bytesRead.In() - before
	}
	first := read(false)
	unchanged := read(false)
	t.Logf("%d bytes for the list, %d for an unchanged one", first, unchanged)
	if unchanged > maxUnchanged {
		t.Errorf("an unchanged list cost %d bytes", unchanged)
	}
	list[7].Leaving = true
	put(t, s.URL, list)
	read(true)
	faults.Set(control.Faults{Down: true})
	if _, err := c.VMs(t.Context()); err == nil {
		t.Error("no error in an outage")
	}
	faults.Set(control.Faults{})
	if n := read(true); n > maxUnchanged {
		t.Errorf("an unchanged list cost %d bytes after an outage", n)
	}
}

func put(t *testing.T, url string, list []laburnumring.VM) {
	t.Helper()
	data, err := json.Marshal(list)
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequest(http.MethodPut, url+"/v1/vms", bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
}
