package laburnumring

import "context"

// BackendRequest is a request for a backend server to run.
type BackendRequest struct {
	// ID is the request's id, unique in the fleet and over time.
	ID string
	// Method, Path and ContentType are those of the caller's request. A model engine ignores Method and Path.
	Method      string
	Path        string
	ContentType string
	// Key is the caller's idempotency key; empty without one.
	Key string
	// Body is the body of the caller's request.
	Body []byte
	// ResumeFrom is the offset in the answer from which to continue.
	ResumeFrom int64
}

// AnswerHead is what precedes the body of an answer.
type AnswerHead struct {
	// Status is the server's HTTP status.
	Status int `cbor:"status"`
	// ContentType is the server's content type.
	ContentType string `cbor:"content_type"`
	// Unmarked is set if nothing but the end of the server's connection marks the end of the answer, which may then
	// have been cut.
	Unmarked bool `cbor:"unmarked,omitempty"`
	// Version is the version of the server's software; empty if the server does not say it.
	Version string `cbor:"version,omitempty"`
}

// AnswerSink receives an answer, which is a server's response to a request, while it arrives.
type AnswerSink interface {
	// Head receives the answer's head. It is called once, before the first call of Data.
	Head(h AnswerHead)
	// Data receives bytes of the body. Their cost is units of service.
	Data(p []byte, units int64)
}

// Backend runs requests on one backend server.
type Backend interface {
	// Run runs r once and passes the answer to sink. A nil error means that the answer is complete.
	Run(ctx context.Context, r BackendRequest, sink AnswerSink) error
	// Probe returns an error when the server does not answer.
	Probe(ctx context.Context) error
}
