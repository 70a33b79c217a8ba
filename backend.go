package laburnumring

import "context"

// BackendRequest is what a backend server is asked to run.
type BackendRequest struct {
	// ID is the request's id, unique in the fleet and over time.
	ID string
	// Method, Path and ContentType are the caller's; a model engine ignores the first two.
	Method      string
	Path        string
	ContentType string
	// Key is the caller's idempotency key, or empty.
	Key string
	// Body is the caller's request body.
	Body []byte
	// ResumeFrom is the offset in the answer from which to go on.
	ResumeFrom int64
}

// AnswerSink takes an answer as it comes.
type AnswerSink interface {
	// Head opens the answer. It is called once, before any Data.
	Head(status int, contentType string)
	// Data adds bytes; units is the service that they cost.
	Data(p []byte, units int64)
}

// Backend runs requests on one backend server.
type Backend interface {
	// Run runs r once and hands its answer to sink. A nil error means that the answer is complete.
	Run(ctx context.Context, r BackendRequest, sink AnswerSink) error
	// Probe fails when the server does not answer.
	Probe(ctx context.Context) error
}
