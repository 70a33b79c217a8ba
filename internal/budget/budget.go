// Package budget limits retries to a fraction of first attempts.
package budget

// Budget is a token bucket that first attempts fill and retries empty. The zero value allows no retries.
type Budget struct {
	// percent is how many hundredths of a retry each first attempt earns.
	percent int
	// hundredths is the remaining budget in hundredths of a retry, 0 to maxHundredths.
	hundredths int
}

// maxHundredths limits what quiet times can accumulate: ten retries.
const maxHundredths = 1000

// New returns a budget with burst retries to start with, at most ten.
func New(percent, burst int) *Budget {
	return &Budget{percent: percent, hundredths: min(burst*100, maxHundredths)}
}

// FirstTry earns the fraction for one first attempt.
func (b *Budget) FirstTry() {
	b.hundredths = min(b.hundredths+b.percent, maxHundredths)
}

// Retry takes one retry from the budget and reports whether one was left.
func (b *Budget) Retry() bool {
	if b.hundredths < 100 {
		return false
	}
	b.hundredths -= 100
	return true
}
