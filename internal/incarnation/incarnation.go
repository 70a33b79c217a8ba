// Package incarnation names the runs of processes.
package incarnation

import (
	"crypto/rand"
	"encoding/hex"
)

// nameBytes is the length of a name before it is written in hex.
const nameBytes = 8

// New returns a name that no other run of any process has.
func New() string {
	p := make([]byte, nameBytes)
	_, _ = rand.Read(p)
	return hex.EncodeToString(p)
}
