package membership

import (
	"net/netip"

	"github.com/laburnumring/laburnumring"
)

// vmList is the platform's VM list, indexed by address. An entry with a port stands for the process that listens
// there, an entry without a port for the whole VM.
type vmList struct {
	// processes and vms hold whether each entry is leaving.
	processes map[netip.AddrPort]bool
	vms       map[netip.Addr]bool
}

// newVMList returns the list of entries. It skips those without a valid IP address.
func newVMList(entries []laburnumring.VM) vmList {
	l := vmList{processes: make(map[netip.AddrPort]bool), vms: make(map[netip.Addr]bool)}
	for _, vm := range entries {
		if process, err := netip.ParseAddrPort(vm.Address); err == nil {
			l.processes[unmapIPv4(process)] = vm.Leaving
			continue
		}
		if address, err := netip.ParseAddr(vm.Address); err == nil {
			l.vms[address.Unmap()] = vm.Leaving
		}
	}
	return l
}

// lookup reports whether the list has an entry for the address of an agent or of its backend server, and whether
// such an entry is leaving.
func (l vmList) lookup(agent, server string) (leaving, ok bool) {
	for _, address := range []string{agent, server} {
		process, err := netip.ParseAddrPort(address)
		if err != nil {
			continue
		}
		process = unmapIPv4(process)
		if v, named := l.processes[process]; named {
			leaving = leaving || v
			ok = true
		}
		if v, named := l.vms[process.Addr()]; named {
			leaving = leaving || v
			ok = true
		}
	}
	return leaving, ok
}

// unmapIPv4 replaces an IPv4-mapped IPv6 address by the IPv4 address, so that equal addresses compare as equal.
func unmapIPv4(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}
