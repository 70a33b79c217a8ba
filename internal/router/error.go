package router

import "fmt"

// wrongServerError reports an agent that serves another backend server than the configuration says.
type wrongServerError struct {
	// Address is the agent's address.
	Address string
	// Want is the name of the configured server and Got the one that the agent reported.
	Want string
	Got  string
}

// Error implements error.
func (e *wrongServerError) Error() string {
	return fmt.Sprintf("agent at %s serves backend server %s, want %s", e.Address, e.Got, e.Want)
}

// badRequestError reports a caller's request that the router refuses before it reaches the queue.
type badRequestError struct {
	// Status is the HTTP status.
	Status int
	// Reason is a single word and Detail a sentence.
	Reason string
	Detail string
}

// Error implements error.
func (e *badRequestError) Error() string { return e.Reason + ": " + e.Detail }
