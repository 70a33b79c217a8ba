// Package retry describes which requests a router may retry, and how often.
package retry

// Rule limits the attempts of one service's requests.
type Rule struct {
	// maxAttempts includes the first attempt; it is at least 1 in a checked site.
	maxAttempts int
	// budgetPercent is the most retries per hundred first attempts of a team, 0 to 100 in a checked site.
	budgetPercent int
	// repeatable reports whether requests without the header Repeatable may be retried.
	repeatable bool
}

// Options are the settings of a Rule.
type Options struct {
	// MaxAttempts is the most attempts of one request, including the first; 3 when zero.
	MaxAttempts int
	// BudgetPercent is the most retries per hundred first attempts of a team.
	BudgetPercent int
	// Repeatable is the default for requests without the header Repeatable.
	Repeatable bool
}

const defaultMaxAttempts = 3

// New returns a rule.
func New(o Options) Rule {
	if o.MaxAttempts == 0 {
		o.MaxAttempts = defaultMaxAttempts
	}
	return Rule{maxAttempts: o.MaxAttempts, budgetPercent: o.BudgetPercent, repeatable: o.Repeatable}
}

// MaxAttempts returns the most attempts of one request, including the first.
func (r Rule) MaxAttempts() int { return r.maxAttempts }

// BudgetPercent returns the most retries per hundred first attempts of a team.
func (r Rule) BudgetPercent() int { return r.budgetPercent }

// Repeatable reports whether requests without the header Repeatable may be retried.
func (r Rule) Repeatable() bool { return r.repeatable }
