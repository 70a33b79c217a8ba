package claim

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"

	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Stream returns the name of the log stream that holds a service's claims.
func Stream(service string) string { return "claims." + service }

// digestBytes is the length of the prefix of a key's SHA-256 digest that stands for the key in records.
const digestBytes = 16

// Digest returns the digest of a key that stands for it in records. Its length does not depend on the key's.
func Digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return base64.RawURLEncoding.EncodeToString(sum[:digestBytes])
}

// Kind is the kind of an entry.
type Kind string

// The kinds of entry.
const (
	// KindClaim claims a key for one attempt of a request.
	KindClaim Kind = "claim"
	// KindRelease ends a claim whose request has not started and never will under that claim.
	KindRelease Kind = "release"
	// KindHeld repeats a claim that held its key before the log came back from an older copy without it. It holds the key
	// whatever was claimed since, unless it was released.
	KindHeld Kind = "held"
)

// Entry is one claim or release.
type Entry struct {
	// Kind is one of the Kind constants.
	Kind Kind `json:"kind"`
	// ID is unique in the fleet and over time. An entry that is appended twice has the same ID both times, and a
	// release has that of its claim.
	ID string `json:"id"`
	// Key is the key's digest.
	Key string `json:"key"`
	// KeyTime is when the caller created the key, in Unix milliseconds.
	KeyTime clock.Millis `json:"key_time_ms"`
	// Request and Attempt identify the attempt that the claim is for; a release omits them.
	Request string `json:"request,omitempty"`
	Attempt int    `json:"attempt,omitempty"`
	// Fingerprint identifies the request's content; it is the same for all submissions with that content.
	Fingerprint uint64 `json:"fingerprint,string,omitempty"`
}

// Record is one append: a batch of entries of one agent.
type Record struct {
	// Agent is the agent's incarnation.
	Agent string `json:"agent"`
	// At is when the batch was created by the agent's clock, in Unix milliseconds.
	At clock.Millis `json:"at_ms"`
	// Entries are applied in their order.
	Entries []Entry `json:"entries"`
}

// BadRecordError reports a record that every reader ignores.
type BadRecordError struct {
	// Offset is the record's offset in the stream.
	Offset int64
	// Problem describes what is wrong with the record.
	Problem string
}

// Error implements error.
func (e *BadRecordError) Error() string {
	return fmt.Sprintf("claim record at offset %d: %s", e.Offset, e.Problem)
}

// decode reads a record. Its errors are of type *BadRecordError.
func decode(offset int64, data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, &BadRecordError{Offset: offset, Problem: err.Error()}
	}
	for _, e := range r.Entries {
		if e.ID == "" || e.Key == "" {
			return Record{}, &BadRecordError{Offset: offset, Problem: "entry without id or key"}
		}
		if e.Kind != KindClaim && e.Kind != KindRelease && e.Kind != KindHeld {
			return Record{}, &BadRecordError{Offset: offset, Problem: fmt.Sprintf("kind %q", e.Kind)}
		}
	}
	return r, nil
}
