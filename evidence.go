package laburnumring

import "context"

// EvidenceLog keeps on the platform what routers know of requests that crash backend servers, for the time after a
// restart of all routers. Several routers write it, as some of them may not reach the platform; each replaces a record of
// its own.
type EvidenceLog interface {
	// Evidence reads the records of all writers.
	Evidence(ctx context.Context) ([][]byte, error)
	// SetEvidence replaces the record of a writer, or removes it if the new one is empty. After an error it may be
	// replaced, also later.
	SetEvidence(ctx context.Context, writer int, record []byte) error
}
