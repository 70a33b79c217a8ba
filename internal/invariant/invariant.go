// Package invariant checks invariants while the program runs.
package invariant

import "fmt"

// ViolationError is one violated invariant.
type ViolationError struct {
	// Rule is the name of the invariant in snake case.
	Rule string
	// Detail describes the violation.
	Detail string
}

// Error implements error.
func (v *ViolationError) Error() string { return v.Rule + ": " + v.Detail }

// Checker reports violated invariants. The zero value panics with a *ViolationError, as tests want.
type Checker struct {
	// onViolation is called with each violation; when nil, the checker panics.
	onViolation func(ViolationError)
}

// New returns a checker that passes violations to report and lets the program continue.
func New(report func(ViolationError)) Checker {
	return Checker{onViolation: report}
}

// Checkf reports a violation of rule unless ok is true. The format and args describe the violation.
func (c Checker) Checkf(ok bool, rule, format string, args ...any) {
	if ok {
		return
	}
	v := ViolationError{Rule: rule, Detail: fmt.Sprintf(format, args...)}
	if c.onViolation == nil {
		panic(&v)
	}
	c.onViolation(v)
}
