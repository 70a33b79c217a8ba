// Package laburnumring defines the interfaces between the parts of the router fleet. The packages below it contain
// the implementations.
package laburnumring

import (
	"context"

	"github.com/laburnumring/laburnumring/pkg/clock"
)

// Clock tells the time. Its readings never decrease.
type Clock interface {
	// Now returns the current time.
	Now() clock.Millis
}

// Record is an entry of a platform log stream.
type Record struct {
	// Offset is the record's position in the stream. Consecutive records have consecutive offsets.
	Offset int64 `json:"offset"`
	// Data holds the record as it was appended.
	Data []byte `json:"data"`
}

// Page is the result of one read from a stream.
type Page struct {
	// Era rises by one each time the platform comes back from an older copy, without the records that it has lost.
	// Offsets of two eras do not compare. It is 0 if the platform does not tell.
	Era int64 `json:"era,omitempty"`
	// First is the offset of the oldest record that the platform retains.
	First int64 `json:"first"`
	// Next is the offset that the stream's next record will have.
	Next int64 `json:"next"`
	// Records holds the records that were read in the order of their offsets. There may be fewer than were asked for.
	Records []Record `json:"records"`
}

// LogAppender appends records to the platform's log.
type LogAppender interface {
	// Append appends data to stream and returns its offset. After an error the record may or may not be in the log.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
}

// LogReader reads the platform's log.
type LogReader interface {
	// Read returns records of stream, starting at offset from. It waits up to wait for one to arrive.
	Read(ctx context.Context, stream string, from int64, wait clock.Millis) (Page, error)
}

// Log is the platform's append-only log service.
type Log interface {
	LogAppender
	LogReader
}

// VM is an entry of the platform's VM list.
type VM struct {
	// Address is the VM's IP address. An address with a port means only the process that listens there, and no other
	// process on the same IP address.
	Address string `json:"address"`
	// Leaving reports whether the platform is about to remove the VM.
	Leaving bool `json:"leaving"`
}

// VMLister reads the platform's VM list, which lags behind the actual state.
type VMLister interface {
	// VMs returns the VMs that the platform currently lists.
	VMs(ctx context.Context) ([]VM, error)
}
