package admission_test

import (
	"errors"
	"testing"

	"github.com/laburnumring/laburnumring/internal/admission"
	"github.com/laburnumring/laburnumring/internal/share"
	"github.com/laburnumring/laburnumring/internal/ticket"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// TestFrozenAgentRefusesExpiredOffer guards against an agent that is suspended after it made an offer and starts the
// request when it resumes. It must refuse the expired offer as not run, even if the router's start is the first event
// that it handles.
func TestFrozenAgentRefusesExpiredOffer(t *testing.T) {
	const ttl = 1 * clock.Second
	for _, tc := range []struct {
		name    string
		frozen  clock.Millis
		refused bool
	}{
		{"not frozen", 0, false},
		{"almost expired", ttl - 1, false},
		{"expired", ttl, true},
		{"long expired", 10 * ttl, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := admission.New(admission.Options{
				Incarnation: "i", Slots: 1, OfferTTL: ttl, Order: share.NewLocal(func(string) int64 { return 1 }),
			})
			c.AddTicket(0, "router", ticket.Ticket{Request: "r", Attempt: 1, Team: "t", Cost: 1, Remaining: clock.Minute})
			o := c.MakeOffers(0)[0]
			err := c.Accept(tc.frozen, ticket.Start{
				Offer: o.ID, Router: "router", Request: "r", Attempt: 1, Team: "t", Remaining: clock.Minute,
			})
			var refused *admission.RefusedError
			if errors.As(err, &refused) != tc.refused || tc.refused && !refused.NeverStarted() {
				t.Errorf("error %v", err)
			}
			if tc.refused && c.InUse() != 0 {
				t.Errorf("%d slots are in use", c.InUse())
			}
		})
	}
}
