package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"

	"github.com/joomcode/errorx"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/traffic"
)

// VMs is a client of the platform's VM list. It is safe for concurrent use.
type VMs struct {
	address string
	hc      *http.Client

	mu sync.Mutex
	// tag is the entity tag (ETag) of list; empty if the platform gave none.
	tag  string
	list []laburnumring.VM
}

var _ laburnumring.VMLister = (*VMs)(nil)

// NewVMs returns a client of the VM list at address. It counts its traffic in c.
func NewVMs(address string, c *traffic.Counter) *VMs {
	return &VMs{address: address, hc: &http.Client{Transport: c.Transport()}}
}

// VMs implements laburnumring.VMLister. If the platform gives entity tags, it does not send a list again that has not
// changed since the last call.
func (v *VMs) VMs(ctx context.Context) ([]laburnumring.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	v.mu.Lock()
	defer v.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.address+"/v1/vms", http.NoBody)
	if err != nil {
		return nil, err
	}
	if v.tag != "" {
		req.Header.Set("If-None-Match", v.tag)
	}
	resp, err := v.hc.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	switch {
	case resp.StatusCode == http.StatusNotModified && v.tag != "":
		return slices.Clone(v.list), nil
	case resp.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("read VM list: status %d", resp.StatusCode)
	}
	return v.storeList(resp)
}

// storeList decodes the list of a response, stores it with its entity tag and returns a copy. v.mu must be held.
func (v *VMs) storeList(resp *http.Response) ([]laburnumring.VM, error) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, errorx.Decorate(err, "read VM list")
	}
	var list []laburnumring.VM
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, errorx.Decorate(err, "read VM list")
	}
	v.list = list
	v.tag = resp.Header.Get("ETag")
	return slices.Clone(list), nil
}
