// Package service describes the services that callers request by name.
package service

import (
	"github.com/laburnumring/laburnumring/pkg/clock"
	"github.com/laburnumring/laburnumring/pkg/retry"
)

// Kind is the protocol of a service's servers.
type Kind string

// The kinds of service.
const (
	// Model is served by model engines that stream their answers.
	Model Kind = "model"
	// Plain is served by ordinary HTTP servers.
	Plain Kind = "plain"
)

// Options are the settings of a Service.
type Options struct {
	// Kind is Model when empty.
	Kind Kind
	// Retry limits the attempts of a request.
	Retry retry.Rule
	// QueueLimit is the most requests of one team that may wait on one router; 256 when zero.
	QueueLimit int
	// KeyWindow is how long an idempotency key is remembered; ten minutes when zero.
	KeyWindow clock.Millis
	// ResumesExactly is set if any server can continue another server's answer at a given offset, byte for byte.
	ResumesExactly bool
}

// Service is a named service with its own backend servers.
type Service struct {
	// name is unique in a site.
	name string
	// kind is one of the constants in a checked site.
	kind Kind
	// retry has at least one attempt in a checked site.
	retry retry.Rule
	// queueLimit is positive in a checked site.
	queueLimit int
	// keyWindow is positive in a checked site.
	keyWindow clock.Millis
	// resumesExactly is declared by the operators. At each resumption the router checks a short part of the answer.
	resumesExactly bool
}

const (
	defaultQueueLimit = 256
	defaultKeyWindow  = 10 * clock.Minute
)

// New returns the service called name.
func New(name string, o Options) Service {
	if o.Kind == "" {
		o.Kind = Model
	}
	if o.QueueLimit == 0 {
		o.QueueLimit = defaultQueueLimit
	}
	if o.KeyWindow == 0 {
		o.KeyWindow = defaultKeyWindow
	}
	return Service{
		name: name, kind: o.Kind, retry: o.Retry, queueLimit: o.QueueLimit, keyWindow: o.KeyWindow,
		resumesExactly: o.ResumesExactly,
	}
}

// Name returns the service's unique name.
func (s Service) Name() string { return s.name }

// Kind returns the protocol of the service's servers.
func (s Service) Kind() Kind { return s.kind }

// Retry returns the rule that limits the attempts of a request.
func (s Service) Retry() retry.Rule { return s.retry }

// QueueLimit returns the most requests of one team that may wait on one router.
func (s Service) QueueLimit() int { return s.queueLimit }

// KeyWindow returns how long an idempotency key is remembered.
func (s Service) KeyWindow() clock.Millis { return s.keyWindow }

// ResumesExactly reports whether any server can continue another server's answer at a given offset, byte for byte.
func (s Service) ResumesExactly() bool { return s.resumesExactly }
