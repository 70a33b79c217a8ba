// Package laburnumring holds the interfaces between the parts of the router fleet; the packages below it hold
// the implementations.
package laburnumring

import (
	"context"

	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Clock tells the time. Readings never go back.
type Clock interface {
	// Now returns the current instant.
	Now() clock.Millis
}

// Record is one entry of a platform log stream.
type Record struct {
	// Offset is the record's position; it grows by one from record to record.
	Offset int64 `json:"offset"`
	// Data is the record as it was appended.
	Data []byte `json:"data"`
}

// Page is a run of records read from a stream.
type Page struct {
	// First is the offset of the oldest record that the platform still keeps.
	First int64 `json:"first"`
	// Next is the offset that the stream's next record will have.
	Next int64 `json:"next"`
	// Records are in offset order and may be fewer than were asked for.
	Records []Record `json:"records"`
}

// LogAppender adds records to the platform's log.
type LogAppender interface {
	// Append adds data to stream and returns its offset. After an error the record may or may not be there.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
}

// LogReader reads the platform's log.
type LogReader interface {
	// Read returns records of stream from the given offset on. It waits up to wait for one to arrive.
	Read(ctx context.Context, stream string, from int64, wait clock.Millis) (Page, error)
}

// Log is the platform's append-only log service.
type Log interface {
	LogAppender
	LogReader
}

// VM is one entry of the platform's VM list.
type VM struct {
	// Address is the VM's IP address. With a port, it stands for the one process that listens there, and not for
	// others on the same IP address.
	Address string `json:"address"`
	// Leaving says that the platform will soon take the VM away.
	Leaving bool `json:"leaving"`
}

// VMLister reads the platform's VM list, which lags behind the truth.
type VMLister interface {
	// VMs returns the VMs that the platform believes to be there.
	VMs(ctx context.Context) ([]VM, error)
}
