package follower

import "fmt"

// ShrunkError reports a log that ends before the offset up to which it was read.
type ShrunkError struct {
	// From is the offset that was read from. Next is the offset at which the log says that it ends.
	From int64
	Next int64
}

// Error implements error.
func (e *ShrunkError) Error() string {
	return fmt.Sprintf("configuration stream ends at offset %d but was already read up to %d: the platform lost records",
		e.Next, e.From)
}
