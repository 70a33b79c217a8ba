package laburnumring

import (
	"context"
	"net/http"

	"github.com/laburnumring/laburnumring/pkg/clock"
)

// PromptPart is a sequence of prompt tokens that several requests may share.
type PromptPart struct {
	// ID identifies the part's content.
	ID string
	// Tokens is the number of tokens in the part; at least 1.
	Tokens int64
}

// CallHeader holds the contents of the headers of a caller's request.
type CallHeader struct {
	// ID is the request's id, chosen by the caller; empty when the caller sent none.
	ID string
	// Key is the API key that authenticates the caller's team. It is never forwarded.
	Key string
	// Timeout is how long the caller waits; 0 if not specified.
	Timeout clock.Millis
	// Model is the requested model; empty for plain calls.
	Model string
	// PromptTokens is the length of the prompt, and OutputTokens the largest number of tokens in the answer.
	PromptTokens int64
	OutputTokens int64
	// LengthHint is the caller's estimate of the number of tokens in the answer; 0 without one.
	LengthHint int64
	// Parts are the prompt's parts in order. The last part belongs to this request or session alone.
	Parts []PromptPart
	// LastEvent is the id of the last stream event that the caller received; empty at the start of a stream.
	LastEvent string
	// Resumes is the id of the request that brought the first event of the stream, if the caller received a part of the
	// stream by earlier requests; empty otherwise.
	Resumes string
}

// SendHeader holds what the router adds to the caller's own headers for one attempt on a backend server.
type SendHeader struct {
	// Server is the id of the server that may run the request. Any other server refuses it.
	Server string
	// Team is the caller's team; empty on public routes.
	Team string
	// Timeout is the rest of the time that the caller waits.
	Timeout clock.Millis
	// LastEvent is the id of the last stream event that the caller received, when a stream is resumed.
	LastEvent string
}

// ReplyHeader holds the contents of the headers of a backend server's response.
type ReplyHeader struct {
	// ID is the id of the request to which the response belongs.
	ID string
	// Sealed reports whether the response carries the server's seal, which each response to a request that ran has.
	Sealed bool
	// NotRun reports whether the server states that it has not run the request and will not.
	NotRun bool
	// Leaving reports whether the server states that it is about to stop.
	Leaving bool
	// Pause is how long the server wants no further request from this router; 0 if it does not ask for a pause.
	Pause clock.Millis
	// Limit is what the server says of the rate of requests that it takes.
	Limit RateLimit
}

// RateLimit is what a response of a backend server says of the rate of requests that the server takes from all routers
// together.
type RateLimit struct {
	// Known is false if the response says nothing usable about a limit: it is from another server, or its header is not
	// valid.
	Known bool
	// Limited is set if there is a limit; PerSecond is the limit in requests a second, at least 0.
	Limited   bool
	PerSecond float64
}

// Dialect converts between HTTP headers and the router's types. Its methods do not retain the headers.
type Dialect interface {
	// Call parses the headers of a caller's request. Its errors name the header and the value.
	Call(h http.Header) (CallHeader, error)
	// Send changes the headers of a caller's request into those for a backend server.
	Send(h http.Header, s SendHeader)
	// Reply parses the status and headers of a backend server's response. An error names a header that is not valid and
	// its value; the reply is usable nevertheless.
	Reply(status int, h http.Header) (ReplyHeader, error)
}

// ServerState tells whether a backend server accepts new requests.
type ServerState int

// The states of a backend server.
const (
	// ServerReady means that the server accepts new requests.
	ServerReady ServerState = iota + 1
	// ServerLeaving means that the server completes its requests and accepts no new ones.
	ServerLeaving
)

// ServerEntry is one backend server in the platform's list.
type ServerEntry struct {
	// ID is unique in the list. A restarted server may keep its id.
	ID string `cbor:"id"`
	// Service is the name of the server's service.
	Service string `cbor:"service"`
	// Address is the server's IP address and port.
	Address string `cbor:"address"`
	// Place is the name of the server's place.
	Place string `cbor:"place"`
	// Version is the version of the server's software; empty if the server does not state it.
	Version string `cbor:"version"`
	// Slots is the largest number of requests that the server runs at once; 0 if the server does not state it.
	Slots int         `cbor:"slots"`
	State ServerState `cbor:"state"`
	// Born is when the server started, in Unix milliseconds by its own clock; 0 if the server does not state it.
	Born int64 `cbor:"born"`
	// ColdLeft is how much longer the server was cold when it wrote the entry: it has just started and takes few requests.
	// It is 0 if the server is not cold, and at least 0.
	ColdLeft clock.Millis `cbor:"cold_left,omitempty"`
	// Written increases each time the server writes its entry, also across the eras of the list; 0 if that is unknown.
	Written int64 `cbor:"written,omitempty"`
}

// SameIncarnation reports whether two entries of one id are of the same run of the server.
func (e ServerEntry) SameIncarnation(o ServerEntry) bool {
	return e.Born == o.Born && e.Address == o.Address && e.Version == o.Version
}

// WithoutHeartbeat returns the entry without what the server changes each time it writes it.
func (e ServerEntry) WithoutHeartbeat() ServerEntry {
	e.ColdLeft, e.Written = 0, 0
	return e
}

// ServerList is the platform's list of backend servers at one time.
type ServerList struct {
	// Revision increases with each change of the list.
	Revision int64 `cbor:"revision"`
	// Era counts how often the platform has recovered its data from a backup. Such a recovery undoes the latest changes,
	// and their authors make them again; Revision increases nevertheless.
	Era int64 `cbor:"era"`
	// Entries holds the servers. No two have the same id.
	Entries []ServerEntry `cbor:"entries"`
}

// Software returns the version of the server's software.
func (e ServerEntry) Software() SoftwareVersion {
	return SoftwareVersion{Service: e.Service, Version: e.Version}
}

// ServerLister reads the platform's list of backend servers.
type ServerLister interface {
	// Servers returns the list. Entries that cannot be parsed are skipped and logged.
	Servers(ctx context.Context) (ServerList, error)
}

// ConfigurationText is one version of a configuration as the operator wrote it.
type ConfigurationText struct {
	// Version increases with each change.
	Version int64 `cbor:"version"`
	// Text is the configuration in the platform's format.
	Text []byte `cbor:"text"`
}

// InvalidConfigurationError reports that the platform was read, and that the newest text that it holds for the
// configuration is none.
type InvalidConfigurationError struct {
	// Err is what is wrong with the text.
	Err error
}

// Error implements error.
func (e *InvalidConfigurationError) Error() string { return "invalid configuration: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *InvalidConfigurationError) Unwrap() error { return e.Err }

// Evacuations are the evacuated places, to whose servers nothing may be sent, as of one position in the operator's
// records.
type Evacuations struct {
	// Revision increases with each of the operator's records, also across eras; 0 if none has been read.
	Revision int64
	// Era counts the recoveries of the platform's data like ServerList.Era.
	Era int64
	// Places holds the names of the evacuated places, sorted.
	Places []string
	// Removals holds the latest removal of each place's record among those that were read one by one in this era, sorted
	// by place. A list of the newest records does not show removals.
	Removals []EvacuationRemoval
}

// EvacuationRemoval is the removal of the record that evacuates a place.
type EvacuationRemoval struct {
	_     struct{} `cbor:",toarray"`
	Place string
	// Revision is the revision of Evacuations that the removal led to.
	Revision int64
}

// OperatorRecords is what the operator has written.
type OperatorRecords struct {
	// Configuration is the newest configuration; its text is empty if none was read.
	Configuration ConfigurationText
	Evacuations   Evacuations
}

// ConfigurationWatcher watches the operator's records on the platform. With an *InvalidConfigurationError, its methods
// return the newest configuration that is valid, if they have read one, and the evacuated places.
type ConfigurationWatcher interface {
	// Newest returns the newest configuration, or an empty text if none has been published, and the evacuated places.
	Newest(ctx context.Context) (OperatorRecords, error)
	// Next waits for records since the last call of Newest or Next and returns the newest configuration among them and
	// the evacuated places. It returns false if there were none in time.
	Next(ctx context.Context) (OperatorRecords, bool, error)
}
