package agent

import (
	"reflect"
	"testing"
)

// TestEveryCallHasARole finds RPC methods that no role may call under TLS.
func TestEveryCallHasARole(t *testing.T) {
	c := &calls{}
	named := make(map[string]bool)
	for role, receiver := range callsByRole(c) {
		for m := range reflect.TypeOf(receiver).Methods() {
			named[m.Name] = named[m.Name] || role != ""
		}
	}
	for m := range reflect.TypeOf(c).Methods() {
		if !named[m.Name] {
			t.Errorf("no role may call %s", m.Name)
		}
	}
}
