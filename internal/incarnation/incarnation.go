// Package incarnation creates ids for the runs of a process, so that others can distinguish a restarted process from
// its earlier run.
package incarnation

import (
	"crypto/rand"
	"encoding/hex"
)

// idBytes is the length of an id before hex encoding.
const idBytes = 8

// New returns a random id that no other run of any process has.
func New() string {
	p := make([]byte, idBytes)
	_, _ = rand.Read(p)
	return hex.EncodeToString(p)
}
