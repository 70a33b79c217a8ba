// Package outcome defines the ways in which a request can end.
package outcome

// Outcome is the result of a request as reported to its caller.
type Outcome string

// The outcomes of a request.
const (
	// Whole means that the complete answer was delivered.
	Whole Outcome = "whole"
	// Unmarked means that the answer was delivered as far as the server sent it. Neither a length nor chunks marked its
	// end, so the server may have broken it off.
	Unmarked Outcome = "unmarked"
	// NotRun means that the request as submitted has not started on any server and will not start.
	NotRun Outcome = "not_run"
	// Failed means that the request started and the server answered with an error.
	Failed Outcome = "failed"
	// Unknown means that the request may have started and its result is unknown.
	Unknown Outcome = "unknown"
)

// Valid reports whether o is one of the constants.
func (o Outcome) Valid() bool {
	switch o {
	case Whole, Unmarked, NotRun, Failed, Unknown:
		return true
	}
	return false
}
