package platform

import (
	"context"
	"net/http"

	"github.com/laburnumring/laburnumring"
)

// VMs is a client of the platform's VM list.
type VMs struct {
	address string
	hc      *http.Client
}

var _ laburnumring.VMLister = (*VMs)(nil)

// NewVMs returns a client of the VM list at address.
func NewVMs(address string) *VMs {
	return &VMs{address: address, hc: &http.Client{}}
}

// VMs implements laburnumring.VMLister.
func (v *VMs) VMs(ctx context.Context) ([]laburnumring.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var out []laburnumring.VM
	err := call(ctx, v.hc, http.MethodGet, "http://"+v.address+"/v1/vms", nil, &out)
	return out, err
}
