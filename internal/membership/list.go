package membership

import (
	"net/netip"

	"github.com/laburnumring/laburnumring"
)

// list is a VM list, searched by address. An entry with a port stands for the process that listens there, one
// without a port for the whole VM.
type list struct {
	// processes and vms tell whether the entry is leaving.
	processes map[netip.AddrPort]bool
	vms       map[netip.Addr]bool
}

// newList returns the list of the entries whose addresses can be read.
func newList(entries []laburnumring.VM) list {
	l := list{processes: make(map[netip.AddrPort]bool), vms: make(map[netip.Addr]bool)}
	for _, vm := range entries {
		if process, err := netip.ParseAddrPort(vm.Address); err == nil {
			l.processes[normal(process)] = vm.Leaving
			continue
		}
		if address, err := netip.ParseAddr(vm.Address); err == nil {
			l.vms[address.Unmap()] = vm.Leaving
		}
	}
	return l
}

// find reports whether the list names the VM of an agent and its backend server, and shows it as leaving.
func (l list) find(agent, server string) (leaving, ok bool) {
	for _, address := range []string{agent, server} {
		process, err := netip.ParseAddrPort(address)
		if err != nil {
			continue
		}
		process = normal(process)
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

// normal writes an IPv4 address in one way only.
func normal(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}
