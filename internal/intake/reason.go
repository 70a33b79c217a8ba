package intake

import "github.com/laburnumring/laburnumring/pkg/clock"

// verdict is what a reason decides on a request.
type verdict int

const (
	refuses verdict = iota + 1
	sends
	waits
)

// reason is a row of a table that decides on requests. It applies if its condition holds and its value is within its
// bound.
type reason struct {
	// name identifies the reason of a refusal in logs and metrics; those of other verdicts are not reported.
	name    string
	verdict verdict
	// when is the row's condition; nil if there is none.
	when func(*evaluation) bool
	// value is compared with a bound: the row applies if it exceeds above, or if it does not exceed upTo. All three are
	// nil for a row without a bound.
	value, above, upTo func(*evaluation) float64
	// retryAfter returns the time after which the caller of a refused request may retry it.
	retryAfter func(*evaluation) clock.Millis
	// noBasis is set if no server was considered, so that there are no figures to log.
	noBasis bool
}

func (row *reason) applies(e *evaluation) bool {
	switch {
	case row.when != nil && !row.when(e):
		return false
	case row.above != nil:
		return row.value(e) > row.above(e)
	case row.upTo != nil:
		return row.value(e) <= row.upTo(e)
	}
	return true
}

// reasons is an ordered table: the first row that applies decides.
type reasons []reason

// first returns the first row that applies; nil if none does.
func (t reasons) first(e *evaluation) *reason {
	for i := range t {
		if t[i].applies(e) {
			return &t[i]
		}
	}
	return nil
}

// tables holds the tables in the order in which they are evaluated. On arrival (Submit), while a request waits (Poll) and
// after a server refused it or did not run it (Resubmit), the first table is followed by that for the kind of service.
// The last one is evaluated for the chosen server right before the request is sent (Accepts), because the decision may
// be some time old if processor time is short.
type tables struct {
	service reasons
	plain   reasons
	engine  reasons
	sending reasons
}

func newTables() tables {
	return tables{service: serviceReasons(), plain: plainReasons(), engine: engineReasons(), sending: sendingReasons()}
}
