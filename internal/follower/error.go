package follower

import "fmt"

// ShrunkError reports a log that ends before what was read from it.
type ShrunkError struct {
	// From is the offset that was read from and Next where the log says that it ends.
	From int64
	Next int64
}

// Error implements error.
func (e *ShrunkError) Error() string {
	return fmt.Sprintf("the configuration stream ends at offset %d, but was read to %d: the platform lost records",
		e.Next, e.From)
}
