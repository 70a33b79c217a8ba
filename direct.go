package laburnumring

import (
	"context"
	"net/http"

	"github.com/laburnumring/laburnumring/pkg/clock"
)

// PromptPart is a run of prompt tokens that several requests may have in common.
type PromptPart struct {
	// ID identifies the part's content.
	ID string
	// Tokens is the part's length; positive.
	Tokens int64
}

// CallHeader is what the headers of a caller's request say.
type CallHeader struct {
	// ID is the request's id, chosen by the caller; empty when the caller sent none.
	ID string
	// Key proves the caller's team; it is never passed on.
	Key string
	// Timeout is how long the caller waits; 0 when it did not say.
	Timeout clock.Millis
	// Model is the model that is asked for; empty for plain calls.
	Model string
	// PromptTokens and OutputTokens are the prompt's length and the most tokens of the answer.
	PromptTokens int64
	OutputTokens int64
	// LengthHint is the caller's estimate of the answer's tokens; 0 without one.
	LengthHint int64
	// Parts are the prompt's parts in their order. The last one belongs to this request or session alone.
	Parts []PromptPart
	// LastEvent is the id of the last stream event that the caller has; empty at the start of a stream.
	LastEvent string
}

// SendHeader is what the router tells a backend server beside the caller's own headers.
type SendHeader struct {
	// Server is the id of the server that may run the request; any other refuses it.
	Server string
	// Team is the caller's team; empty on public routes.
	Team string
	// Timeout is what is left of the caller's time.
	Timeout clock.Millis
	// LastEvent is the id of the last event that the caller has, when a stream is resumed.
	LastEvent string
}

// ReplyHeader is what the headers of a backend server's response say.
type ReplyHeader struct {
	// ID is the id of the request that the response answers.
	ID string
	// Sealed says that the response bears the server's seal, as each response of a run does.
	Sealed bool
	// NotRun says that the server has not run the request and will not.
	NotRun bool
}

// Dialect translates between HTTP headers and the router's types. Its methods do not keep the headers.
type Dialect interface {
	// Call reads a caller's headers. Its errors name the header and its value.
	Call(h http.Header) (CallHeader, error)
	// Send changes the caller's headers into those for a backend server.
	Send(h http.Header, s SendHeader)
	// Reply reads a backend server's headers and status.
	Reply(status int, h http.Header) ReplyHeader
}

// ServerState says whether a backend server takes new work.
type ServerState int

// The states of a backend server.
const (
	// ServerReady takes new work.
	ServerReady ServerState = iota + 1
	// ServerLeaving ends what it has and takes nothing new.
	ServerLeaving
)

// ServerEntry is one backend server as the platform lists it.
type ServerEntry struct {
	// ID is unique among the listed servers; a restarted server may keep it.
	ID string `cbor:"id"`
	// Service is the name of the server's service.
	Service string `cbor:"service"`
	// Address is the server's IP address and port.
	Address string `cbor:"address"`
	// Place is the name of the place where the server stands.
	Place string `cbor:"place"`
	// Slots is the most requests that the server runs at once; 0 when it does not say.
	Slots int `cbor:"slots"`
	// State is one of the constants.
	State ServerState `cbor:"state"`
	// Born is when the server started, in Unix milliseconds by its own clock; 0 when it does not say.
	Born int64 `cbor:"born"`
}

// ServerList is the platform's list of backend servers at one moment.
type ServerList struct {
	// Revision grows with each change of the list.
	Revision int64 `cbor:"revision"`
	// Entries hold no id twice.
	Entries []ServerEntry `cbor:"entries"`
}

// ServerLister reads the platform's list of backend servers.
type ServerLister interface {
	// Servers returns the list. Entries that cannot be read are left out and logged.
	Servers(ctx context.Context) (ServerList, error)
}

// ConfigurationText is one version of a configuration as its operator wrote it.
type ConfigurationText struct {
	// Version grows with each change.
	Version int64 `cbor:"version"`
	// Text is in the platform's own form.
	Text []byte `cbor:"text"`
}

// ConfigurationWatcher follows the configuration on the platform.
type ConfigurationWatcher interface {
	// Newest returns the newest configuration; an empty text before the first was published.
	Newest(ctx context.Context) (ConfigurationText, error)
	// Next waits for a change after the last call of Newest or Next and returns the newest configuration. It
	// returns false when there was none in time.
	Next(ctx context.Context) (ConfigurationText, bool, error)
}
