package router

import "fmt"

// wrongServerError reports an agent that stands beside another server than the configuration says.
type wrongServerError struct {
	// Address is where the agent answered.
	Address string
	// Want and Got are the names of the servers.
	Want string
	Got  string
}

// Error implements error.
func (e *wrongServerError) Error() string {
	return fmt.Sprintf("agent at %s stands beside %s, not %s", e.Address, e.Got, e.Want)
}

// badRequestError reports a caller's request that cannot be understood.
type badRequestError struct {
	// Status is the HTTP status.
	Status int
	// Reason is one word and Detail a sentence.
	Reason string
	Detail string
}

// Error implements error.
func (e *badRequestError) Error() string { return e.Reason + ": " + e.Detail }
