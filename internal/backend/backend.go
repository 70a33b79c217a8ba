// Package backend contains the clients with which agents call backend servers: Model for engines that stream answers of
// language models, and Plain for ordinary HTTP servers.
package backend

import (
	"fmt"
	"net/http"
	"time"
)

// Headers that backend servers read.
const (
	// RequestIDHeader carries the request's id.
	RequestIDHeader = "Request-Id"
	// ResumeHeader carries the offset from which a model engine continues an answer.
	ResumeHeader = "Resume-From"
	// VersionHeader carries, in a model engine's response, the version of the engine's software.
	VersionHeader = "Software-Version"
	// IdempotencyKeyHeader carries the caller's idempotency key.
	IdempotencyKeyHeader = "Idempotency-Key"
)

// Paths of backend servers.
const (
	// GeneratePath runs a request on a model engine.
	GeneratePath = "/v1/generate"
	// HealthPath answers 200 while a server is healthy.
	HealthPath = "/healthz"
)

// IncompleteError reports a request without a complete answer: the connection could not be opened or was lost, or the
// answer was malformed or cut short. The request may have run in part or completely, unless NeverSent is set.
type IncompleteError struct {
	// Address is the server's address.
	Address string
	// NeverSent is set when no connection was opened, so that the request did not start.
	NeverSent bool
	// Cause is the error of the connection or of decoding the answer.
	Cause error
}

// Error implements error.
func (e *IncompleteError) Error() string {
	return fmt.Sprintf("backend server %s gave no complete answer: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *IncompleteError) Unwrap() error { return e.Cause }

// StatusError reports that the server itself answered with an error, or that the answer of an ordinary server was too
// long.
type StatusError struct {
	// Address is the server's address.
	Address string
	// Status is the HTTP status of the answer, or 500 if a model engine reported an error in its stream.
	Status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("backend server %s answered status %d", e.Address, e.Status)
}

const (
	maxIdleConns    = 256
	idleConnTimeout = 30 * time.Second
	// maxHeaderBytes limits the size of a response header, since a faulty server may send bytes without end that never
	// complete a header.
	maxHeaderBytes = 64 << 10
)

// newTransport returns a transport without automatic compression.
func newTransport() *http.Transport {
	return &http.Transport{
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        idleConnTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}
