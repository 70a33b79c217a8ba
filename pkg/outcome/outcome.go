// Package outcome names how a request can end.
package outcome

// Outcome is what a caller is told about its request.
type Outcome string

// The outcomes of a request.
const (
	// Whole means that the complete answer was delivered.
	Whole Outcome = "whole"
	// NotRun means that this submission started on no server and never will.
	NotRun Outcome = "not_run"
	// Failed means that the server itself answered with an error after it started.
	Failed Outcome = "failed"
	// Unknown means that the request may have started and its result is not known.
	Unknown Outcome = "unknown"
)

// Valid reports whether o is one of the constants.
func (o Outcome) Valid() bool {
	switch o {
	case Whole, NotRun, Failed, Unknown:
		return true
	}
	return false
}
