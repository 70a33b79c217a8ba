// Package invariant checks, inside the running program, what must always hold.
package invariant

import "fmt"

// ViolationError is one broken invariant.
type ViolationError struct {
	// Rule names the invariant in snake case.
	Rule string
	// Detail says what was found.
	Detail string
}

// Error implements error.
func (v *ViolationError) Error() string { return v.Rule + ": " + v.Detail }

// Checker reports violations. The zero value panics with a *ViolationError, which is what tests want.
type Checker struct {
	// report takes violations; nil means to panic.
	report func(ViolationError)
}

// New returns a checker that hands violations to report and lets the program go on.
func New(report func(ViolationError)) Checker {
	return Checker{report: report}
}

// Checkf reports a violation of rule unless ok holds.
func (c Checker) Checkf(ok bool, rule, format string, args ...any) {
	if ok {
		return
	}
	v := ViolationError{Rule: rule, Detail: fmt.Sprintf(format, args...)}
	if c.report == nil {
		panic(&v)
	}
	c.report(v)
}
