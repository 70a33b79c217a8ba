// Package budget bounds retries to a share of first tries.
package budget

// Budget is a token bucket that first tries fill and retries empty. The zero value allows nothing.
type Budget struct {
	// percent is how many hundredths of a retry each first try earns.
	percent int
	// hundredths is what is left, in hundredths of a retry; 0 to capHundredths.
	hundredths int
}

// capHundredths bounds what quiet times can save up: ten retries.
const capHundredths = 1000

// New returns a budget with burst retries to begin with.
func New(percent, burst int) *Budget {
	return &Budget{percent: percent, hundredths: min(burst*100, capHundredths)}
}

// FirstTry earns the share of one first try.
func (b *Budget) FirstTry() {
	b.hundredths = min(b.hundredths+b.percent, capHundredths)
}

// Retry takes one retry and reports whether there was one.
func (b *Budget) Retry() bool {
	if b.hundredths < 100 {
		return false
	}
	b.hundredths -= 100
	return true
}
