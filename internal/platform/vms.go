package platform

import (
	"context"
	"net/http"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/traffic"
)

// VMs is a client of the platform's VM list.
type VMs struct {
	address string
	hc      *http.Client
}

var _ laburnumring.VMLister = (*VMs)(nil)

// NewVMs returns a client of the VM list at address whose bytes are counted by c.
func NewVMs(address string, c *traffic.Counter) *VMs {
	return &VMs{address: address, hc: &http.Client{Transport: c.Transport()}}
}

// VMs implements laburnumring.VMLister.
func (v *VMs) VMs(ctx context.Context) ([]laburnumring.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var out []laburnumring.VM
	err := call(ctx, v.hc, http.MethodGet, "http://"+v.address+"/v1/vms", nil, &out)
	return out, err
}
