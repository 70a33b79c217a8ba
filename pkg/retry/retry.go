// Package retry describes which requests may be tried again, and how often.
package retry

// Rule bounds the attempts of one service's requests.
type Rule struct {
	// maxAttempts is at least 1; the first try counts.
	maxAttempts int
	// budgetPercent is the most retries per hundred first tries, 0 to 100.
	budgetPercent int
	// repeatable says whether a request that does not say may be tried again.
	repeatable bool
}

// Options are the settings of a Rule.
type Options struct {
	// MaxAttempts counts the first try too; 3 when zero.
	MaxAttempts int
	// BudgetPercent is the most retries per hundred first tries of a team.
	BudgetPercent int
	// Repeatable is the default for requests that do not say.
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

// MaxAttempts returns the most attempts of one request, the first included.
func (r Rule) MaxAttempts() int { return r.maxAttempts }

// BudgetPercent returns the most retries per hundred first tries.
func (r Rule) BudgetPercent() int { return r.budgetPercent }

// Repeatable returns the default for requests that do not say.
func (r Rule) Repeatable() bool { return r.repeatable }
