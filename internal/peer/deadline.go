package peer

import "time"

// noDeadline clears a connection's deadline.
var noDeadline time.Time
