// Package backend speaks to backend servers.
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
	// ResumeHeader carries the offset from which a model engine goes on.
	ResumeHeader = "Resume-From"
	// KeyHeader carries the caller's idempotency key.
	KeyHeader = "Idempotency-Key"
)

// Paths of backend servers.
const (
	// GeneratePath runs a request on a model engine.
	GeneratePath = "/v1/generate"
	// HealthPath answers 200 while a server works.
	HealthPath = "/healthz"
)

// DiedError reports a server that broke off: the request may have run in part or in whole.
type DiedError struct {
	// Address is the server's address.
	Address string
	// NeverSent says that no connection was made, so the request did not start.
	NeverSent bool
	// Cause is the error of the connection.
	Cause error
}

// Error implements error.
func (e *DiedError) Error() string {
	return fmt.Sprintf("backend server %s broke off: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *DiedError) Unwrap() error { return e.Cause }

// StatusError reports an answer that is an error by the server's own word.
type StatusError struct {
	// Address is the server's address.
	Address string
	// Status is the HTTP status.
	Status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("backend server %s answered status %d", e.Address, e.Status)
}

const (
	maxIdleConns    = 256
	idleConnTimeout = 30 * time.Second
	// maxHeadBytes bounds an answer's head: bytes that are none may come without end.
	maxHeadBytes = 64 << 10
)

// newTransport returns a transport without automatic compression or redials.
func newTransport() *http.Transport {
	return &http.Transport{
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        idleConnTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
}
